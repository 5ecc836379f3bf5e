"""Budget of work that fills at a rate."""

from __future__ import annotations


class TokenBucket:
    """Holds work that may be started, in seconds of slot time.

    Attributes:
        level_s: Work that may be started now, seconds; negative after more was
            started than the budget had.
    """

    def __init__(self, level_s: float, now: float) -> None:
        self.level_s = level_s
        self._filled_at = now

    def fill(self, rate: float, max_level_s: float, now: float) -> None:
        """Adds the work of the time since the last call.

        A level that is above the maximum, as it was set for a larger request,
        stays as it is.

        Args:
            rate: Work added a second, in slots.
            max_level_s: Maximum work, seconds.
            now: The current time, seconds.
        """
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        self.credit(rate * elapsed_s, max_level_s)

    def credit(self, work_s: float, max_level_s: float) -> None:
        """Adds work to the budget, up to a maximum level, seconds."""
        self.level_s = max(
            self.level_s, min(max_level_s, self.level_s + work_s)
        )

    def debit(self, work_s: float, min_level_s: float) -> None:
        """Takes work from the budget, down to a minimum level, seconds."""
        self.level_s = min(
            self.level_s, max(min_level_s, self.level_s - work_s)
        )
