"""Availability of the store, which decides what a missing entry means."""

from __future__ import annotations

# Entries that expired while the store was unavailable are written again within
# about two seconds of its return, according to the platform's operators. A
# quarter more covers timers that fire late.
ENTRY_REWRITE_S = 2.5


class StoreAvailability:
    """Tracks failures of the store and the time of its last return.

    Entries that expire while the store is unavailable are written again after
    its return. So a missing entry counts as removed only some time after the
    return.
    """

    def __init__(self) -> None:
        self._returned_at: float | None = None
        self._failing = False

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the store failed."""
        return self._failing

    def record_failure(self) -> None:
        """Records that a call to the store failed."""
        self._failing = True

    def record_answer(self, now: float) -> bool:
        """Records that the store answered a call.

        Args:
            now: The current time, seconds.

        Returns:
            Whether the previous call had failed.
        """
        returned = self._failing
        if returned:
            self._returned_at = now
            self._failing = False
        return returned

    def record_reported_return(self, now: float) -> None:
        """Records that another host recently observed a return of the store."""
        self._returned_at = now

    def confirms_absence(self, now: float) -> bool:
        """Returns whether a missing entry was really removed from the store."""
        if self._failing:
            return False
        return (
            self._returned_at is None
            or now >= self._returned_at + ENTRY_REWRITE_S
        )
