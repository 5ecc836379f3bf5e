"""Gradual increase of the usable slots of an upstream that has started."""

from __future__ import annotations

import math


class SlowStart:
    """Increases the usable slots of an upstream while it is warming up.

    Attributes:
        started_at: Time at which the upstream started; None if it is not
            warming up.
    """

    def __init__(self, started_at: float | None = None) -> None:
        self.started_at = started_at

    def count_slots(self, slots: int, duration_s: float, now: float) -> int:
        """Returns the number of slots that may be used now, at least 1.

        Args:
            slots: Number of slots in the contract.
            duration_s: Time from the start until all slots are usable, seconds.
            now: Current time.
        """
        if self.started_at is None or duration_s <= 0:
            return slots
        progress = (now - self.started_at) / duration_s
        if progress >= 1:
            self.started_at = None
            return slots
        return max(1, math.floor(slots * progress))
