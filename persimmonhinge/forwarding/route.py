"""Where the desired state leads new flows."""

from __future__ import annotations

import enum

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.light_typing import NamedTuple


class Repetition(enum.Enum):
    """What may be done twice."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


class RouteAddress(NamedTuple):
    """Address and port that callers of a route use.

    Attributes:
        address: IPv4 address, 32 bits.
        port: The port.
    """

    address: int
    port: int


class Share(records.Record, frozen=True):
    """A service of a route, and its share of the new flows.

    Attributes:
        service: The service.
        weight: Its weight among the shares of the route; not negative.
    """

    service: ids.ServiceName
    weight: float


class Route(records.Record, frozen=True):
    """A route of the desired state.

    Attributes:
        name: Its name.
        at: What callers address.
        shares: Services that new flows go to, by weight.
        priority: Rank of its requests; 0 is the most important.
        repetition: Whether its requests may run twice.
        regions: Regions where its requests may run; empty for all.
    """

    name: str
    virtual_address: RouteAddress
    shares: tuple[Share, ...]
    priority: int
    repetition: Repetition
    regions: frozenset[ids.RegionId] = frozenset()
