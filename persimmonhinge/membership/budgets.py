"""Rate limit for the octets that a host sends."""

from __future__ import annotations

from collections.abc import Callable


class OctetBudget:
    """A token bucket that limits the burst size and rate of octets sent."""

    def __init__(
        self, octets_per_s: float, max_octets: float, now: Callable[[], float]
    ) -> None:
        """Creates a full bucket.

        Args:
            octets_per_s: Refill rate, octets per second.
            max_octets: Capacity of the bucket, octets.
            now: Returns the monotonic time, seconds.
        """
        self._octets_per_s = octets_per_s
        self._max_octets = max_octets
        self._now = now
        self._remaining_octets = max_octets
        self._filled_at = now()

    def try_spend(self, octets: int) -> bool:
        """Spends octets; returns False and spends none if too few remain."""
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
