"""Interface of the part that knows which failure domains have free capacity."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.light_typing import Protocol


class RoomSource(Protocol):
    """Capacity of a service in each failure domain, and what is left of it."""

    def capacity(
        self, service: ids.ServiceName, domain: ids.DomainId, now: float
    ) -> float:
        """Returns the capacity of a service in a failure domain, in slots."""

    def room(
        self, service: ids.ServiceName, domain: ids.DomainId, now: float
    ) -> float:
        """Returns capacity minus demand, in slots.

        It is negative if the demand is above the capacity, and 0 or less if
        nothing is known of the demand in the domain.
        """
