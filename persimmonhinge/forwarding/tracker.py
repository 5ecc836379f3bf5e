"""Follows flows by their packets: which requests are in flight, and where."""

from __future__ import annotations

from collections.abc import Callable
import time

from persimmonhinge import ids
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import flow_table as flow_tables
from persimmonhinge.forwarding import packet as packets
from persimmonhinge.forwarding.decisions import loads as load_books
from persimmonhinge.metrics import counts as host_counts

# A request without an answer for so long is no longer counted as work of its
# upstream, seconds: callers of the shortest requests give up after 1 s, and
# their packets may have gone on through another host since.
_STALE_S = 3.0


class FlowTracker:
    """Keeps the flow table and the load book in step."""

    def __init__(
        self,
        flow_table: flow_tables.FlowTable,
        loads: load_books.LoadTable,
        counts: host_counts.Counts,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._flows = flow_table
        self._loads = loads
        self._counts = counts
        self._clock = clock

    def get(self, flow: flows.FlowId) -> flow_tables.FlowRecord | None:
        """Returns what is known of a flow."""
        return self._flows.get(flow)

    def open(self, flow: flows.FlowId, upstream: ids.UpstreamId) -> None:
        """Records where an opening packet was sent.

        The request that follows counts at once, so that openings that come
        in a row do not all go to the upstream that was idle before them.
        """
        self.forget(flow)
        now = self._clock()
        record = flow_tables.FlowRecord(upstream, now)
        self._keep(flow, record)
        self._begin(record, now)

    def observe(self, packet: packets.Packet, upstream: ids.UpstreamId) -> bool:
        """Learns from a packet of an open flow.

        Returns:
            True if it is the first since the opening packet that came here.
        """
        now = self._clock()
        record = self._flows.get(packet.flow)
        first = record is not None and not record.established
        if record is None:
            record = self._keep_unknown(packet.flow, upstream, now)
        if record.upstream != upstream:
            self._end(record)
            record.upstream = upstream
        if first and record.waiting_since is not None:
            self._counts.observe("opening_seconds", now - record.waiting_since)
        record.established = True
        self._observe_work(packet, record, now)
        return first

    def _keep_unknown(
        self, flow: flows.FlowId, upstream: ids.UpstreamId, now: float
    ) -> flow_tables.FlowRecord:
        """Remembers a flow that another host opened.

        Its first packet here proves nothing: its caller may wait for an
        upstream that has gone dark since.
        """
        record = flow_tables.FlowRecord(upstream, now)
        self._keep(flow, record)
        return record

    def _observe_work(
        self, packet: packets.Packet, record: flow_tables.FlowRecord, now: float
    ) -> None:
        """Learns which requests begin and end."""
        self._flows.touch(packet.flow, record, now)
        if record.advance_answer(packet):
            self._observe_answer(record, now)
            self._end(record)
        if packet.ends or packet.aborts:
            self._end(record)
        if record.advance_request(packet):
            self._begin(record, now)

    def forget(self, flow: flows.FlowId) -> None:
        """Forgets a flow."""
        record = self._flows.remove(flow)
        if record is not None:
            self._end(record)

    def sweep(self, idle_s: float) -> None:
        """Forgets idle flows, and requests whose end was not seen.

        Args:
            idle_s: Time without a packet after which a flow is idle, seconds.
        """
        now = self._clock()
        for record in self._flows.remove_idle(now - idle_s):
            self._end(record)
        for record in self._flows.waiting(now - _STALE_S):
            self._end(record)

    def _keep(self, flow: flows.FlowId, record: flow_tables.FlowRecord) -> None:
        dropped = self._flows.put(flow, record)
        if dropped is not None:
            self._end(dropped)

    def _observe_answer(
        self, record: flow_tables.FlowRecord, now: float
    ) -> None:
        if record.waiting_since is not None:
            waited_s = now - record.waiting_since
            self._counts.observe("answer_seconds", waited_s)

    def _begin(self, record: flow_tables.FlowRecord, now: float) -> None:
        if record.waiting_since is None:
            record.waiting_since = now
            self._loads.record_request_start(record.upstream)

    def _end(self, record: flow_tables.FlowRecord) -> None:
        if record.waiting_since is not None:
            record.waiting_since = None
            self._loads.record_request_end(record.upstream)
