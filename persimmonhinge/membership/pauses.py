"""Detects pauses in the execution of this process."""

from __future__ import annotations

from collections.abc import Callable
import logging
import math

from persimmonhinge import processor_times

logger = logging.getLogger(__name__)

_MIN_PAUSE_INTERVALS = 2
Times = processor_times.ProcessorTimes | None


class PauseDetector:
    """Measures the time between checks, which run at least every heartbeat.

    A process cannot otherwise detect that it was stopped or got no CPU time,
    and would treat suspicions that its peers raised during the pause as
    errors. Peers report the consequences of a pause within a limited time. A
    pause is forgotten after that time, because any later suspicion has
    another cause.
    """

    def __init__(
        self,
        interval_s: float,
        now: Callable[[], float],
        retention_s: float = math.inf,
        read_times: Callable[[], Times] = processor_times.read,
    ) -> None:
        """Creates a detector; the first interval starts now.

        Args:
            interval_s: Longest regular time between checks, seconds.
            now: Returns the monotonic time, seconds.
            retention_s: How long a pause is remembered after its end,
                seconds.
            read_times: Returns the processor times of this process, by which
                the log tells a process that was stopped from one that waited
                for a processor or was busy itself.
        """
        self._min_pause_s = _MIN_PAUSE_INTERVALS * interval_s
        self._now = now
        self._retention_s = retention_s
        self._read_times = read_times
        self._times = read_times()
        self._longest_gap_s = 0.0
        self._last_check_at = now()
        self._longest_pause_s = 0.0
        self._last_pause_ended_at = -math.inf

    @property
    def longest_pause_s(self) -> float:
        """The longest pause that is remembered, seconds; 0 for none."""
        return self._longest_pause_s

    @property
    def longest_gap_s(self) -> float:
        """The longest time between two checks since the start, seconds."""
        return self._longest_gap_s

    def check(self) -> None:
        """Records a pause if the last check was too long ago."""
        now = self._now()
        gap_s = now - self._last_check_at
        self._last_check_at = now
        self._longest_gap_s = max(self._longest_gap_s, gap_s)
        former_times, self._times = self._times, self._read_times()
        if gap_s > self._min_pause_s:
            self._longest_pause_s = max(self._longest_pause_s, gap_s)
            self._last_pause_ended_at = now
            logger.warning(
                "This process did not run for %.2f s: %s.",
                gap_s,
                processor_times.describe(former_times, self._times),
            )
        elif now - self._last_pause_ended_at > self._retention_s:
            self.clear()

    def clear(self) -> None:
        """Forgets the longest pause."""
        self._longest_pause_s = 0.0
