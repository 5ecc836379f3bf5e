"""A limit on octets sent over time."""

from __future__ import annotations

from collections.abc import Callable


class OctetBudget:
    """A token bucket: so many octets at once, and so many a second."""

    def __init__(
        self, octets_per_s: float, most: float, now: Callable[[], float]
    ) -> None:
        """Makes a full bucket.

        Args:
            octets_per_s: What is added a second.
            most: What it holds at most.
            now: Returns the monotonic time, seconds.
        """
        self._octets_per_s = octets_per_s
        self._most = most
        self._now = now
        self._left = most
        self._filled_at = now()

    def take(self, octets: int) -> bool:
        """Takes octets out; False, and none taken, if there are too few."""
        now = self._now()
        added = (now - self._filled_at) * self._octets_per_s
        self._left = min(self._most, self._left + added)
        self._filled_at = now
        if self._left < octets:
            return False
        self._left -= octets
        return True
