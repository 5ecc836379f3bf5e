"""The order of notifications (RFC 7641, 3.4)."""

from __future__ import annotations

_HALF_RANGE = 1 << 23
_FRESH_AFTER_S = 128.0


class NotificationOrder:
    """Tells newer notifications from late and duplicated ones."""

    def __init__(self) -> None:
        self._sequence: int | None = None
        self._taken_at = 0.0

    def take(self, sequence: int, now_s: float) -> bool:
        """Takes in a number; False if a newer one was seen.

        Args:
            sequence: 24-bit number, which wraps.
            now_s: Monotonic time, seconds.
        """
        newer = (
            self._sequence is None
            or 0 < (sequence - self._sequence) % (2 * _HALF_RANGE) < _HALF_RANGE
            or now_s > self._taken_at + _FRESH_AFTER_S
        )
        if newer:
            self._sequence = sequence
            self._taken_at = now_s
        return newer
