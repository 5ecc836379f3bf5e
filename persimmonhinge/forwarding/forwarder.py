"""Forwards each packet to the upstream of its flow."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import time

from persimmonhinge import early_logs
from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.forwarding import flow as flow_module
from persimmonhinge.forwarding import flow_table
from persimmonhinge.forwarding import input_source
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import packet as packet_module
from persimmonhinge.forwarding import refusals as refusals_module
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding import tracker as tracker_module
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding.decisions.pace import retry_budget
from persimmonhinge.forwarding.decisions.placement import (
    chooser as chooser_module,
)
from persimmonhinge.forwarding.decisions.upstream_health import (
    openings as openings_module,
)
from persimmonhinge.forwarding.decisions.upstream_health import (
    suspicions as suspicions_module,
)
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.metrics import counts as counts_module

if TYPE_CHECKING:
    from persimmonhinge.forwarding import admission_gate
    from persimmonhinge.forwarding import output as output_module
    from persimmonhinge.forwarding import overload as overload_module
    from persimmonhinge.forwarding import packet_codec
    from persimmonhinge.forwarding import verdict as verdict_module

logger = early_logs.get_logger(__name__)

# Maximum number of upstreams that one opening packet is sent to before its
# caller sends the next copy. A limit is needed because a caller that gave up
# does not continue the flow, whichever upstream answers.
_MAX_UPSTREAMS_TRIED = 3
# Maximum number of waiting flows that are released at once; other tasks wait
# meanwhile.
_MAX_RELEASES = 256
# Time since its last answer for which an upstream whose entry lapsed counts as
# running, seconds. An address is used again only after a longer time.
_MAX_LAPSED_ANSWER_AGE_S = 1.0


class Forwarder:
    """Sends each packet to the upstream of its flow.

    The opening packet of a flow goes to an upstream that this host chooses.
    Later packets go to the upstream of their routing token, whichever host
    receives them.
    """

    def __init__(
        self,
        codec: packet_codec.PacketCodec,
        output: output_module.Output,
        knowledge: knowledge_module.Knowledge,
        chooser: chooser_module.UpstreamChooser,
        tracker: tracker_module.FlowTracker,
        openings: openings_module.Openings,
        suspicions: suspicions_module.Suspicions,
        counts: counts_module.Counts,
        clock: Callable[[], float] = time.monotonic,
        refusals: refusals_module.Refusals | None = None,
    ) -> None:
        self._codec = codec
        self._output = output
        self._knowledge = knowledge
        self._chooser = chooser
        self._tracker = tracker
        self._openings = openings
        self._suspicions = suspicions
        self._counts = counts
        self._clock = clock
        self._refusals = refusals or refusals_module.Refusals(counts)
        self._overload: overload_module.OverloadControl | None = None
        self._gate: admission_gate.AdmissionGate | None = None
        self._budget = retry_budget.RetryBudget()

    def set_overload_control(
        self, overload: overload_module.OverloadControl
    ) -> None:
        """Makes the forwarder use overload control for new flows."""
        self._overload = overload
        if overload.gate is not None:
            self.set_gate(overload.gate)

    def set_gate(self, gate: admission_gate.AdmissionGate) -> None:
        """Makes the forwarder ask a gate whether to place new flows."""
        self._gate = gate
        self._budget = gate.retries

    @property
    def has_waiting_flows(self) -> bool:
        """Whether new flows wait to be released."""
        return self._gate is not None and self._gate.has_waiting

    def handle_datagram(self, octets: bytes) -> None:
        """Handles one datagram received from the fabric; raises no error."""
        packet = None
        try:
            packet = self._codec.decode(octets)
            if packet.opens:
                self._handle_opening(packet)
            else:
                self._handle_later_packet(packet)
        except errors.MalformedPacketError as error:
            self._counts.add("packets_dropped_total", reason="malformed")
            self._refusals.record_refusal(
                input_source.InputSource.PACKET, error.peer, error
            )
        except Exception as error:
            self._record_failure(packet, error)

    def retry_openings(self, openings: list[openings_module.Opening]) -> None:
        """Retries unanswered openings; an error of one affects no other."""
        for opening in openings:
            try:
                self.retry_opening(opening)
            except Exception as error:
                self._record_failure(opening.packet, error)

    def retry_opening(self, opening: openings_module.Opening) -> None:
        """Sends an unanswered opening packet to another upstream.

        The host does not wait for the caller to retry: a caller whose
        upstream is dead sends a copy only after 200 ms, which is longer than
        the whole latency target of most requests.
        """
        now = self._clock()
        self._suspicions.record_miss(opening.tried_upstreams[-1], now)
        if len(opening.tried_upstreams) >= _MAX_UPSTREAMS_TRIED:
            return
        is_urgent = self._gate is None or self._gate.is_urgent(opening.packet)
        if not self._budget.spend_retry(is_urgent):
            self._counts.add("openings_not_retried_total")
            return
        if self._gate is not None:
            self._gate.cancel_start(opening.packet)
        self._send_opening(opening.packet, opening.tried_upstreams, now)

    def release_waiting_flows(self) -> None:
        """Places new flows that need not wait longer; rejects expired ones.

        A call handles a bounded number of them; the others follow in the next.
        """
        if self._gate is None or not self._gate.has_waiting:
            return
        now = self._clock()
        verdicts = self._gate.pop_due(now)
        for _ in range(_MAX_RELEASES):
            if not self._apply_next_verdict(verdicts, now):
                break

    def place_waiting_flows(self) -> None:
        """Places all waiting flows, before a planned stop of the host."""
        if self._gate is None:
            return
        now = self._clock()
        verdicts = self._gate.begin_stop(now)
        while self._apply_next_verdict(verdicts, now):
            pass

    def _apply_next_verdict(
        self, verdicts: Iterator[verdict_module.Verdict], now: float
    ) -> bool:
        """Applies one verdict; returns False if there was none.

        An iterator that raised an error has no further verdict. The flows that
        still wait are tried again with the next release.
        """
        packet = None
        try:
            verdict = next(verdicts, None)
            if verdict is None:
                return False
            packet = verdict.packet
            self._apply_verdict(verdict, now)
        except Exception as error:
            self._record_failure(packet, error)
        return True

    def _record_failure(
        self, packet: packet_module.Packet | None, error: Exception
    ) -> None:
        self._refusals.record_failure(
            input_source.InputSource.PACKET,
            str(packet.flow) if packet is not None else "",
            error,
        )

    def _apply_verdict(
        self, verdict: verdict_module.Verdict, now: float
    ) -> None:
        # Imported only here, as only hosts with admission by priority use it.
        from persimmonhinge.forwarding import verdict as verdict_module

        match verdict.action:
            case verdict_module.Action.PLACE:
                self._send_opening(verdict.packet, [], now)
            case verdict_module.Action.RESET:
                self._reset_flow(verdict.packet, verdict.reason)
            case verdict_module.Action.DROP:
                self._drop_packet(verdict.packet, verdict.reason)

    def _handle_opening(self, packet: packet_module.Packet) -> None:
        now = self._clock()
        self._budget.record_opening()
        record = self._tracker.get(packet.flow)
        if record is not None and record.is_opened_by(packet):
            self._handle_opening_copy(packet, record, now)
            return
        if record is not None:
            self._remove_former_flow(packet, record)
        if self._gate is None:
            if self._overload is not None and not packet.copy:
                self._overload.record_arrival(packet.flow, now)
            self._send_opening(packet, [], now)
            return
        route = self._find_route(packet)
        if route is not None:
            for verdict in self._gate.handle_opening(packet, route, now):
                self._apply_verdict(verdict, now)
            self.release_waiting_flows()

    def _remove_former_flow(
        self, packet: packet_module.Packet, record: flow_table.FlowRecord
    ) -> None:
        """Removes the flow whose port its caller uses again.

        Guards against new flows that go to the upstream of the former one,
        which may be draining, evacuated or no longer in the route's service.
        """
        self._openings.remove(packet.flow)
        if self._gate is not None and not record.established:
            self._gate.cancel_start(packet)
        self._tracker.remove_flow(packet.flow)

    def _handle_opening_copy(
        self,
        packet: packet_module.Packet,
        record: flow_table.FlowRecord,
        now: float,
    ) -> None:
        """Forwards a copy of an opening packet if its flow is already tracked.

        A copy for an established flow goes to the flow's upstream. A second
        upstream would answer the copy, and the caller would then use the token
        of that upstream for the flow.
        A copy that is read while the original may still be answered goes to the
        upstream of the original, too: packets that waited in the socket while
        the host started are read together, and the network duplicates some
        packets.
        If that upstream has ended, the flow is placed anew: another service
        may use its address.
        """
        if record.established or self._openings.find_pending(packet.flow):
            upstream = self._knowledge.directory.find_by_token(record.token)
            if upstream is None:
                self._drop_packet(packet, "unknown-token")
                return
            if not self._is_over(upstream):
                self._forward_packet(packet, upstream)
                return
        self._openings.remove(packet.flow)
        if self._gate is not None:
            self._gate.cancel_start(packet)
        self._send_opening(packet, [], now)

    def _send_opening(
        self,
        packet: packet_module.Packet,
        tried: list[ids.UpstreamId],
        now: float,
    ) -> None:
        route = self._find_route(packet)
        if route is None:
            return
        chosen = self._chooser.choose(route, packet.flow, now, tried)
        if chosen is None:
            self._reject_opening(packet, now)
            return
        upstream = chosen.upstream
        self._tracker.record_opening(
            packet.flow, upstream.id, upstream.token, packet.sequence
        )
        if self._openings.add(packet, [*tried, upstream.id]):
            self._counts.add("openings_evicted_total")
        self._counts.add("flows_opened_total", upstream=upstream.id)
        if self._overload is not None:
            self._overload.record_placement(route, upstream)
        self._log_opening(packet, route, chosen, tried)
        self._forward_packet(packet, upstream)

    def _reject_opening(self, packet: packet_module.Packet, now: float) -> None:
        """Rejects an opening packet for which no upstream is available.

        Without a reset, the caller would wait 1.4 s to learn that no upstream
        is available. The flow is reset only if the host's view is current and
        reliable. Otherwise the packet is dropped, as an upstream whose entry
        this host has not read yet may serve the next copy.
        """
        knowledge = self._knowledge
        if knowledge.is_current(now) and knowledge.store_trust.confirms_absence(
            now
        ):
            self._reset_flow(packet, "no-upstream")
        else:
            self._drop_packet(packet, "no-upstream-in-old-state")

    def _find_route(
        self, packet: packet_module.Packet
    ) -> route_module.Route | None:
        route = self._knowledge.find_route(packet.flow)
        if route is not None:
            return route
        if self._knowledge.is_current(self._clock()):
            self._reset_flow(packet, "no-route")
        else:
            self._drop_packet(packet, "no-route-in-old-state")
        return None

    def _handle_later_packet(self, packet: packet_module.Packet) -> None:
        if self._knowledge.is_route_removed(packet.flow):
            self._reset_flow(packet, "route-dropped")
            self._tracker.remove_flow(packet.flow)
            return
        upstream = self._knowledge.directory.find_by_token(packet.token)
        if upstream is None:
            if self._gate is not None and packet.aborts:
                self._gate.remove(packet)
            self._drop_packet(packet, "unknown-token")
            return
        if self._is_over(upstream):
            self._reset_flow(packet, "upstream-gone")
            self._tracker.remove_flow(packet.flow)
            return
        self._track_packet(packet, upstream)
        self._forward_packet(packet, upstream)
        if self._gate is not None and packet.length:
            self.release_waiting_flows()

    def _is_over(self, upstream: upstream_module.Upstream) -> bool:
        """Returns whether no process holds the flows of an upstream.

        An upstream that is cut off from the store loses its entry and goes on.
        While it answers callers of this host, its flows stay there.
        """
        if upstream.state is not upstream_module.UpstreamState.ENDED:
            return False
        if not self._knowledge.directory.has_lapsed(upstream):
            return True
        since = self._clock() - _MAX_LAPSED_ANSWER_AGE_S
        return not self._tracker.has_answered_since(upstream.id, since)

    def _track_packet(
        self, packet: packet_module.Packet, upstream: upstream_module.Upstream
    ) -> None:
        """Updates the state of a flow and its upstream from a later packet."""
        if self._tracker.record_packet(packet, upstream.id):
            self._openings.record_answer(packet.flow, upstream.id)
            self._suspicions.record_answer(upstream.id, self._clock())
            if self._overload is not None:
                self._record_handshake(packet.flow, self._overload)

    def _record_handshake(
        self,
        flow: flow_module.FlowId,
        overload: overload_module.OverloadControl,
    ) -> None:
        record = self._tracker.get(flow)
        if record is not None and record.request_started_at is not None:
            elapsed_s = self._clock() - record.request_started_at
            overload.estimates.record_handshake(elapsed_s)

    def _forward_packet(
        self, packet: packet_module.Packet, upstream: upstream_module.Upstream
    ) -> None:
        octets = self._codec.encode_for_upstream(
            packet, upstream.number, upstream.token
        )
        self._output.send_to_upstream(octets, upstream.address)

    def _reset_flow(self, packet: packet_module.Packet, reason: str) -> None:
        if packet.aborts:
            self._drop_packet(packet, reason)
            return
        self._counts.add("flows_reset_total", reason=reason)
        self._log_rejection("Reset a flow.", packet, reason)
        octets = self._codec.encode_reset(packet)
        self._output.send_to_caller(octets, packet.flow.caller)

    def _drop_packet(self, packet: packet_module.Packet, reason: str) -> None:
        self._counts.add("packets_dropped_total", reason=reason)
        self._log_rejection("Dropped a packet.", packet, reason)

    def _log_rejection(
        self, event: str, packet: packet_module.Packet, reason: str
    ) -> None:
        logger.info(
            event,
            extra={
                "flow": str(packet.flow),
                "reason": reason,
                "token": packet.token,
                **self._describe_knowledge(),
            },
        )

    def _log_opening(
        self,
        packet: packet_module.Packet,
        route: route_module.Route,
        chosen: chooser_module.ChosenUpstream,
        tried: list[ids.UpstreamId],
    ) -> None:
        logger.info(
            "Chose an upstream.",
            extra={
                "flow": str(packet.flow),
                "copy": packet.copy,
                "route": route.name,
                "upstream": chosen.upstream.id,
                "in_flight": chosen.candidate.load,
                "average": round(chosen.candidate.recent_load, 2),
                "among": chosen.candidate_count,
                "tried": tried,
                **self._describe_knowledge(),
            },
        )

    def _describe_knowledge(self) -> dict[str, object]:
        state = self._knowledge.state
        confirmed_at = self._knowledge.confirmed_at
        age_s = None
        if confirmed_at is not None:
            age_s = round(self._clock() - confirmed_at, 3)
        described: dict[str, object] = {
            "version": state.version if state is not None else None,
            "age_s": age_s,
        }
        if self._knowledge.evacuated:
            described["evacuated"] = self._knowledge.evacuated_names
        return described
