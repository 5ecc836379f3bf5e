"""The home of flows: takes what callers send and sees to the answers."""

from __future__ import annotations

import logging

from aiocoap.numbers import codes
from aiocoap.numbers import types
import trio

from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import store as stores
from persimmonhinge.flows import dispatcher as dispatchers
from persimmonhinge.flows import exchanges
from persimmonhinge.flows import home_port
from persimmonhinge.flows import non_idempotent
from persimmonhinge.flows import port
from persimmonhinge.flows import recovery as recoveries
from persimmonhinge.flows import request as requests
from persimmonhinge.flows import server as servers
from persimmonhinge.flows import ticket_issuer
from persimmonhinge.flows import tickets
from persimmonhinge.keys import store as key_stores
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import network as networks
from persimmonhinge.settings import entry as settings_entry

logger = logging.getLogger(__name__)

_LEAVE_CHECK_S = 0.05
_LEAVE_CONFIRM_S = 7.0


class Home:
    """Serves the flows whose home is this host."""

    def __init__(
        self,
        settings: settings_entry.EntrySettings,
        view: views.View,
        placement: placements.Placement,
        contract_store: stores.ContractStore,
        key_store: key_stores.KeyStore,
        network: networks.PeerNetwork,
        answers: port.Answers,
        chooser: port.Chooser,
        feeds: home_port.FeedServer,
        counts: host_counts.Counts,
    ) -> None:
        self._contracts = contract_store
        self._answers = answers
        self._feeds = feeds
        self._counts = counts
        mint = tickets.TicketMint(settings, key_store, view)
        recovery = recoveries.Recovery(
            view, placement, contract_store, network, counts
        )
        dispatcher = dispatchers.Dispatcher(
            contract_store, chooser, network, mint, recovery, counts
        )
        issuer = ticket_issuer.TicketIssuer(
            settings, view, mint, chooser, counts
        )
        self._once = non_idempotent.NonIdempotentRequests(
            settings, view, mint, issuer, dispatcher, recovery, counts
        )
        life_s = settings.flows.answer_life_s
        self._exchanges = exchanges.Exchanges(answers, counts, life_s)
        self._server = servers.RequestServer(
            self._exchanges,
            dispatcher,
            self._once,
            issuer,
            feeds,
            counts,
            life_s,
        )

    def in_progress(self) -> int:
        """Returns the requests that run or whose answer is not confirmed."""
        return self._server.count_running() + self._server.count_unconfirmed()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until it is cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._once.run)
            await nursery.start(self._server.run)
            nursery.start_soon(self._exchanges.run)
            task_status.started()

    async def leave(self) -> None:
        """Begins no new non-idempotent work; returns once all is answered.

        A caller that does not confirm its answer, because it went away, is
        not waited for longer than two repetitions take.
        """
        self._once.start_leaving()
        while self._server.count_running():
            await trio.sleep(_LEAVE_CHECK_S)
        with trio.move_on_after(_LEAVE_CONFIRM_S):
            while self._server.count_unconfirmed():
                await trio.sleep(_LEAVE_CHECK_S)

    def handle(self, flow: port.Flow, message: codec.Message) -> None:
        """Takes a datagram of a flow; never waits and never fails."""
        try:
            self._take(flow, message)
        except Exception:
            # Guards against one datagram that ends the host, and all flows
            # with it, by a fault of ours that it brings out.
            logger.exception("A datagram for %s failed.", flow.service)
            self._counts.add("home_faults_total")

    def _take(self, flow: port.Flow, message: codec.Message) -> None:
        if message.code.is_request():
            if message.mtype in (types.CON, types.NON):
                self._take_request(flow, message)
        elif message.mtype is types.ACK:
            if not self._exchanges.acknowledge(flow, message.mid):
                self._feeds.acknowledge(flow, message.mid)
        elif message.mtype is types.RST:
            if not self._exchanges.reset(flow, message.mid):
                self._feeds.reset(flow, message.mid)
        elif message.mtype is types.CON:
            # A ping, or a response that we can't have asked for.
            exchanges.send_empty(self._answers, flow, types.RST, message.mid)

    def _take_request(self, flow: port.Flow, message: codec.Message) -> None:
        entry = self._contracts.get(flow.service)
        if entry is not None and self._take_feed(flow, message, entry):
            return
        if message.mtype is types.NON and requests.find_fault(message):
            # RFC 7252 section 5.4.1: it is rejected as a message.
            exchanges.send_empty(self._answers, flow, types.RST, message.mid)
            return
        exchange = self._exchanges.begin(flow, message)
        if exchange is None:
            return
        self._counts.add("home_requests_total", service=flow.service)
        self._server.take(exchange, message, entry)

    def _take_feed(
        self,
        flow: port.Flow,
        message: codec.Message,
        entry: stores.ContractEntry,
    ) -> bool:
        """Hands a registration to the feeds; False if it is none."""
        if message.code is not codes.Code.GET:
            return False
        if message.opt.observe != requests.OBSERVE_OPEN:
            return False
        if requests.find_fault(message) is not None:
            return False
        call_class = entry.contract.classify(
            contracts.Method.GET, requests.get_path(message), observes=True
        )
        if call_class is None:
            return False
        self._feeds.open(flow, message, entry, call_class)
        return True
