"""Finds the home of each datagram and relays the datagram to it."""

from __future__ import annotations

from collections.abc import Iterator
import logging
from typing import Protocol

from aiocoap.numbers import codes

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.flows import port
from persimmonhinge.flows import tickets
from persimmonhinge.membership import member as member_module
from persimmonhinge.membership import placement as placement_module
from persimmonhinge.membership import view as view_module
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.peers import streams
from persimmonhinge.peers.messages import relay

logger = logging.getLogger(__name__)


class MessageHandler(Protocol):
    """Interface of the home that the router uses."""

    def handle(self, flow: port.Flow, message: codec.Message) -> None:
        """Handles a message of a flow whose home is this host."""


class Router:
    """Routes datagrams by ticket, or by rendezvous hash if they have none."""

    def __init__(
        self,
        view: view_module.View,
        placement: placement_module.Placement,
        mint: tickets.TicketMint,
        network: streams.StreamNetwork,
        home: MessageHandler,
        counts: counts_module.Counts,
    ) -> None:
        self._view = view
        self._placement = placement
        self._mint = mint
        self._network = network
        self._home = home
        self._counts = counts
        network.handle_sent(relay.Relay, self._handle_relayed)

    def receive(self, flow: port.Flow, data: bytes) -> None:
        """Handles a datagram received from the fabric."""
        self._counts.add("datagrams_received_total")
        message = self._decode(flow, data)
        if message is None:
            return
        if message.code is codes.Code.EMPTY:
            self._forward_to_leaving_hosts(flow, data)
        for host in self._list_homes(flow, message):
            if host == self._view.me:
                self._home.handle(flow, message)
                return
            if self._network.send(host, self._make_relay(flow, data)):
                self._counts.add("datagrams_relayed_total")
                return
            # That home has failed or is unreachable from this host. The
            # next host in rank order serves the flow. Two homes for one flow
            # are safe, because at-most-once requests are bound to their
            # ticket.
            self._counts.add("homes_passed_over_total")
        self._home.handle(flow, message)

    def _forward_to_leaving_hosts(self, flow: port.Flow, data: bytes) -> None:
        """Relays an ACK or RST to all hosts that are leaving.

        ACK and RST messages carry no ticket, so they are routed by the hash
        to the next home. Without this copy, a leaving host would wait in vain
        for confirmations.
        """
        for member in self._view.all():
            if member.host == self._view.me:
                continue
            if member.state is member_module.MemberState.LEAVING:
                self._network.send(member.host, self._make_relay(flow, data))

    def _handle_relayed(self, host: ids.HostId, message: relay.Relay) -> None:
        flow = port.Flow(
            message.service, (message.caller_host, message.caller_port)
        )
        self._counts.add("datagrams_taken_from_peers_total")
        decoded = self._decode(flow, message.data)
        if decoded is not None:
            # A relayed datagram is never relayed again: between hosts whose
            # membership views differ it could loop.
            self._home.handle(flow, decoded)

    def _decode(self, flow: port.Flow, data: bytes) -> codec.Message | None:
        try:
            return codec.decode(data, f"{flow.caller[0]}:{flow.caller[1]}")
        except errors.MalformedDatagramError:
            self._counts.add("datagrams_refused_total", cause="malformed")
            return None

    def _list_homes(
        self, flow: port.Flow, message: codec.Message
    ) -> Iterator[ids.HostId]:
        ticket_home = self._find_ticket_home(flow, message)
        if ticket_home is not None:
            yield ticket_home
            return
        home = self._placement.find_home(flow.service, flow.caller)
        if home is None:
            return
        yield home.host
        # The full ranking is rarely needed. It is computed only then, because
        # this code runs for each packet.
        ranked = self._placement.rank_homes(flow.service, flow.caller)
        yield from (member.host for member in ranked[1:])

    def _find_ticket_home(
        self, flow: port.Flow, message: codec.Message
    ) -> ids.HostId | None:
        echo = message.opt.echo
        if echo is None:
            return None
        ref = self._mint.read_home(echo, flow)
        member = self._view.find_by_ref(ref) if ref is not None else None
        return member.host if member else None

    def _make_relay(self, flow: port.Flow, data: bytes) -> relay.Relay:
        return relay.Relay(flow.service, *flow.caller, data)
