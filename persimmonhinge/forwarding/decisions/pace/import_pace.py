"""Division of time between imports and packets while a host starts."""

from __future__ import annotations

from collections.abc import Callable
import time

# Time for packets after each import, as a multiple of the import's duration.
_PACKET_TIME_FACTOR = 1.0
# Maximum time for packets after one import.
_MAX_PACKET_TIME_PER_IMPORT_S = 0.05
# A burst ends when no packet arrives for this time. Callers retransmit after
# 0.2 s.
_BURST_TIMEOUT_S = 0.2
# Maximum time for packets over the whole start, because the host receives no
# updates from the platform until the imports are done.
_MAX_TOTAL_PACKET_TIME_S = 1.0


class ImportPace:
    """Divides the time of a start between imports and packets.

    After a restart of all hosts, the packets that callers sent in the meantime
    arrive in one burst, and each would be delayed by several imports. During a
    burst, imports pause for packets. Without a burst, imports do not pause.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._import_started_at = clock()
        self._burst_ends_at = clock()
        self._packet_time_left_s = _MAX_TOTAL_PACKET_TIME_S

    def record_import_end(self, packet_count: int) -> float:
        """Records that an import ended.

        Args:
            packet_count: Number of packets that arrived during the import.

        Returns:
            Time for which to serve packets before the next import, seconds.
        """
        now = self._clock()
        if packet_count:
            self._burst_ends_at = now + _BURST_TIMEOUT_S
        if now >= self._burst_ends_at:
            return 0.0
        import_time_s = now - self._import_started_at
        packet_time_s = min(
            import_time_s * _PACKET_TIME_FACTOR,
            _MAX_PACKET_TIME_PER_IMPORT_S,
            self._packet_time_left_s,
        )
        self._packet_time_left_s -= packet_time_s
        return packet_time_s

    def record_import_start(self) -> None:
        """Records that the next import starts."""
        self._import_started_at = self._clock()
