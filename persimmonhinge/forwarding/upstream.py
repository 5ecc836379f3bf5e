"""An upstream as its own entry describes it."""

from __future__ import annotations

import enum

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import flow as flows


class UpstreamState(enum.Enum):
    """Whether an upstream may get new flows.

    Attributes:
        READY: It takes new flows.
        DRAINING: It finishes what it has.
        MISSING: Its entry ended while the store was not to be relied on; it
            may live, and takes new flows only where nothing else is left.
        GONE: It has ended.
    """

    READY = "ready"
    DRAINING = "draining"
    MISSING = "missing"
    ENDED = "gone"


class Upstream(records.Record, frozen=True):
    """An upstream; a restarted one is another upstream.

    Attributes:
        id: Its id.
        number: The id as the number that its packets carry.
        token: Routing token of its flows.
        service: Its service.
        address: Where it receives packets.
        domain: Its failure domain.
        slots: Requests that it works on at a time.
        state: Whether it takes new flows.
        cold_s: How much longer it was slow after its start when it said so,
            seconds.
    """

    id: ids.UpstreamId
    number: int
    token: int
    service: ids.ServiceName
    address: flows.Endpoint
    domain: ids.DomainId
    slots: int
    state: UpstreamState
    warm_up_s: float = 0.0
