"""The home of flows: handles the datagrams of callers and replies to them."""

from __future__ import annotations

import logging

from aiocoap.numbers import codes
from aiocoap.numbers import types
import trio

from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract
from persimmonhinge.contracts import store
from persimmonhinge.flows import dispatcher as dispatcher_module
from persimmonhinge.flows import exchanges
from persimmonhinge.flows import feed_server
from persimmonhinge.flows import non_idempotent
from persimmonhinge.flows import port
from persimmonhinge.flows import recovery as recovery_module
from persimmonhinge.flows import request
from persimmonhinge.flows import server
from persimmonhinge.flows import ticket_issuer
from persimmonhinge.flows import tickets
from persimmonhinge.keys import store as store_module
from persimmonhinge.membership import placement as placement_module
from persimmonhinge.membership import view as view_module
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.peers import network as network_module
from persimmonhinge.settings import entry as entry_module

logger = logging.getLogger(__name__)

_LEAVE_POLL_INTERVAL_S = 0.05
_LEAVE_CONFIRM_TIMEOUT_S = 7.0


class Home:
    """Serves the flows whose home is this host."""

    def __init__(
        self,
        settings: entry_module.EntrySettings,
        view: view_module.View,
        placement: placement_module.Placement,
        contract_store: store.ContractStore,
        key_store: store_module.KeyStore,
        network: network_module.PeerNetwork,
        sender: port.CallerSender,
        chooser: port.Chooser,
        feeds: feed_server.FeedServer,
        counts: counts_module.Counts,
    ) -> None:
        self._contracts = contract_store
        self._sender = sender
        self._feeds = feeds
        self._counts = counts
        mint = tickets.TicketMint(settings, key_store, view)
        recovery = recovery_module.Recovery(
            view, placement, contract_store, network, counts
        )
        dispatcher = dispatcher_module.Dispatcher(
            contract_store, chooser, network, mint, recovery, counts
        )
        issuer = ticket_issuer.TicketIssuer(
            settings, view, mint, chooser, counts
        )
        self._non_idempotent = non_idempotent.NonIdempotentRequests(
            settings, view, mint, issuer, dispatcher, recovery, counts
        )
        reply_retention_s = settings.flows.answer_life_s
        self._exchanges = exchanges.Exchanges(sender, counts, reply_retention_s)
        self._server = server.RequestServer(
            self._exchanges,
            dispatcher,
            self._non_idempotent,
            issuer,
            feeds,
            counts,
            reply_retention_s,
        )

    def count_in_progress(self) -> int:
        """Returns the number of running requests and unconfirmed replies."""
        return self._server.count_running() + self._server.count_unconfirmed()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves requests until it is cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._non_idempotent.run)
            await nursery.start(self._server.run)
            nursery.start_soon(self._exchanges.run)
            task_status.started()

    async def leave(self) -> None:
        """Starts no more non-idempotent requests; waits for all replies.

        The wait for callers to confirm their replies is limited to the time
        of two retransmissions, because a caller may no longer be reachable.
        """
        self._non_idempotent.start_leaving()
        while self._server.count_running():
            await trio.sleep(_LEAVE_POLL_INTERVAL_S)
        with trio.move_on_after(_LEAVE_CONFIRM_TIMEOUT_S):
            while self._server.count_unconfirmed():
                await trio.sleep(_LEAVE_POLL_INTERVAL_S)

    def handle(self, flow: port.Flow, message: codec.Message) -> None:
        """Handles a message of a flow; never waits and never raises."""
        try:
            self._handle_message(flow, message)
        except Exception:
            # A bug that one datagram triggers must not stop the host and
            # with it all other flows.
            logger.exception(
                "Handling a datagram for service %s failed.", flow.service
            )
            self._counts.add("home_faults_total")

    def _handle_message(self, flow: port.Flow, message: codec.Message) -> None:
        if message.code.is_request():
            if message.mtype in (types.CON, types.NON):
                self._handle_request(flow, message)
        elif message.mtype is types.ACK:
            if not self._exchanges.acknowledge(flow, message.mid):
                self._feeds.acknowledge(flow, message.mid)
        elif message.mtype is types.RST:
            if not self._exchanges.reset(flow, message.mid):
                self._feeds.reset(flow, message.mid)
        elif message.mtype is types.CON:
            # A CoAP ping, or a response: this host sends callers no requests.
            exchanges.send_empty(self._sender, flow, types.RST, message.mid)

    def _handle_request(self, flow: port.Flow, message: codec.Message) -> None:
        entry = self._contracts.get(flow.service)
        if entry is not None and self._open_feed(flow, message, entry):
            return
        if message.mtype is types.NON and request.check_options(message):
            # RFC 7252 section 5.4.1: a NON request with invalid options is
            # rejected with an RST.
            exchanges.send_empty(self._sender, flow, types.RST, message.mid)
            return
        exchange = self._exchanges.register_request(flow, message)
        if exchange is None:
            return
        self._counts.add("home_requests_total", service=flow.service)
        self._server.handle_request(exchange, message, entry)

    def _open_feed(
        self,
        flow: port.Flow,
        message: codec.Message,
        entry: store.ContractEntry,
    ) -> bool:
        """Opens a feed if the request registers one; else returns False."""
        if message.code is not codes.Code.GET:
            return False
        if message.opt.observe != request.OBSERVE_REGISTER:
            return False
        if request.check_options(message) is not None:
            return False
        call_class = entry.contract.classify(
            contract.Method.GET, request.get_path(message), observes=True
        )
        if call_class is None:
            return False
        self._feeds.open(flow, message, entry, call_class)
        return True
