"""An upstream, as described by its own entry in the store."""

from __future__ import annotations

import enum

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import flow

# Capacity of an upstream that is warming up, as a share of its slots. It is
# slower then.
WARMING_UP_CAPACITY_SHARE = 0.6


class UpstreamState(enum.Enum):
    """Whether an upstream may get new flows.

    Attributes:
        READY: It accepts new flows.
        DRAINING: It finishes its open flows and gets no new ones.
        MISSING: Its entry disappeared while the store was unreliable. It may
            still be running, and gets new flows only if no other upstream is
            available.
        ENDED: It no longer runs.
    """

    READY = "ready"
    DRAINING = "draining"
    MISSING = "missing"
    ENDED = "gone"


class Upstream(records.Record, frozen=True):
    """An incarnation of an upstream; a restart creates another upstream.

    Attributes:
        id: Id of this incarnation.
        number: Numeric form of the id, as carried by its packets.
        token: Routing token of its flows, the same for all incarnations with
            the same name and service.
        service: Service that it provides.
        address: Address and port at which it receives packets.
        domain: Failure domain that it runs in.
        slots: Number of requests that it handles concurrently.
        state: Whether it may get new flows.
        warm_up_s: Remaining time for which it is slow after its start, as of
            the writing of its entry, seconds.
        started_at_ms: When it started, milliseconds since 1970; 0 if its
            entry doesn't say so.
    """

    id: ids.UpstreamId
    number: int
    token: int
    service: ids.ServiceName
    address: flow.Endpoint
    domain: ids.DomainId
    slots: int
    state: UpstreamState
    warm_up_s: float = 0.0
    started_at_ms: int = 0
