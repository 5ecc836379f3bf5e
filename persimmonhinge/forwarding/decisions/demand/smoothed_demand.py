"""Demand of this host, smoothed as the reported demand of others is."""

from __future__ import annotations

import math

from persimmonhinge.forwarding.decisions.demand import reported_demand

# Difference between the current demand and the average, in standard deviations
# of random arrivals, from which the demand is changing, and below which it no
# longer is. Lower limits take chance arrivals at one of many hosts for a burst;
# a single limit would switch the state back and forth as a burst ends.
_CHANGING_ABOVE = 4.0
_UNCHANGING_BELOW = 1.0


class SmoothedDemand:
    """Exponentially weighted moving average of this host's own demand.

    Attributes:
        slots: The average, slots.
        is_changing: Whether the demand differs from the average by more than
            chance explains.
    """

    def __init__(self, slots: float, now: float) -> None:
        """Creates an average.

        Args:
            slots: The first value, slots.
            now: The current time, seconds.
        """
        self.slots = slots
        self.is_changing = False
        self._updated_at = now

    def update(self, slots: float, variance: float, now: float) -> None:
        """Adds the value that applies since the last update.

        Args:
            slots: The value, slots.
            variance: Variance of the value due to random arrivals, slots².
            now: The current time, seconds.
        """
        age_s = max(0.0, now - self._updated_at)
        kept = math.exp(-age_s / reported_demand.TIME_CONSTANT_S)
        self.slots = slots + (self.slots - slots) * kept
        self._updated_at = now
        self._update_change(slots, variance)

    def _update_change(self, slots: float, variance: float) -> None:
        if min(slots, self.slots, variance) <= 0:
            self.is_changing = False
            return
        # The variance is proportional to the demand. Its value at the higher
        # of the two keeps a pause of a few requests from being significant.
        variance *= max(1.0, self.slots / slots)
        deviations = abs(slots - self.slots) / math.sqrt(variance)
        if deviations > _CHANGING_ABOVE:
            self.is_changing = True
        elif deviations < _UNCHANGING_BELOW:
            self.is_changing = False
