"""Finds the home of each datagram and hands or relays it there."""

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
    """The home, as the router sees it."""

    def handle(self, flow: port.Flow, message: codec.Message) -> None:
        """Takes a datagram whose home is this host."""


class Router:
    """Routes datagrams by their ticket, else by rendezvous hash."""

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
        """Takes a datagram from the fabric."""
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
            # That home can't be reached (dead, or cut off from here): the
            # next in rank serves. Two homes for one flow are safe, since
            # work that may run once is bound to its ticket.
            self._counts.add("homes_passed_over_total")
        self._home.handle(flow, message)

    def _forward_to_leaving_hosts(self, flow: port.Flow, data: bytes) -> None:
        """Passes a confirmation on to hosts that leave.

        Guards against a planned stop that waits for confirmations in vain:
        they name no ticket, and by the hash they go to the next home.
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
            # Never relayed again: with uneven views it could go in circles.
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
        minted_by = self._find_ticket_home(flow, message)
        if minted_by is not None:
            yield minted_by
            return
        home = self._placement.find_home(flow.service, flow.caller)
        if home is None:
            return
        yield home.host
        # Seldom needed, and worked out only then: this is on the packet path.
        ranked = self._placement.rank_homes(flow.service, flow.caller)
        yield from (member.host for member in ranked[1:])

    def _find_ticket_home(
        self, flow: port.Flow, message: codec.Message
    ) -> ids.HostId | None:
        echo = message.opt.echo
        if echo is None:
            return None
        ref = self._mint.read_home(echo, flow)
        member = self._view.find_ref(ref) if ref is not None else None
        return member.host if member else None

    def _make_relay(self, flow: port.Flow, data: bytes) -> relay.Relay:
        return relay.Relay(flow.service, *flow.caller, data)
