"""A new flow that waits until upstreams can serve it."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import packet as packet_module
from persimmonhinge.forwarding import route as route_module

# Times after its first opening packet by which a caller's copies have arrived,
# seconds. Callers send them after 0.2 and 0.6 s.
_COPIES_ARRIVE_S = (0.25, 0.65)


class WaitingFlow(records.Record):
    """A new flow that waits at this host; an `order.QueuedWork`.

    Attributes:
        packet: The newest copy of its opening packet.
        route: Its route.
        service: Its service.
        cost_s: Expected work of its request, seconds.
        arrived_at: When its first opening packet arrived, seconds.
        deadline: Time until which its request has to start to be answered
            within the target latency, seconds.
        expires_at: Time at which it is rejected, seconds.
        sequence: Its number in order of arrival.
        attempt: Number of its caller's attempt, from 1.
        has_first_packet: Whether its first opening packet came to this host. If
            not, another host may have placed the flow.
        priority: Rank in the queue; see `make_rank`.
        call_class: Address of the caller. Callers get equal shares.
        share: Always 0; the reserve of a priority is part of the work budget.
    """

    packet: packet_module.Packet
    route: route_module.Route
    service: ids.ServiceName
    cost_s: float
    arrived_at: float
    deadline: float
    expires_at: float
    sequence: int
    attempt: int
    priority: int
    call_class: ids.CallClassName
    has_first_packet: bool = True
    share: float = 0.0

    def is_repeated_here(self, now: float) -> bool:
        """Returns whether the caller's copies have come to this host.

        If one has not, the fabric may send the flow to another host now, which
        may have opened it. An open flow must neither be reset nor opened at a
        second upstream.
        """
        waited_s = now - self.arrived_at
        expected = sum(waited_s >= time_s for time_s in _COPIES_ARRIVE_S)
        return self.packet.copy >= expected

    @property
    def is_late(self) -> bool:
        """Whether it can't be answered within the target latency any more."""
        return self.priority % 2 == 1


def make_rank(priority: int, is_late: bool) -> int:
    """Returns the place of a flow in the queue of a service, 0 first."""
    return 2 * priority + is_late
