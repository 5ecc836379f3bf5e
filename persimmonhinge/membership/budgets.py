"""A limit on octets sent over time."""

from __future__ import annotations

from collections.abc import Callable


class OctetBudget:
    """A token bucket: so many octets at once, and so many a second."""

    def __init__(
        self, octets_per_s: float, max_octets: float, now: Callable[[], float]
    ) -> None:
        """Makes a full bucket.

        Args:
            octets_per_s: What is added a second.
            most: What it holds at most.
            now: Returns the monotonic time, seconds.
        """
        self._octets_per_s = octets_per_s
        self._max_octets = max_octets
        self._now = now
        self._remaining_octets = max_octets
        self._filled_at = now()

    def try_spend(self, octets: int) -> bool:
        """Takes octets out; False, and none taken, if there are too few."""
        now = self._now()
        added = (now - self._filled_at) * self._octets_per_s
        self._remaining_octets = min(
            self._max_octets, self._remaining_octets + added
        )
        self._filled_at = now
        if self._remaining_octets < octets:
            return False
        self._remaining_octets -= octets
        return True
