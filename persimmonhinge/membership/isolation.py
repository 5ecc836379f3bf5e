"""Detects that this host receives no datagrams from any other host."""

from __future__ import annotations

import math


class IsolationDetector:
    """Detects isolation: no datagram from any other host for some time.

    A partitioned host declares the other hosts dead one after another, each
    because that host does not answer. The absence of datagrams from all
    hosts shows the partition already at the first of these deaths.

    Attributes:
        max_silence_s: Longest time without a datagram that does not count as
            isolation, seconds.
    """

    def __init__(self) -> None:
        self.max_silence_s = math.inf
        self._last_received_at = math.inf
        self._isolation_ended_at = -math.inf

    def record_datagram(self, now: float) -> None:
        """Records that a datagram of another host was received."""
        if self._is_isolated(now):
            self._isolation_ended_at = now
        self._last_received_at = now

    def was_recently_isolated(self, now: float, within_s: float) -> bool:
        """Returns whether this host is or was recently isolated.

        Args:
            now: The current monotonic time, seconds.
            within_s: An isolation that ended less than this time ago is
                recent, seconds.
        """
        return (
            self._is_isolated(now) or now - self._isolation_ended_at < within_s
        )

    def _is_isolated(self, now: float) -> bool:
        return now - self._last_received_at > self.max_silence_s
