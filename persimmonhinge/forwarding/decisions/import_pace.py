"""How a host that has just started divides its time."""

from __future__ import annotations

from collections.abc import Callable
import time

# Time for packets after each import, as a multiple of the time that it took.
_PACKET_TIME_FACTOR = 1.0
# Longest time for packets in one go, seconds.
_MAX_PACKET_TURN_S = 0.05
# Packets count as a rush for so long after they came, seconds: callers repeat
# theirs after 0.2 s.
_BURST_TIMEOUT_S = 0.2
# Time for packets in all, seconds. The host hears nothing of the platform
# meanwhile.
_MAX_PACKET_TIME_S = 1.0


class ImportPace:
    """Divides the time until all modules are imported.

    Guards against late answers after a restart of all hosts: all that was
    asked while they were away comes at once, and each packet of it would wait
    for some imports. Without a rush nothing waits.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._import_started_at = clock()
        self._burst_ends_at = clock()
        self._packet_time_left_s = _MAX_PACKET_TIME_S

    def record_import_end(self, packet_count: int) -> float:
        """Records the end of an import.

        Args:
            packets: Packets that came meanwhile.

        Returns:
            How long packets are to be served before the next, seconds.
        """
        now = self._clock()
        if packet_count:
            self._burst_ends_at = now + _BURST_TIMEOUT_S
        if now >= self._burst_ends_at:
            return 0.0
        took_s = now - self._import_started_at
        wait_s = min(
            took_s * _PACKET_TIME_FACTOR,
            _MAX_PACKET_TURN_S,
            self._packet_time_left_s,
        )
        self._packet_time_left_s -= wait_s
        return wait_s

    def record_import_start(self) -> None:
        """Records that the next import begins."""
        self._import_started_at = self._clock()
