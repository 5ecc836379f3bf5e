"""Routes of the desired state, which assign new flows to services."""

from __future__ import annotations

import enum

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.light_typing import NamedTuple


class Repetition(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


class RouteAddress(NamedTuple):
    """Destination address and port of the packets that a route applies to.

    Attributes:
        address: IPv4 address, 32 bits.
        port: Port number.
    """

    address: int
    port: int


class Share(records.Record, frozen=True):
    """A service of a route and the weight by which it receives new flows.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other shares of the route; not negative.
    """

    service: ids.ServiceName
    weight: float


class Route(records.Record, frozen=True):
    """A route of the desired state.

    Attributes:
        name: Name of the route.
        virtual_address: Destination address and port of the callers' packets.
        shares: Services that receive new flows, with their weights.
        priority: Priority of the route's requests; 0 is the highest.
        repetition: Whether the route's requests may run more than once.
        regions: Regions in which the route's requests may run; empty for all.
        target_latency_s: Time within which callers need the answer, seconds;
            None if the desired state does not state it.
        timeout_s: Time after which callers give up a request, seconds; None if
            the desired state does not state it.
    """

    name: str
    virtual_address: RouteAddress
    shares: tuple[Share, ...]
    priority: int
    repetition: Repetition
    regions: frozenset[ids.RegionId] = frozenset()
    target_latency_s: float | None = None
    timeout_s: float | None = None

    @property
    def takes_part(self) -> bool:
        """Whether the route's flows take part in overload control."""
        return self.target_latency_s is not None and self.timeout_s is not None
