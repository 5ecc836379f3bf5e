"""Whether this host hears any other host."""

from __future__ import annotations

import math


class Silence:
    """Notices when nothing came from any other host for a while.

    Deaths are concluded one after the other, each from its own silence; that
    of all hosts at once shows at the first of them that this host is cut off.

    Attributes:
        limit_s: A longer pause between two datagrams counts as silence,
            seconds.
    """

    def __init__(self) -> None:
        self.limit_s = math.inf
        self._heard_at = math.inf
        self._ended_at = -math.inf

    def note_heard(self, now: float) -> None:
        """Takes in that a datagram of another host has come."""
        if self._is_silent(now):
            self._ended_at = now
        self._heard_at = now

    def is_recent(self, now: float, within_s: float) -> bool:
        """Tells whether there is silence now, or was until a moment ago.

        Args:
            now: The time, seconds.
            within_s: How long ago it may have ended, seconds.
        """
        return self._is_silent(now) or now - self._ended_at < within_s

    def _is_silent(self, now: float) -> bool:
        return now - self._heard_at > self.limit_s
