"""How many slots a cold upstream gets."""

from __future__ import annotations

import math


class SlowStart:
    """Gives a cold upstream its slots little by little.

    Attributes:
        begun_at: When the upstream was new; None if it is warm.
    """

    def __init__(self, begun_at: float | None = None) -> None:
        self.begun_at = begun_at

    def count_slots(self, slots: int, length_s: float, now: float) -> int:
        """Returns the slots that may be used now, at least 1.

        Args:
            slots: Slots of the contract.
            length_s: Time until it gets all of them, seconds.
            now: The time.
        """
        if self.begun_at is None or length_s <= 0:
            return slots
        warmth = (now - self.begun_at) / length_s
        if warmth >= 1:
            self.begun_at = None
            return slots
        return max(1, math.floor(slots * warmth))
