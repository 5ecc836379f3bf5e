"""Decides where each packet goes."""

from __future__ import annotations

from collections.abc import Callable
import time

from persimmonhinge import early_logs
from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.forwarding import flow_table
from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.forwarding import packet as packets
from persimmonhinge.forwarding import route as routes
from persimmonhinge.forwarding import tracker as trackers
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.forwarding.decisions import chooser as choosers
from persimmonhinge.forwarding.decisions import openings as opening_lists
from persimmonhinge.forwarding.decisions import retry_budget
from persimmonhinge.forwarding.decisions import suspicions as suspicion_lists
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.metrics import counts as host_counts

if TYPE_CHECKING:
    from persimmonhinge.forwarding import output as outputs
    from persimmonhinge.forwarding import packet_codec

logger = early_logs.get_logger(__name__)

# Upstreams that one opening packet is sent to before its caller sends the next
# copy: a caller that has left goes on with none of them.
_MOST_TRIES = 3


class Forwarder:
    """Sends each packet to the upstream of its flow.

    The first packet of a flow goes to an upstream that is chosen; later ones
    go where their token says, whichever host they come to.
    """

    def __init__(
        self,
        codec: packet_codec.PacketCodec,
        output: outputs.Output,
        knowledge: knowledge_parts.Knowledge,
        chooser: choosers.UpstreamChooser,
        tracker: trackers.FlowTracker,
        openings: opening_lists.Openings,
        suspicions: suspicion_lists.Suspicions,
        counts: host_counts.Counts,
        clock: Callable[[], float] = time.monotonic,
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
        self._budget = retry_budget.RetryBudget()

    def receive(self, octets: bytes) -> None:
        """Takes one datagram of the fabric."""
        try:
            packet = self._codec.decode(octets)
        except errors.MalformedPacketError as error:
            self._counts.add("packets_dropped_total", reason="malformed")
            logger.warning("Dropped a datagram: %s.", error)
            return
        if packet.opens:
            self._open(packet)
        else:
            self._continue(packet)

    def open_elsewhere(self, opening: opening_lists.Opening) -> None:
        """Sends an opening packet that was not answered to another upstream.

        Guards against the wait of a caller whose new flow met a dead
        upstream: it sends a copy only after 200 ms, longer than the whole
        latency target of most requests.
        """
        now = self._clock()
        self._suspicions.record_miss(opening.tried[-1], now)
        if len(opening.tried) >= _MOST_TRIES:
            return
        if not self._budget.take_try():
            self._counts.add("openings_not_retried_total")
            return
        self._send_opening(opening.packet, opening.tried, now)

    def _open(self, packet: packets.Packet) -> None:
        now = self._clock()
        self._budget.add_opening()
        record = self._tracker.get(packet.flow)
        if record is not None:
            self._repeat_opening(packet, record, now)
            return
        self._send_opening(packet, [], now)

    def _repeat_opening(
        self,
        packet: packets.Packet,
        record: flow_table.FlowRecord,
        now: float,
    ) -> None:
        """Forwards a copy of an opening packet that this host knows.

        Guards against a second upstream for a flow that is open: it would
        answer the copy, and the caller would take its token for the flow's.
        A copy that is read before the first one can have been answered goes
        the same way, too: packets that waited in the socket while the host
        started are read together, and the network doubles some.
        """
        if record.established or self._openings.find_waiting(packet.flow):
            upstream = self._knowledge.directory.get(record.upstream)
            if upstream is not None:
                self._forward(packet, upstream)
            return
        self._openings.remove(packet.flow)
        self._send_opening(packet, [], now)

    def _send_opening(
        self,
        packet: packets.Packet,
        tried: list[ids.UpstreamId],
        now: float,
    ) -> None:
        route = self._find_route(packet)
        if route is None:
            return
        chosen = self._chooser.choose(route, packet.flow, now, tried)
        if chosen is None:
            self._refuse_unservable(packet, now)
            return
        upstream = chosen.upstream
        self._tracker.open(packet.flow, upstream.id)
        self._openings.add(packet, [*tried, upstream.id])
        self._counts.add("flows_opened_total", upstream=upstream.id)
        self._log_opening(packet, route, chosen, tried)
        self._forward(packet, upstream)

    def _refuse_unservable(self, packet: packets.Packet, now: float) -> None:
        """Turns an opening packet away for which there is no upstream.

        Guards against a caller that waits for 1.4 s to learn what this host
        knew at once. Only by knowledge that can be relied on: an upstream
        whose entry this host has not read yet may serve the next copy.
        """
        knowledge = self._knowledge
        if knowledge.is_current(now) and knowledge.store_trust.holds(now):
            self._reset(packet, "no-upstream")
        else:
            self._drop(packet, "no-upstream-in-old-state")

    def _find_route(self, packet: packets.Packet) -> routes.Route | None:
        route = self._knowledge.find_route(packet.flow)
        if route is not None:
            return route
        if self._knowledge.is_current(self._clock()):
            self._reset(packet, "no-route")
        else:
            self._drop(packet, "no-route-in-old-state")
        return None

    def _continue(self, packet: packets.Packet) -> None:
        if self._knowledge.is_route_removed(packet.flow):
            self._reset(packet, "route-dropped")
            self._tracker.forget(packet.flow)
            return
        upstream = self._knowledge.directory.find_by_token(packet.token)
        if upstream is None:
            self._drop(packet, "unknown-token")
            return
        if upstream.state is upstreams.UpstreamState.ENDED:
            self._reset(packet, "upstream-gone")
            self._tracker.forget(packet.flow)
            return
        self._observe(packet, upstream)
        self._forward(packet, upstream)

    def _observe(
        self, packet: packets.Packet, upstream: upstreams.Upstream
    ) -> None:
        """Learns from a packet of an open flow."""
        if self._tracker.observe(packet, upstream.id):
            self._openings.record_answer(packet.flow, upstream.id)
            self._suspicions.record_answer(upstream.id, self._clock())

    def _forward(
        self, packet: packets.Packet, upstream: upstreams.Upstream
    ) -> None:
        octets = self._codec.encode_for_upstream(
            packet, upstream.number, upstream.token
        )
        self._output.send_to_upstream(octets, upstream.address)

    def _reset(self, packet: packets.Packet, reason: str) -> None:
        if packet.aborts:
            self._drop(packet, reason)
            return
        self._counts.add("flows_reset_total", reason=reason)
        self._log_refusal("Reset a flow.", packet, reason)
        octets = self._codec.encode_reset(packet)
        self._output.send_to_caller(octets, packet.flow.caller)

    def _drop(self, packet: packets.Packet, reason: str) -> None:
        self._counts.add("packets_dropped_total", reason=reason)
        self._log_refusal("Dropped a packet.", packet, reason)

    def _log_refusal(
        self, event: str, packet: packets.Packet, reason: str
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
        packet: packets.Packet,
        route: routes.Route,
        chosen: choosers.Chosen,
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
                "average": round(chosen.candidate.recent, 2),
                "among": chosen.among,
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
            described["evacuated"] = sorted(self._knowledge.evacuated)
        return described
