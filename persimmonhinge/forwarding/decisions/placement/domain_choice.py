"""Choice of the failure domain that receives a new flow."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

from persimmonhinge import ids
from persimmonhinge.forwarding import directory as directory_module
from persimmonhinge.forwarding.decisions.placement import (
    room_source as room_source_module,
)
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


class DomainChoice:
    """Chooses the own failure domain while it has room, others beyond that.

    Hosts that all sent their excess to the domain with the most room would
    overload it before the next reports. So each flow beyond the own capacity
    goes to a random domain, with a probability in proportion to its room.
    """

    def __init__(
        self,
        domain: ids.DomainId,
        directory: directory_module.Directory,
        rooms: room_source_module.RoomSource,
        randomness: random.Random,
    ) -> None:
        """Creates the choice of a host.

        Args:
            domain: Failure domain of the host.
            directory: The known upstreams, for the failure domains.
            rooms: Capacity and room of each failure domain.
            randomness: Source of random numbers.
        """
        self._domain = domain
        self._directory = directory
        self._rooms = rooms
        self._random = randomness

    def choose(
        self,
        service: ids.ServiceName,
        excluded_domains: Collection[ids.DomainId],
        now: float,
    ) -> ids.DomainId | None:
        """Returns the failure domain for a new flow.

        Args:
            service: Service of the flow.
            excluded_domains: Failure domains that must not receive the flow.
            now: The current time, seconds.

        Returns:
            The failure domain; None if the flow should leave the own domain
            and no other one is known to have room.
        """
        capacity = 0.0
        if self._domain not in excluded_domains:
            capacity = self._rooms.capacity(service, self._domain, now)
        room = self._rooms.room(service, self._domain, now)
        if capacity > 0 and room >= 0:
            return self._domain
        others = {
            domain: self._rooms.room(service, domain, now)
            for domain in sorted(self._directory.domains)
            if domain != self._domain and domain not in excluded_domains
        }
        excess = max(0.0, -room)
        overflow = _compute_overflow(excess, others)
        # Without room elsewhere, the whole excess is compared by load instead.
        leaving = overflow or excess
        leaving_share = leaving / (capacity + leaving) if capacity else 1.0
        if self._random.random() >= leaving_share:
            return self._domain
        return self._draw(others)

    def _draw(self, rooms: Mapping[ids.DomainId, float]) -> ids.DomainId | None:
        """Returns a random domain by its room, None if none has room."""
        free = {domain: room for domain, room in rooms.items() if room > 0}
        position = self._random.random() * sum(free.values())
        last = None
        for domain, room in free.items():
            last = domain
            position -= room
            if position < 0:
                break
        return last


def _compute_overflow(
    excess: float, others: Mapping[ids.DomainId, float]
) -> float:
    """Returns the part of the own excess that other domains have room for.

    Domains with an excess share the free room in proportion to it. Demand
    counts all flows that arrive, also those that are rejected. If the whole
    excess left in a long overload, the other domains would receive more than
    they have room for, and the own upstreams less than they can do.

    Args:
        excess: Demand above the capacity of the own domain, slots.
        others: Room of the other domains, slots; negative for an excess.
    """
    free = sum(room for room in others.values() if room > 0)
    total_excess = excess - sum(room for room in others.values() if room < 0)
    if not total_excess:
        return 0.0
    return excess * min(1.0, free / total_excess)
