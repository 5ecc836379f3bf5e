"""What a host remembers of the flows whose packets it carries."""

from __future__ import annotations

import collections

import msgspec

from persimmonhinge import ids
from persimmonhinge.forwarding import flow as flows


class FlowRecord(msgspec.Struct):
    """What this host saw of a flow.

    Attributes:
        upstream: Where its packets go.
        seen_at: When a packet of it last came.
        established: True once the caller went on after its opening packet.
        sequence: Highest position of data that the caller sent.
        acknowledged: Highest position of the answer that it confirmed.
    """

    upstream: ids.UpstreamId
    seen_at: float
    established: bool = False
    sequence: int = 0
    acknowledged: int = 0


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
