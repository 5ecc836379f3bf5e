"""How many slots a cold upstream gets."""

from __future__ import annotations

import math


class SlowStart:
    """Gives a cold upstream its slots little by little.

    Attributes:
        begun_at: When the upstream was new; None if it is warm.
    """

    def __init__(self, started_at: float | None = None) -> None:
        self.started_at = started_at

    def count_slots(self, slots: int, duration_s: float, now: float) -> int:
        """Returns the slots that may be used now, at least 1.

        Args:
            slots: Slots of the contract.
            length_s: Time until it gets all of them, seconds.
            now: The time.
        """
        if self.started_at is None or duration_s <= 0:
            return slots
        progress = (now - self.started_at) / duration_s
        if progress >= 1:
            self.started_at = None
            return slots
        return max(1, math.floor(slots * progress))
