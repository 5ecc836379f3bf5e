"""What a host remembers of the flows whose packets it carries."""

from __future__ import annotations

import collections

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import packet as packets

# Positions are numbers of 32 bits that start anywhere and wrap around.
_POSITIONS = 1 << 32
_HALF = _POSITIONS // 2


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
    seen_at: float
    established: bool = False
    waiting_since: float | None = None
    sent_to: int | None = None
    answered_to: int | None = None

    def advance_answer(self, packet: packets.Packet) -> bool:
        """Takes in how much of the answer the caller has.

        Returns:
            True if it is more than before.
        """
        former = self.answered_to
        if former is None or is_beyond(packet.acknowledged, former):
            self.answered_to = packet.acknowledged
            return former is not None
        return False

    def advance_request(self, packet: packets.Packet) -> bool:
        """Takes in how much data the caller sent.

        Returns:
            True if the packet holds data that did not come before.
        """
        end = (packet.sequence + packet.length) % _POSITIONS
        former = self.sent_to
        if former is None or is_beyond(end, former):
            self.sent_to = end
            return packet.length > 0
        return False


def is_beyond(position: int, other: int) -> bool:
    """Tells whether a position comes after another one."""
    return 0 < (position - other) % _POSITIONS < _HALF


class FlowTable:
    """Remembers flows, the least recently seen first to be forgotten.

    All of it may be lost: where a packet goes follows from its token.
    """

    def __init__(self, most: int) -> None:
        """Makes an empty table.

        Args:
            most: Flows that are remembered.
        """
        self._most = most
        self._records: collections.OrderedDict[flows.FlowId, FlowRecord] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def get(self, flow: flows.FlowId) -> FlowRecord | None:
        """Returns the record of a flow, None if there is none."""
        return self._records.get(flow)

    def put(self, flow: flows.FlowId, record: FlowRecord) -> FlowRecord | None:
        """Remembers a flow; returns a record that had to make room."""
        self._records[flow] = record
        self._records.move_to_end(flow)
        if len(self._records) > self._most:
            return self._records.popitem(last=False)[1]
        return None

    def touch(self, flow: flows.FlowId, record: FlowRecord, now: float) -> None:
        """Records that a packet of a known flow came."""
        record.seen_at = now
        self._records.move_to_end(flow)

    def remove(self, flow: flows.FlowId) -> FlowRecord | None:
        """Forgets a flow; returns its record."""
        return self._records.pop(flow, None)

    def remove_idle(self, before: float) -> list[FlowRecord]:
        """Forgets flows without a packet since a time; returns them."""
        removed = []
        while self._records:
            flow, record = next(iter(self._records.items()))
            if record.seen_at >= before:
                break
            del self._records[flow]
            removed.append(record)
        return removed

    def waiting(self, before: float) -> list[FlowRecord]:
        """Returns the flows whose request began before a time."""
        return [
            record
            for record in self._records.values()
            if record.waiting_since is not None
            and record.waiting_since < before
        ]
