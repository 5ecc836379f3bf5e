"""Follows flows by their packets: which requests are in flight, and where."""

from __future__ import annotations

from collections.abc import Callable
import time

from persimmonhinge import ids
from persimmonhinge.forwarding import flow as flow_module
from persimmonhinge.forwarding import flow_table as flow_table_module
from persimmonhinge.forwarding import packet as packet_module
from persimmonhinge.forwarding.decisions import loads as loads_module
from persimmonhinge.metrics import counts as counts_module

# A request without an answer for so long is no longer counted as work of its
# upstream, seconds: callers of the shortest requests give up after 1 s, and
# their packets may have gone on through another host since.
_REQUEST_TIMEOUT_S = 3.0


class FlowTracker:
    """Keeps the flow table and the load book in step."""

    def __init__(
        self,
        flow_table: flow_table_module.FlowTable,
        loads: loads_module.LoadBook,
        counts: counts_module.Counts,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._flows = flow_table
        self._loads = loads
        self._counts = counts
        self._clock = clock

    def get(
        self, flow: flow_module.FlowId
    ) -> flow_table_module.FlowRecord | None:
        """Returns what is known of a flow."""
        return self._flows.get(flow)

    def record_opening(
        self, flow: flow_module.FlowId, upstream: ids.UpstreamId
    ) -> None:
        """Records where an opening packet was sent.

        The request that follows counts at once, so that openings that come
        in a row do not all go to the upstream that was idle before them.
        """
        self.remove_flow(flow)
        now = self._clock()
        record = flow_table_module.FlowRecord(upstream, now)
        self._store_record(flow, record)
        self._start_request(record, now)

    def record_packet(
        self, packet: packet_module.Packet, upstream: ids.UpstreamId
    ) -> bool:
        """Learns from a packet of an open flow.

        Returns:
            True if it is the first since the opening packet that came here.
        """
        now = self._clock()
        record = self._flows.get(packet.flow)
        first = record is not None and not record.established
        if record is None:
            record = self._add_flow_of_other_host(packet.flow, upstream, now)
        if record.upstream != upstream:
            self._finish_request(record)
            record.upstream = upstream
        if first and record.request_started_at is not None:
            self._counts.observe(
                "opening_seconds", now - record.request_started_at
            )
        record.established = True
        self._update_request(packet, record, now)
        return first

    def _add_flow_of_other_host(
        self, flow: flow_module.FlowId, upstream: ids.UpstreamId, now: float
    ) -> flow_table_module.FlowRecord:
        """Remembers a flow that another host opened.

        Its first packet here proves nothing: its caller may wait for an
        upstream that has gone dark since.
        """
        record = flow_table_module.FlowRecord(upstream, now)
        self._store_record(flow, record)
        return record

    def _update_request(
        self,
        packet: packet_module.Packet,
        record: flow_table_module.FlowRecord,
        now: float,
    ) -> None:
        """Learns which requests begin and end."""
        self._flows.touch(packet.flow, record, now)
        if record.advance_acknowledged(packet):
            self._record_answer_time(record, now)
            self._finish_request(record)
        if packet.ends or packet.aborts:
            self._finish_request(record)
        if record.advance_sent(packet):
            self._start_request(record, now)

    def remove_flow(self, flow: flow_module.FlowId) -> None:
        """Forgets a flow."""
        record = self._flows.remove(flow)
        if record is not None:
            self._finish_request(record)

    def remove_expired(self, idle_s: float) -> None:
        """Forgets idle flows, and requests whose end was not seen.

        Args:
            idle_s: Time without a packet after which a flow is idle, seconds.
        """
        now = self._clock()
        for record in self._flows.remove_idle(now - idle_s):
            self._finish_request(record)
        for record in self._flows.list_waiting(now - _REQUEST_TIMEOUT_S):
            self._finish_request(record)

    def _store_record(
        self, flow: flow_module.FlowId, record: flow_table_module.FlowRecord
    ) -> None:
        dropped = self._flows.put(flow, record)
        if dropped is not None:
            self._finish_request(dropped)

    def _record_answer_time(
        self, record: flow_table_module.FlowRecord, now: float
    ) -> None:
        if record.request_started_at is not None:
            waited_s = now - record.request_started_at
            self._counts.observe("answer_seconds", waited_s)

    def _start_request(
        self, record: flow_table_module.FlowRecord, now: float
    ) -> None:
        if record.request_started_at is None:
            record.request_started_at = now
            self._loads.begin(record.upstream)

    def _finish_request(self, record: flow_table_module.FlowRecord) -> None:
        if record.request_started_at is not None:
            record.request_started_at = None
            self._loads.end(record.upstream)
