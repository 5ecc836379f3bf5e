"""Log lines about the memory and the descriptors of the process."""

from __future__ import annotations

import logging

from persimmonhinge import process_usage

logger = logging.getLogger(__name__)

# Time between two lines, seconds.
_INTERVAL_S = 60.0
# Part of a limit above which a line is written at once.
_HIGH_PART = 0.8
_OCTETS_PER_MB = 1_000_000


class UsageReports:
    """Logs usage each minute, and as soon as it nears a limit.

    A process that the kernel kills writes no last line. These lines tell
    whether it had run out of memory.
    """

    def __init__(self, memory_limit_mb: float | None) -> None:
        """Creates the reports.

        Args:
            memory_limit_mb: Memory above which the process is killed, MB; None
                if it is not known.
        """
        self._memory_limit: float | None = None
        if memory_limit_mb is not None:
            self._memory_limit = memory_limit_mb * _OCTETS_PER_MB
        self._due_at: float | None = None
        self._was_high = False

    def report(self, now: float) -> None:
        """Logs usage if it is time, or if it has come near a limit.

        Args:
            now: The time, seconds.
        """
        memory = process_usage.read_resident_octets()
        descriptors = process_usage.count_descriptors()
        descriptor_limit = process_usage.read_descriptor_limit()
        is_high = _is_near(memory, self._memory_limit) or _is_near(
            descriptors, descriptor_limit
        )
        is_due = self._due_at is None or now >= self._due_at
        if is_due or (is_high and not self._was_high):
            self._due_at = now + _INTERVAL_S
            logger.log(
                logging.WARNING if is_high else logging.INFO,
                "Process usage.",
                extra={
                    "resident_memory_bytes": memory,
                    "peak_memory_bytes": process_usage.read_peak_octets(),
                    "memory_limit_bytes": self._memory_limit,
                    "open_fds": descriptors,
                    "max_fds": descriptor_limit,
                },
            )
        self._was_high = is_high


def _is_near(value: int | None, limit: float | None) -> bool:
    if value is None or limit is None:
        return False
    return value >= limit * _HIGH_PART
