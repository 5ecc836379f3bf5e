"""What became of requests."""

from __future__ import annotations

_WINDOW_S = 2.0
_WORST_WINDOWS = 2


class Tally:
    """Counts the credit of requests by when they were asked.

    A request earns 1 if it is answered within its latency target, a part of it
    if later, nothing if never.
    """

    def __init__(
        self, target_s: float = 0.12, late_credit: float = 0.1
    ) -> None:
        """Creates an empty tally.

        Args:
            target_s: The latency target, seconds.
            late_credit: Credit of a later answer, 0 to 1.
        """
        self._target_s = target_s
        self._late_credit = late_credit
        self._owed: dict[int, int] = {}
        self._earned: dict[int, float] = {}

    def record(self, asked_at: float, answered_at: float) -> None:
        """Records an answer."""
        in_time = answered_at - asked_at <= self._target_s
        self._add(asked_at, 1.0 if in_time else self._late_credit)

    def record_failure(self, asked_at: float) -> None:
        """Records a request that was given up."""
        self._add(asked_at, 0.0)

    @property
    def owed(self) -> int:
        """Number of requests."""
        return sum(self._owed.values())

    def compute_whole(self) -> float:
        """Returns the share of the credit that was earned."""
        return sum(self._earned.values()) / sum(self._owed.values())

    def compute_worst(self) -> float:
        """Returns the same over the two worst windows of two seconds."""
        shares = sorted(
            self._earned[window] / owed for window, owed in self._owed.items()
        )
        return sum(shares[:_WORST_WINDOWS]) / _WORST_WINDOWS

    def _add(self, asked_at: float, credit: float) -> None:
        window = int(asked_at // _WINDOW_S)
        self._owed[window] = self._owed.get(window, 0) + 1
        self._earned[window] = self._earned.get(window, 0.0) + credit
