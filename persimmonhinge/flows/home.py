"""The home of flows: takes what callers send and sees to the answers."""

from __future__ import annotations

import logging

from aiocoap.numbers import codes
from aiocoap.numbers import types
import trio

from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import store as stores
from persimmonhinge.flows import digests
from persimmonhinge.flows import dispatcher as dispatchers
from persimmonhinge.flows import exchange as exchange_types
from persimmonhinge.flows import exchanges
from persimmonhinge.flows import home_port
from persimmonhinge.flows import once
from persimmonhinge.flows import order as orders
from persimmonhinge.flows import port
from persimmonhinge.flows import recovery as recoveries
from persimmonhinge.flows import replies
from persimmonhinge.flows import request as requests
from persimmonhinge.flows import row as rows
from persimmonhinge.flows import tickets
from persimmonhinge.keys import store as key_stores
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import network as networks
from persimmonhinge.settings import entry as settings_entry

logger = logging.getLogger(__name__)

Code = codes.Code

_NO_CONTRACT_RETRY_S = 1
_OVERLOAD_RETRY_S = 1
# Each takes a task and its messages, about 10 kB.
MAX_IN_PROGRESS = 20_000
_LEAVE_CHECK_S = 0.05


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
        feeds: home_port.FeedDesk,
        counts: host_counts.Counts,
    ) -> None:
        self._contracts = contract_store
        self._answers = answers
        self._feeds = feeds
        self._counts = counts
        mint = tickets.TicketMint(settings, key_store, view)
        recovery = recoveries.Recovery(view, network, counts)
        self._dispatcher = dispatchers.Dispatcher(
            contract_store, chooser, network, mint, recovery, counts
        )
        self._once = once.Once(
            settings, view, mint, self._dispatcher, recovery, chooser, counts
        )
        self._exchanges = exchanges.Exchanges(
            answers, counts, settings.flows.answer_life_s
        )
        self._nursery: trio.Nursery | None = None
        self._in_progress = 0

    def in_progress(self) -> int:
        """Returns the requests that run or whose answer is not confirmed."""
        return self._in_progress

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until it is cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self._once.run)
            nursery.start_soon(self._exchanges.run)
            task_status.started()

    async def leave(self) -> None:
        """Begins no new non-idempotent work; returns once all is answered."""
        self._once.leave()
        while self._in_progress:
            await trio.sleep(_LEAVE_CHECK_S)

    def handle(self, flow: port.Flow, message: codec.Message) -> None:
        """Takes a datagram of a flow; never waits."""
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
        reply = self._serve(exchange, message, entry)
        if reply is not None:
            self._exchanges.finish(exchange, reply)

    def _take_feed(
        self,
        flow: port.Flow,
        message: codec.Message,
        entry: stores.ContractEntry,
    ) -> bool:
        """Hands a registration to the feeds; False if it is none."""
        if message.code is not Code.GET:
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

    def _serve(
        self,
        exchange: exchange_types.Exchange,
        message: codec.Message,
        entry: stores.ContractEntry | None,
    ) -> codec.Message | None:
        """Answers a request at once, or starts the work and returns None."""
        fault = requests.find_fault(message)
        if fault is not None:
            return replies.reject(fault)
        if entry is None:
            return replies.refuse(_NO_CONTRACT_RETRY_S, "no contract")
        closed = self._close_feed(exchange.flow, message)
        method = requests.get_method(message)
        if method is None:
            return replies.reject(Code.METHOD_NOT_ALLOWED)
        path = requests.get_path(message)
        call_class = entry.contract.classify(method, path, observes=False)
        if call_class is None:
            # A feed that ends is answered even where the path serves feeds
            # only; RFC 7641 section 3.6 wants the answer of a plain GET.
            code = Code.CONTENT if closed else Code.NOT_FOUND
            return replies.reject(code)
        if self._in_progress >= MAX_IN_PROGRESS:
            return self._refuse_overload(exchange)
        order = _make_order(exchange, message, method, path, call_class)
        if call_class.runs_at_most_once:
            return self._serve_once(exchange, order, entry, message)
        self._start(exchange, order, entry, None)
        return None

    def _close_feed(self, flow: port.Flow, message: codec.Message) -> bool:
        if message.opt.observe != requests.OBSERVE_CLOSE:
            return False
        return self._feeds.close(flow, message)

    def _refuse_overload(
        self, exchange: exchange_types.Exchange
    ) -> codec.Message | None:
        # No answer rather than 5.03: nothing remembers that it was refused,
        # and a late copy with a ticket might still run.
        self._counts.add("home_refused_total", cause="overload")
        self._exchanges.abandon(exchange)
        return None

    def _serve_once(
        self,
        exchange: exchange_types.Exchange,
        order: orders.Order,
        entry: stores.ContractEntry,
        message: codec.Message,
    ) -> codec.Message | None:
        admission = self._once.admit(order, entry, message.opt.echo or b"")
        if isinstance(admission, once.Silence):
            self._exchanges.abandon(exchange)
            return None
        if isinstance(admission, rows.Row):
            self._start(exchange, order, entry, admission)
            return None
        return admission

    def _start(
        self,
        exchange: exchange_types.Exchange,
        order: orders.Order,
        entry: stores.ContractEntry,
        row: rows.Row | None,
    ) -> None:
        assert self._nursery is not None
        self._in_progress += 1
        exchange.scope = trio.CancelScope()
        self._exchanges.await_answer(exchange)
        self._nursery.start_soon(self._work, exchange, order, entry, row)

    async def _work(
        self,
        exchange: exchange_types.Exchange,
        order: orders.Order,
        entry: stores.ContractEntry,
        row: rows.Row | None,
    ) -> None:
        assert exchange.scope is not None
        try:
            with exchange.scope as scope:
                reply = await self._get_reply(order, entry, row)
            if scope.cancelled_caught:
                self._exchanges.abandon(exchange)
                return
            self._exchanges.finish(exchange, reply)
            await self._exchanges.confirm(exchange)
        finally:
            self._in_progress -= 1

    async def _get_reply(
        self,
        order: orders.Order,
        entry: stores.ContractEntry,
        row: rows.Row | None,
    ) -> codec.Message:
        if row is None:
            return replies.forward(await self._dispatcher.run(order))
        result = await row.wait()
        return replies.forward(result, self._once.renew(order.flow, entry))


def _make_order(
    exchange: exchange_types.Exchange,
    message: codec.Message,
    method: contracts.Method,
    path: str,
    call_class: contracts.CallClass,
) -> orders.Order:
    deadline_s = requests.get_deadline_s(message, call_class)
    return orders.Order(
        exchange.flow,
        method,
        path,
        requests.write_for_upstream(message),
        trio.current_time() + deadline_s,
        call_class,
        exchange.token,
        digests.compute_digest(message),
    )
