"""Notices that this process itself did not run for a while."""

from __future__ import annotations

from collections.abc import Callable
import logging
import math

logger = logging.getLogger(__name__)

_MIN_PAUSE_INTERVALS = 2


class PauseDetector:
    """Measures gaps between its checks, which are due at each heartbeat.

    A process that was stopped or starved does not notice it otherwise, and
    takes what its peers have concluded meanwhile for an error of theirs. A
    gap that lies back longer than they take to tell has had no consequences:
    what they conclude later has another cause.
    """

    def __init__(
        self,
        interval_s: float,
        now: Callable[[], float],
        retention_s: float = math.inf,
    ) -> None:
        """Begins to watch.

        Args:
            interval_s: Time between checks when all is well, seconds.
            now: Returns the monotonic time, seconds.
            memory_s: How long a gap is remembered after its end, seconds.
        """
        self._limit_s = _MIN_PAUSE_INTERVALS * interval_s
        self._now = now
        self._retention_s = retention_s
        self._last_check_at = now()
        self._longest_pause_s = 0.0
        self._last_pause_ended_at = -math.inf

    @property
    def longest_pause_s(self) -> float:
        """The longest gap that is remembered, seconds; 0 for none."""
        return self._longest_pause_s

    def check(self) -> None:
        """Looks for a gap since the last check."""
        now = self._now()
        gap_s = now - self._last_check_at
        self._last_check_at = now
        if gap_s > self._limit_s:
            self._longest_pause_s = max(self._longest_pause_s, gap_s)
            self._last_pause_ended_at = now
            logger.warning("This process did not run for %.1f s.", gap_s)
        elif now - self._last_pause_ended_at > self._retention_s:
            self.clear()

    def clear(self) -> None:
        """Forgets the longest gap."""
        self._longest_pause_s = 0.0
