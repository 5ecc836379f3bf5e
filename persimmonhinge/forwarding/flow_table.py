"""Table of the flows whose packets a host forwards."""

from __future__ import annotations

import collections

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import flow as flow_module
from persimmonhinge.forwarding import packet as packet_module
from persimmonhinge.forwarding import route as route_module

# Sequence numbers have 32 bits, start at any value and wrap around.
_SEQUENCE_MODULUS = 1 << 32
_HALF_MODULUS = _SEQUENCE_MODULUS // 2
# More data than a caller sends in one flow, octets.
_MAX_SENT_OCTETS = 1 << 28


class FlowRecord(records.Record):
    """State of one flow, as observed by this host.

    Attributes:
        upstream: Upstream that receives the packets of the flow.
        token: Routing token of that upstream.
        route: Address of the route of the flow.
        last_packet_at: When the last packet of the flow arrived, seconds.
        established: True once the caller sent a packet after its opening
            packet.
        request_started_at: Start of the request that is in flight, seconds;
            None if no request is in flight.
        sent_up_to: Sequence number after the last octet that the caller sent;
            None if not known yet.
        acknowledged_up_to: Highest sequence number that the caller
            acknowledged; None if not known yet.
        in_flight_at_start: Number of other requests known to be in flight at
            the upstream when the newest request was sent; None if it was sent
            before overload control was ready.
        is_counted: Whether the flow counts as an open flow at its upstream.
        repeated: Whether the caller repeated data of the newest request.
        opening_sequence: Sequence number of its opening packet; None if
            another host received that.
    """

    upstream: ids.UpstreamId
    token: int
    route: route_module.RouteAddress
    last_packet_at: float
    established: bool = False
    request_started_at: float | None = None
    sent_up_to: int | None = None
    acknowledged_up_to: int | None = None
    in_flight_at_start: int | None = None
    is_counted: bool = False
    repeated: bool = False
    opening_sequence: int | None = None

    def is_opened_by(self, packet: packet_module.Packet) -> bool:
        """Returns whether an opening packet is one of this flow.

        Otherwise its caller uses the port again, for another flow.
        """
        if self.opening_sequence is not None:
            return packet.sequence == self.opening_sequence
        if self.sent_up_to is None:
            return True
        sent_octets = (self.sent_up_to - packet.sequence) % _SEQUENCE_MODULUS
        return sent_octets <= _MAX_SENT_OCTETS

    def is_waiting_since(self, started_before: float) -> bool:
        """Returns whether its request in flight started before a time."""
        started_at = self.request_started_at
        return started_at is not None and started_at < started_before

    def advance_acknowledged(self, packet: packet_module.Packet) -> int:
        """Updates the highest acknowledged sequence number from a packet.

        Returns:
            Number of octets that the packet acknowledges beyond all earlier
            ones; 0 if this host has no earlier acknowledgement of the flow.
        """
        former = self.acknowledged_up_to
        if former is None:
            self.acknowledged_up_to = packet.acknowledged
            return 0
        if not is_sequence_after(packet.acknowledged, former):
            return 0
        self.acknowledged_up_to = packet.acknowledged
        return (packet.acknowledged - former) % _SEQUENCE_MODULUS

    def advance_sent(self, packet: packet_module.Packet) -> bool:
        """Updates the highest sent sequence number from a packet.

        Returns:
            True if the packet holds data that no earlier packet held.
        """
        end = (packet.sequence + packet.length) % _SEQUENCE_MODULUS
        former = self.sent_up_to
        if former is None or is_sequence_after(end, former):
            self.sent_up_to = end
            return packet.length > 0
        return False


def is_sequence_after(sequence: int, other: int) -> bool:
    """Returns whether a sequence number is after another, modulo 2**32."""
    return 0 < (sequence - other) % _SEQUENCE_MODULUS < _HALF_MODULUS


class FlowTable:
    """Records of flows; a full table evicts the least recently used one.

    Losing the table breaks no flow, as the upstream of a packet follows from
    its routing token.
    """

    def __init__(self, max_flows: int) -> None:
        """Creates an empty table.

        Args:
            max_flows: Maximum number of flows in the table.
        """
        self._max_flows = max_flows
        self._records: collections.OrderedDict[
            flow_module.FlowId, FlowRecord
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, flow: flow_module.FlowId) -> FlowRecord | None:
        """Returns the record of a flow, or None if the table has none."""
        return self._records.get(flow)

    def put(
        self, flow: flow_module.FlowId, record: FlowRecord
    ) -> FlowRecord | None:
        """Stores the record of a flow; returns the evicted record, if any."""
        self._records[flow] = record
        self._records.move_to_end(flow)
        if len(self._records) > self._max_flows:
            return self._records.popitem(last=False)[1]
        return None

    def touch(
        self, flow: flow_module.FlowId, record: FlowRecord, now: float
    ) -> None:
        """Records the arrival of a packet of a stored flow."""
        record.last_packet_at = now
        self._records.move_to_end(flow)

    def remove(self, flow: flow_module.FlowId) -> FlowRecord | None:
        """Removes a flow; returns its record, or None if the table has none."""
        return self._records.pop(flow, None)

    def remove_idle(
        self, last_packet_before: float, max_count: int
    ) -> list[FlowRecord]:
        """Removes flows without packets since a time; returns their records.

        Args:
            last_packet_before: The time, seconds.
            max_count: Maximum number of flows to remove.
        """
        removed: list[FlowRecord] = []
        while self._records and len(removed) < max_count:
            flow, record = next(iter(self._records.items()))
            if record.last_packet_at >= last_packet_before:
                break
            del self._records[flow]
            removed.append(record)
        return removed

    def list_waiting(self, started_before: float) -> list[FlowRecord]:
        """Returns the records whose request started before a time."""
        return [
            record
            for record in self._records.values()
            if record.is_waiting_since(started_before)
        ]
