"""Whether this host hears any other host."""

from __future__ import annotations

import math


class IsolationDetector:
    """Notices when nothing came from any other host for a while.

    Deaths are concluded one after the other, each from its own silence; that
    of all hosts at once shows at the first of them that this host is cut off.

    Attributes:
        limit_s: A longer pause between two datagrams counts as silence,
            seconds.
    """

    def __init__(self) -> None:
        self.limit_s = math.inf
        self._last_received_at = math.inf
        self._ended_at = -math.inf

    def record_datagram(self, now: float) -> None:
        """Takes in that a datagram of another host has come."""
        if self._is_isolated(now):
            self._ended_at = now
        self._last_received_at = now

    def was_recently_isolated(self, now: float, within_s: float) -> bool:
        """Tells whether there is silence now, or was until a moment ago.

        Args:
            now: The time, seconds.
            within_s: How long ago it may have ended, seconds.
        """
        return self._is_isolated(now) or now - self._ended_at < within_s

    def _is_isolated(self, now: float) -> bool:
        return now - self._last_received_at > self.limit_s
