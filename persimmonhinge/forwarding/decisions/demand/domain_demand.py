"""Demand for a service in one failure domain."""

from __future__ import annotations

from persimmonhinge import records


class DomainDemand(records.Record, frozen=True):
    """Demand of all hosts of a failure domain for one service.

    Attributes:
        slots: The demand, slots.
        age_s: Time since another host of the domain last reported it, seconds;
            0 if it follows from observations of this host alone.
    """

    slots: float
    age_s: float
