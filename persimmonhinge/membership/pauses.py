"""Notices that this process itself did not run for a while."""

from __future__ import annotations

from collections.abc import Callable
import logging

logger = logging.getLogger(__name__)

_PAUSE_INTERVALS = 2


class PauseWatch:
    """Measures gaps between its checks, which are due at each heartbeat.

    Guards against a process that was stopped or starved: when it runs again
    all its timers have run out at once, so it would take answers that it
    could not read for answers that never came, and declare healthy hosts
    dead. Whoever waits for an answer compares `count` before and after, and
    draws no conclusion if it has grown. The guard holds because each
    conclusion calls `check` first: a gap is found by whichever task runs
    first after it.

    Attributes:
        count: Number of gaps so far.
    """

    def __init__(self, interval_s: float, now: Callable[[], float]) -> None:
        """Begins to watch.

        Args:
            interval_s: Time between checks when all is well, seconds.
            now: Returns the monotonic time, seconds.
        """
        self.count = 0
        self._limit_s = _PAUSE_INTERVALS * interval_s
        self._now = now
        self._last = now()
        self._longest_s = 0.0

    def check(self) -> int:
        """Looks for a gap and returns the number of gaps so far."""
        now = self._now()
        gap_s = now - self._last
        self._last = now
        if gap_s > self._limit_s:
            self.count += 1
            self._longest_s = max(self._longest_s, gap_s)
            logger.warning("This process did not run for %.1f s.", gap_s)
        return self.count

    @property
    def longest_s(self) -> float:
        """The longest gap since the last `clear`, seconds."""
        return self._longest_s

    def clear(self) -> None:
        """Forgets the longest gap."""
        self._longest_s = 0.0
