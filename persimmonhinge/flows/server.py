"""Serves requests: from the contract to the answer, one task each."""

from __future__ import annotations

import logging

from aiocoap.numbers import codes
import trio

from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import store as stores
from persimmonhinge.flows import caller_request as orders
from persimmonhinge.flows import digests
from persimmonhinge.flows import dispatcher as dispatchers
from persimmonhinge.flows import exchange as exchange_types
from persimmonhinge.flows import exchanges
from persimmonhinge.flows import home_port
from persimmonhinge.flows import no_reply
from persimmonhinge.flows import non_idempotent
from persimmonhinge.flows import replies
from persimmonhinge.flows import request as requests
from persimmonhinge.flows import row as rows
from persimmonhinge.flows import shape as shapes
from persimmonhinge.flows import slices
from persimmonhinge.flows import ticket_issuer
from persimmonhinge.flows import upload as upload_types
from persimmonhinge.flows import uploads
from persimmonhinge.metrics import counts as host_counts

logger = logging.getLogger(__name__)

Code = codes.Code
# An answer at once, none at all, or None if a task will give it.
Served = codec.Message | no_reply.NoReply | None

# Each takes a task and its messages, about 10 kB.
MAX_IN_PROGRESS = 20_000
_NO_CONTRACT_RETRY_S = 1
_OVERLOAD_RETRY_S = 1
_SWEEP_S = 1.0


class RequestServer:
    """Serves the requests of callers, feeds aside."""

    def __init__(
        self,
        message_layer: exchanges.Exchanges,
        dispatcher: dispatchers.Dispatcher,
        at_most_once: non_idempotent.NonIdempotentRequests,
        issuer: ticket_issuer.TicketIssuer,
        feeds: home_port.FeedServer,
        counts: host_counts.Counts,
        answer_life_s: float,
    ) -> None:
        self._exchanges = message_layer
        self._dispatcher = dispatcher
        self._once = at_most_once
        self._issuer = issuer
        self._feeds = feeds
        self._counts = counts
        self._uploads = uploads.Uploads(counts, answer_life_s)
        self._slices = slices.Slices(answer_life_s)
        self._nursery: trio.Nursery | None = None
        self._running = 0
        self._unconfirmed = 0

    def count_running(self) -> int:
        """Returns the requests that are not answered yet."""
        return self._running

    def count_unconfirmed(self) -> int:
        """Returns the answers that are repeated until callers have them."""
        return self._unconfirmed

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs what is served and forgets it in time."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(_SWEEP_S)
                self._uploads.forget_old()
                self._slices.forget_old()

    def take(
        self,
        exchange: exchange_types.Exchange,
        message: codec.Message,
        entry: stores.ContractEntry | None,
    ) -> None:
        """Takes a request that is not a copy."""
        served = self._serve(exchange, message, entry)
        if isinstance(served, no_reply.NoReply):
            self._exchanges.abandon(exchange)
        elif served is not None:
            self._finish(exchange, served)

    def _finish(
        self, exchange: exchange_types.Exchange, reply: codec.Message
    ) -> None:
        part = self._slices.shape(reply, exchange.shape)
        self._exchanges.finish(exchange, part)

    def _serve(
        self,
        exchange: exchange_types.Exchange,
        message: codec.Message,
        entry: stores.ContractEntry | None,
    ) -> Served:
        fault = requests.find_fault(message)
        if fault is not None:
            return replies.make_reply(fault)
        if entry is None:
            return _refuse_without_contract(message)
        closes = message.opt.observe == requests.OBSERVE_CLOSE
        closed = closes and self._feeds.close(exchange.flow, message)
        method = requests.get_method(message)
        if method is None:
            return replies.make_reply(Code.METHOD_NOT_ALLOWED)
        call_class = entry.contract.classify(
            method, requests.get_path(message), observes=False
        )
        if call_class is None:
            return self._serve_feed_path(exchange, message, closed=closed)
        if call_class.runs_at_most_once:
            return self._serve_once(exchange, message, entry, call_class)
        return self._serve_idempotent(exchange, message, entry, call_class)

    def _serve_feed_path(
        self,
        exchange: exchange_types.Exchange,
        message: codec.Message,
        *,
        closed: bool,
    ) -> codec.Message:
        """Answers a plain GET of a path that serves feeds only."""
        wanted = message.opt.block2
        if wanted is not None and wanted.block_number > 0:
            state = self._feeds.read_state(exchange.flow, message)
            if state is not None:
                exchange.shape = shapes.Shape(block2=wanted)
                return state
        # A feed that ends is answered like a plain GET (RFC 7641 section
        # 3.6), without a call of the upstream.
        return replies.make_reply(Code.CONTENT if closed else Code.NOT_FOUND)

    def _serve_idempotent(
        self,
        exchange: exchange_types.Exchange,
        message: codec.Message,
        entry: stores.ContractEntry,
        call_class: contracts.CallClass,
    ) -> Served:
        taken = self._take_body(exchange, message, entry)
        if not isinstance(taken, upload_types.Whole):
            return taken
        order = _make_order(exchange, taken, call_class)
        exchange.shape = shapes.Shape(
            message.opt.block1,
            message.opt.block2,
            (shapes.SliceKey(exchange.flow, order.digest),),
        )
        whole = self._find_whole(exchange)
        if whole is not None:
            return whole
        if not self._has_room():
            self._counts.add("home_refused_total", cause="overload")
            return replies.make_unavailable(_OVERLOAD_RETRY_S, "host is full")
        self._start(exchange, order, entry, None)
        return None

    def _serve_once(
        self,
        exchange: exchange_types.Exchange,
        message: codec.Message,
        entry: stores.ContractEntry,
        call_class: contracts.CallClass,
    ) -> Served:
        echo = message.opt.echo or b""
        if message.opt.block1 is not None:
            refusal = self._once.check_block(exchange.flow, entry, echo)
            if refusal is not None:
                return refusal
        taken = self._take_body(exchange, message, entry)
        if not isinstance(taken, upload_types.Whole):
            return taken
        order = _make_order(exchange, taken, call_class)
        exchange.shape = _make_once_shape(exchange, message, echo)
        whole = self._find_whole(exchange)
        if whole is not None:
            return whole
        if exchange.shape.is_later:
            admission = self._once.recover_answer(order, entry, echo)
        else:
            admission = self._once.admit(
                order, entry, echo, has_capacity=self._has_room()
            )
        if isinstance(admission, rows.Row):
            return self._join(exchange, order, entry, admission)
        return admission

    def _take_body(
        self,
        exchange: exchange_types.Exchange,
        message: codec.Message,
        entry: stores.ContractEntry,
    ) -> uploads.Taken:
        limit = entry.contract.limits.body_octets
        if message.opt.block1 is not None:
            return self._uploads.take(exchange.flow, message, limit)
        if len(message.payload) > limit:
            return replies.make_reply(Code.REQUEST_ENTITY_TOO_LARGE)
        return upload_types.Whole(message, exchange.token)

    def _find_whole(
        self, exchange: exchange_types.Exchange
    ) -> codec.Message | None:
        """Returns the kept answer that a later block is asked of."""
        if not exchange.shape.is_later:
            return None
        return self._slices.find(exchange.shape)

    def _has_room(self) -> bool:
        return self._running + self._unconfirmed < MAX_IN_PROGRESS

    def _join(
        self,
        exchange: exchange_types.Exchange,
        order: orders.CallerRequest,
        entry: stores.ContractEntry,
        row: rows.Row,
    ) -> Served:
        if row.result is not None:
            echo = self._issuer.renew(order.flow, entry)
            return replies.convert_outcome(row.result, echo)
        if not self._has_room():
            # It runs, so "not run" would be wrong; a later copy finds it.
            return no_reply.NoReply()
        self._start(exchange, order, entry, row)
        return None

    def _start(
        self,
        exchange: exchange_types.Exchange,
        order: orders.CallerRequest,
        entry: stores.ContractEntry,
        row: rows.Row | None,
    ) -> None:
        assert self._nursery is not None
        self._running += 1
        exchange.scope = trio.CancelScope()
        if row is None or not row.is_recovered:
            # An empty ACK would end the caller's copies, by which it finds
            # a host that can answer when this one can't.
            self._exchanges.await_answer(exchange)
        self._nursery.start_soon(self._work, exchange, order, entry, row)

    async def _work(
        self,
        exchange: exchange_types.Exchange,
        order: orders.CallerRequest,
        entry: stores.ContractEntry,
        row: rows.Row | None,
    ) -> None:
        assert exchange.scope is not None
        try:
            with exchange.scope as scope:
                reply = await self._get_reply(order, entry, row)
        except Exception:
            # Guards against one request that ends the host, and all flows
            # with it: a fault of ours that some datagram brings out.
            logger.exception("A request of %s failed.", order.service)
            self._counts.add("home_faults_total")
            reply = replies.make_outcome_unknown("internal fault")
        finally:
            self._running -= 1
        if scope.cancelled_caught:
            self._exchanges.abandon(exchange)
            return
        self._finish(exchange, reply)
        self._unconfirmed += 1
        try:
            await self._exchanges.confirm(exchange)
        finally:
            self._unconfirmed -= 1

    async def _get_reply(
        self,
        order: orders.CallerRequest,
        entry: stores.ContractEntry,
        row: rows.Row | None,
    ) -> codec.Message:
        if row is None:
            return replies.convert_outcome(
                await self._dispatcher.run_request(order)
            )
        result = await row.wait()
        return replies.convert_outcome(
            result, self._issuer.renew(order.flow, entry)
        )


