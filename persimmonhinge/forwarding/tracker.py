"""Tracks flows and counts the requests in flight at each upstream."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import time

from persimmonhinge import ids
from persimmonhinge.forwarding import flow as flow_module
from persimmonhinge.forwarding import flow_table as flow_table_module
from persimmonhinge.forwarding import input_source
from persimmonhinge.forwarding import packet as packet_module
from persimmonhinge.forwarding import refusals as refusals_module
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding.decisions.placement import loads as loads_module
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.metrics import counts as counts_module

if TYPE_CHECKING:
    from persimmonhinge.forwarding import flow_observer as flow_observer_module
    from persimmonhinge.forwarding import request_observer

# A request without an answer for this long no longer counts as in flight at its
# upstream, seconds. Callers of the shortest requests give up after 1 s, and
# later packets of the flow may have passed through another host.
_REQUEST_TIMEOUT_S = 3.0
# Maximum number of flows that a sweep ends before packets are read again.
_MAX_SWEPT_AT_ONCE = 500
# Maximum data of one packet of a flow, octets.
_MAX_PACKET_DATA_OCTETS = 1_200


class FlowTracker:
    """Updates the flow table and the counts of requests in flight together.

    Attributes:
        observers: Are told of each request and how it ended.
        flow_observer: Is told of new flows and their answers; None for none.
    """

    def __init__(
        self,
        flow_table: flow_table_module.FlowTable,
        loads: loads_module.LoadTable,
        counts: counts_module.Counts,
        clock: Callable[[], float] = time.monotonic,
        observers: Sequence[request_observer.RequestObserver] = (),
        flow_observer: flow_observer_module.FlowObserver | None = None,
        refusals: refusals_module.Refusals | None = None,
    ) -> None:
        """Creates a tracker.

        Args:
            flow_table: The flows.
            loads: Receives the requests in flight.
            counts: Receives the times of openings and answers.
            clock: Returns the current time, seconds.
            observers: See the attribute.
            flow_observer: See the attribute.
            refusals: Receives errors of a sweep; None for a new record.
        """
        self._flows = flow_table
        self._loads = loads
        self._counts = counts
        self._clock = clock
        self.observers = observers
        self.flow_observer = flow_observer
        self._refusals = refusals or refusals_module.Refusals(counts)

    def has_answered_since(
        self, upstream: ids.UpstreamId, since: float
    ) -> bool:
        """Returns whether an upstream answered a tracked flow lately."""
        return self._loads.has_answered_since(upstream, since)

    def get(
        self, flow: flow_module.FlowId
    ) -> flow_table_module.FlowRecord | None:
        """Returns the record of a flow, or None if there is none."""
        return self._flows.get(flow)

    def record_opening(
        self,
        flow: flow_module.FlowId,
        upstream: ids.UpstreamId,
        token: int,
        sequence: int | None = None,
    ) -> None:
        """Records that an opening packet is sent to an upstream.

        The request that follows counts as in flight at once. Otherwise a
        series of new flows would all go to the same idle upstream.

        Args:
            flow: The flow.
            upstream: The upstream.
            token: Its routing token.
            sequence: Sequence number of the packet; None if not known.
        """
        is_new = self._flows.get(flow) is None
        self.remove_flow(flow)
        now = self._clock()
        if is_new and self.flow_observer is not None:
            self.flow_observer.record_flow_opening(flow, now)
        record = _make_record(flow, upstream, token, now)
        record.opening_sequence = sequence
        self._store_record(flow, record)
        self._start_request(record, token, now)

    def record_packet(
        self, packet: packet_module.Packet, upstream: ids.UpstreamId
    ) -> bool:
        """Updates the record of a flow from a packet after its opening packet.

        Returns:
            True if this host received the opening packet and this is the first
            packet of the flow after it.
        """
        now = self._clock()
        record = self._flows.get(packet.flow)
        is_first = record is not None and not record.established
        if record is None:
            record = self._add_flow_of_other_host(packet, upstream, now)
        if record.upstream != upstream:
            self._move_flow(record, upstream)
            record.token = packet.token
        if is_first and record.request_started_at is not None:
            self._counts.observe(
                "opening_seconds", now - record.request_started_at
            )
            self._loads.record_answer(record.upstream, now)
        record.established = True
        self._update_request(packet, record, now)
        return is_first

    def _add_flow_of_other_host(
        self,
        packet: packet_module.Packet,
        upstream: ids.UpstreamId,
        now: float,
    ) -> flow_table_module.FlowRecord:
        """Adds the record of a flow that another host opened.

        The first packet of such a flow at this host is no evidence that the
        upstream answers: the upstream may have failed since the flow was
        opened, and the caller may be waiting for it.
        """
        record = _make_record(packet.flow, upstream, packet.token, now)
        self._store_record(packet.flow, record)
        return record

    def _update_request(
        self,
        packet: packet_module.Packet,
        record: flow_table_module.FlowRecord,
        now: float,
    ) -> None:
        """Detects the start and the end of requests of a flow."""
        self._flows.touch(packet.flow, record, now)
        answered_octets = record.advance_acknowledged(packet)
        if answered_octets:
            # A caller that ends the flow acknowledges the answer at once.
            is_single_packet = (
                answered_octets <= _MAX_PACKET_DATA_OCTETS and not packet.ends
            )
            self._record_answer_time(record, is_single_packet, now)
            self._report_flow_answer(packet.flow, record, now)
            self._finish_request(record)
        if packet.ends or packet.aborts:
            self._report_loss(record, now)
            self._end_flow(record)
        if record.advance_sent(packet):
            self._start_request(record, packet.token, now)
        elif packet.length and record.request_started_at is not None:
            self._report_repeat(record, now)

    def remove_flow(self, flow: flow_module.FlowId) -> None:
        """Removes a flow and ends its request."""
        record = self._flows.remove(flow)
        if record is not None:
            self._end_flow(record)

    def remove_expired(self, idle_s: float) -> None:
        """Removes idle flows, and ends requests that timed out.

        The end of a request is not seen here if the flow continued through
        another host.

        Args:
            idle_s: Time without a packet after which a flow is idle, seconds.
        """
        for _ in self.remove_expired_in_slices(idle_s):
            pass

    def remove_expired_in_slices(self, idle_s: float) -> Iterator[None]:
        """Does the same, and yields where other work may be done.

        Args:
            idle_s: See `remove_expired`.
        """
        now = self._clock()
        is_more = True
        while is_more:
            idle = self._flows.remove_idle(now - idle_s, _MAX_SWEPT_AT_ONCE)
            for record in idle:
                self._sweep_flow(record, self._end_flow)
            is_more = len(idle) == _MAX_SWEPT_AT_ONCE
            yield
        started_before = now - _REQUEST_TIMEOUT_S
        waiting = self._flows.list_waiting(started_before)
        for number, record in enumerate(waiting, start=1):
            # The request may have ended since the last slice.
            if record.is_waiting_since(started_before):
                self._sweep_flow(record, self._end_lost_request)
            if number % _MAX_SWEPT_AT_ONCE == 0:
                yield

    def _sweep_flow(
        self,
        record: flow_table_module.FlowRecord,
        sweep: Callable[[flow_table_module.FlowRecord], None],
    ) -> None:
        """Sweeps one flow; an error of it affects no other."""
        try:
            sweep(record)
        except Exception as error:
            self._refusals.record_failure(
                input_source.InputSource.PACKET, record.upstream, error
            )

    def _end_lost_request(self, record: flow_table_module.FlowRecord) -> None:
        try:
            self._report_loss(record, self._clock())
        finally:
            self._finish_request(record)
            if not record.established:
                self._end_flow(record)

    def _store_record(
        self, flow: flow_module.FlowId, record: flow_table_module.FlowRecord
    ) -> None:
        if self._loads.open_flows is not None:
            record.is_counted = True
            self._loads.open_flows.add_flow(record.upstream, record.route)
        evicted = self._flows.put(flow, record)
        if evicted is not None:
            self._end_flow(evicted)

    def _move_flow(
        self, record: flow_table_module.FlowRecord, upstream: ids.UpstreamId
    ) -> None:
        """Counts a flow at another upstream from now on."""
        self._finish_request(record)
        flows = self._loads.open_flows
        if flows is not None and record.is_counted:
            flows.remove_flow(record.upstream, record.route)
            flows.add_flow(upstream, record.route)
        record.upstream = upstream

    def _end_flow(self, record: flow_table_module.FlowRecord) -> None:
        """Ends the request of a flow and stops counting it as open."""
        self._finish_request(record)
        flows = self._loads.open_flows
        if flows is not None and record.is_counted:
            record.is_counted = False
            flows.remove_flow(record.upstream, record.route)

    def _record_answer_time(
        self,
        record: flow_table_module.FlowRecord,
        is_single_packet: bool,
        now: float,
    ) -> None:
        if record.request_started_at is not None:
            waited_s = now - record.request_started_at
            self._counts.observe("answer_seconds", waited_s)
            self._loads.record_answer(record.upstream, now)
            if record.in_flight_at_start is None:
                return
            for observer in self.observers:
                observer.record_answer(
                    record.route,
                    record.upstream,
                    waited_s,
                    record.in_flight_at_start,
                    is_single_packet,
                    now,
                )

    def _report_flow_answer(
        self,
        flow: flow_module.FlowId,
        record: flow_table_module.FlowRecord,
        now: float,
    ) -> None:
        if (
            self.flow_observer is not None
            and record.request_started_at is not None
        ):
            self.flow_observer.record_flow_answer(flow, record.upstream, now)

    def _report_loss(
        self, record: flow_table_module.FlowRecord, now: float
    ) -> None:
        if record.request_started_at is None or not record.established:
            return
        waited_s = now - record.request_started_at
        for observer in self.observers:
            observer.record_loss(record.route, record.upstream, waited_s, now)

    def _report_repeat(
        self, record: flow_table_module.FlowRecord, now: float
    ) -> None:
        """Tells the observers of the first repetition of a request."""
        if record.repeated:
            return
        record.repeated = True
        for observer in self.observers:
            observer.record_repeat(record.route, record.upstream, now)

    def _start_request(
        self, record: flow_table_module.FlowRecord, token: int, now: float
    ) -> None:
        if record.request_started_at is not None:
            return
        record.request_started_at = now
        record.repeated = False
        if self.observers:
            record.in_flight_at_start = self._loads.in_flight(
                record.upstream
            ) + self._loads.reported_in_flight(token)
        self._loads.record_request_start(record.upstream)
        if self._loads.open_flows is not None:
            self._loads.open_flows.start_request(record.upstream, record.route)
        for observer in self.observers:
            observer.record_start(
                record.route, record.upstream, not record.established, now
            )

    def _finish_request(self, record: flow_table_module.FlowRecord) -> None:
        if record.request_started_at is not None:
            record.request_started_at = None
            self._loads.record_request_end(record.upstream)
            if self._loads.open_flows is not None:
                self._loads.open_flows.finish_request(
                    record.upstream, record.route
                )


def _make_record(
    flow: flow_module.FlowId,
    upstream: ids.UpstreamId,
    token: int,
    now: float,
) -> flow_table_module.FlowRecord:
    route = route_module.RouteAddress(flow.service, flow.service_port)
    return flow_table_module.FlowRecord(upstream, token, route, now)
