"""Sum whose older terms count exponentially less."""

from __future__ import annotations

import math


class DecayingSum:
    """A sum of amounts, each of which decays exponentially with its age."""

    __slots__ = ("_time_constant_s", "_updated_at", "_value")

    def __init__(self, time_constant_s: float) -> None:
        """Creates an empty sum.

        Args:
            time_constant_s: Age at which an amount counts 1/e, seconds.
        """
        self._time_constant_s = time_constant_s
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Adds an amount at a time, seconds."""
        self._value = self.compute_value(now) + amount
        self._updated_at = now

    def compute_value(self, now: float) -> float:
        """Returns the sum at a time, seconds."""
        age_s = max(0.0, now - self._updated_at)
        return self._value * math.exp(-age_s / self._time_constant_s)