def _refuse_without_contract(message: codec.Message) -> codec.Message:
    if message.opt.echo:
        # An earlier copy may have run while the contract was known.
        return replies.make_outcome_unknown("no contract")
    return replies.make_unavailable(_NO_CONTRACT_RETRY_S, "no contract")


def _make_once_shape(
    exchange: exchange_types.Exchange, message: codec.Message, echo: bytes
) -> shapes.Shape:
    """Returns the shape of an answer that is found by its ticket.

    A caller asks for later blocks under the token of the request or, as
    plain CoAP callers do, under a new one; then only what was asked for
    names the answer.
    """
    line = digests.compute_line_digest(message)
    return shapes.Shape(
        message.opt.block1,
        message.opt.block2,
        (
            shapes.SliceKey(exchange.flow, echo + exchange.token),
            shapes.SliceKey(exchange.flow, echo + line),
        ),
    )


def _make_order(
    exchange: exchange_types.Exchange,
    whole: upload_types.Whole,
    call_class: contracts.CallClass,
) -> orders.CallerRequest:
    deadline_s = requests.get_deadline_s(whole.message, call_class)
    return orders.CallerRequest(
        exchange.flow,
        call_class.method,
        requests.get_path(whole.message),
        requests.write_for_upstream(whole.message),
        trio.current_time() + deadline_s,
        call_class,
        whole.token,
        digests.compute_digest(whole.message),
    )
