"""Detection of outdated notifications of an observation."""

from __future__ import annotations

# Limits for the order of notifications, RFC 7641 section 3.4.
_HALF_RANGE = 1 << 23
_STALE_AFTER_S = 128.0


class Freshness:
    """Detects outdated notifications by observe number and time."""

    def __init__(self) -> None:
        self._newest_number: int | None = None
        self._received_at = 0.0

    def accept(self, number: int, now: float) -> bool:
        """Records the observe number of a notification if it is newer.

        Returns:
            False if the notification is outdated or a duplicate.
        """
        if self._newest_number is not None and not self._is_fresh(number, now):
            return False
        self._newest_number = number
        self._received_at = now
        return True

    def _is_fresh(self, number: int, now: float) -> bool:
        assert self._newest_number is not None
        if now > self._received_at + _STALE_AFTER_S:
            return True
        former = self._newest_number
        if former < number:
            return number - former < _HALF_RANGE
        return former - number > _HALF_RANGE
