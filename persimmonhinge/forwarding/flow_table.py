"""What a host remembers of the flows whose packets it carries."""

from __future__ import annotations

import collections

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import flow as flow_module
from persimmonhinge.forwarding import packet as packet_module

# Positions are numbers of 32 bits that start anywhere and wrap around.
_SEQUENCE_MODULUS = 1 << 32
_HALF_MODULUS = _SEQUENCE_MODULUS // 2


class FlowRecord(records.Record):
    """What this host saw of a flow.

    Attributes:
        upstream: Where its packets go.
        seen_at: When a packet of it last came.
        established: True once the caller went on after its opening packet.
        waiting_since: When the request began that the caller has no answer
            to; None if there is none.
        sent_to: Position up to which the caller sent data.
        answered_to: Position up to which it has the answer.
    """

    upstream: ids.UpstreamId
    last_packet_at: float
    established: bool = False
    request_started_at: float | None = None
    sent_up_to: int | None = None
    acknowledged_up_to: int | None = None

    def advance_acknowledged(self, packet: packet_module.Packet) -> bool:
        """Takes in how much of the answer the caller has.

        Returns:
            True if it is more than before.
        """
        former = self.acknowledged_up_to
        if former is None or is_sequence_after(packet.acknowledged, former):
            self.acknowledged_up_to = packet.acknowledged
            return former is not None
        return False

    def advance_sent(self, packet: packet_module.Packet) -> bool:
        """Takes in how much data the caller sent.

        Returns:
            True if the packet holds data that did not come before.
        """
        end = (packet.sequence + packet.length) % _SEQUENCE_MODULUS
        former = self.sent_up_to
        if former is None or is_sequence_after(end, former):
            self.sent_up_to = end
            return packet.length > 0
        return False


def is_sequence_after(sequence: int, other: int) -> bool:
    """Tells whether a position comes after another one."""
    return 0 < (sequence - other) % _SEQUENCE_MODULUS < _HALF_MODULUS


class FlowTable:
    """Remembers flows, the least recently seen first to be forgotten.

    All of it may be lost: where a packet goes follows from its token.
    """

    def __init__(self, max_flows: int) -> None:
        """Makes an empty table.

        Args:
            most: Flows that are remembered.
        """
        self._max_flows = max_flows
        self._records: collections.OrderedDict[
            flow_module.FlowId, FlowRecord
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def get(self, flow: flow_module.FlowId) -> FlowRecord | None:
        """Returns the record of a flow, None if there is none."""
        return self._records.get(flow)

    def put(
        self, flow: flow_module.FlowId, record: FlowRecord
    ) -> FlowRecord | None:
        """Remembers a flow; returns a record that had to make room."""
        self._records[flow] = record
        self._records.move_to_end(flow)
        if len(self._records) > self._max_flows:
            return self._records.popitem(last=False)[1]
        return None

    def touch(
        self, flow: flow_module.FlowId, record: FlowRecord, now: float
    ) -> None:
        """Records that a packet of a known flow came."""
        record.last_packet_at = now
        self._records.move_to_end(flow)

    def remove(self, flow: flow_module.FlowId) -> FlowRecord | None:
        """Forgets a flow; returns its record."""
        return self._records.pop(flow, None)

    def remove_idle(self, last_packet_before: float) -> list[FlowRecord]:
        """Forgets flows without a packet since a time; returns them."""
        removed = []
        while self._records:
            flow, record = next(iter(self._records.items()))
            if record.last_packet_at >= last_packet_before:
                break
            del self._records[flow]
            removed.append(record)
        return removed

    def list_waiting(self, started_before: float) -> list[FlowRecord]:
        """Returns the flows whose request began before a time."""
        return [
            record
            for record in self._records.values()
            if record.request_started_at is not None
            and record.request_started_at < started_before
        ]
