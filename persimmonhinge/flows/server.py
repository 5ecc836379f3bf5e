"""Serves requests by their contract, each in a task of its own."""

from __future__ import annotations

import logging

from aiocoap.numbers import codes
import trio

from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract
from persimmonhinge.contracts import store
from persimmonhinge.flows import block_params
from persimmonhinge.flows import caller_request as caller_request_module
from persimmonhinge.flows import digests
from persimmonhinge.flows import dispatcher as dispatcher_module
from persimmonhinge.flows import exchange as exchange_module
from persimmonhinge.flows import exchanges
from persimmonhinge.flows import feed_server
from persimmonhinge.flows import large_replies
from persimmonhinge.flows import no_reply
from persimmonhinge.flows import non_idempotent
from persimmonhinge.flows import replies
from persimmonhinge.flows import request
from persimmonhinge.flows import row as row_module
from persimmonhinge.flows import ticket_issuer
from persimmonhinge.flows import upload
from persimmonhinge.flows import uploads
from persimmonhinge.metrics import counts as counts_module

logger = logging.getLogger(__name__)

Code = codes.Code
# A reply to send now, `NoReply` to send none, or None if a task will send it.
ServeResult = codec.Message | no_reply.NoReply | None

# Maximum number of running requests and unconfirmed replies of this host. Each
# needs about 10 kB for its task and messages.
MAX_IN_PROGRESS = 20_000
_NO_CONTRACT_RETRY_S = 1
_OVERLOAD_RETRY_S = 1
_CLEANUP_INTERVAL_S = 1.0


class RequestServer:
    """Serves the requests of callers, except feed registrations."""

    def __init__(
        self,
        message_layer: exchanges.Exchanges,
        dispatcher: dispatcher_module.Dispatcher,
        non_idempotent_requests: non_idempotent.NonIdempotentRequests,
        issuer: ticket_issuer.TicketIssuer,
        feeds: feed_server.FeedServer,
        counts: counts_module.Counts,
        reply_retention_s: float,
    ) -> None:
        self._exchanges = message_layer
        self._dispatcher = dispatcher
        self._non_idempotent = non_idempotent_requests
        self._issuer = issuer
        self._feeds = feeds
        self._counts = counts
        self._uploads = uploads.Uploads(counts, reply_retention_s)
        self._large_replies = large_replies.LargeReplies(reply_retention_s)
        self._nursery: trio.Nursery | None = None
        self._running = 0
        self._unconfirmed = 0

    def count_running(self) -> int:
        """Returns the number of requests whose reply isn't sent yet."""
        return self._running

    def count_unconfirmed(self) -> int:
        """Returns the number of replies that callers haven't confirmed yet."""
        return self._unconfirmed

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs request tasks and removes expired uploads and replies."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(_CLEANUP_INTERVAL_S)
                self._uploads.remove_expired()
                self._large_replies.remove_expired()

    def handle_request(
        self,
        exchange: exchange_module.Exchange,
        message: codec.Message,
        entry: store.ContractEntry | None,
    ) -> None:
        """Handles a request datagram that isn't a copy."""
        result = self._serve(exchange, message, entry)
        if isinstance(result, no_reply.NoReply):
            self._exchanges.discard_request(exchange)
        elif result is not None:
            self._send_reply(exchange, result)

    def _send_reply(
        self, exchange: exchange_module.Exchange, reply: codec.Message
    ) -> None:
        part = self._large_replies.extract_block(reply, exchange.block_params)
        self._exchanges.send_reply(exchange, part)

    def _serve(
        self,
        exchange: exchange_module.Exchange,
        message: codec.Message,
        entry: store.ContractEntry | None,
    ) -> ServeResult:
        fault = request.check_options(message)
        if fault is not None:
            return replies.make_reply(fault)
        if entry is None:
            return _refuse_without_contract(message)
        closes = message.opt.observe == request.OBSERVE_DEREGISTER
        closed = closes and self._feeds.close(exchange.flow, message)
        method = request.get_method(message)
        if method is None:
            return replies.make_reply(Code.METHOD_NOT_ALLOWED)
        call_class = entry.contract.classify(
            method, request.get_path(message), observes=False
        )
        if call_class is None:
            return self._serve_feed_path(exchange, message, closed=closed)
        if call_class.runs_at_most_once:
            return self._serve_non_idempotent(
                exchange, message, entry, call_class
            )
        return self._serve_idempotent(exchange, message, entry, call_class)

    def _serve_feed_path(
        self,
        exchange: exchange_module.Exchange,
        message: codec.Message,
        *,
        closed: bool,
    ) -> codec.Message:
        """Returns the reply to a plain GET of a path that only serves feeds."""
        requested = message.opt.block2
        if requested is not None and requested.block_number > 0:
            state = self._feeds.read_state(exchange.flow, message)
            if state is not None:
                exchange.block_params = block_params.BlockParams(
                    block2=requested
                )
                return state
        # The reply to a deregistration is that to a plain GET (RFC 7641
        # section 3.6), but no request is sent to the upstream.
        return replies.make_reply(Code.CONTENT if closed else Code.NOT_FOUND)

    def _serve_idempotent(
        self,
        exchange: exchange_module.Exchange,
        message: codec.Message,
        entry: store.ContractEntry,
        call_class: contract.CallClass,
    ) -> ServeResult:
        body = self._collect_body(exchange, message, entry)
        if not isinstance(body, upload.CompleteRequest):
            return body
        caller_request = _make_caller_request(exchange, body, call_class)
        exchange.block_params = block_params.BlockParams(
            message.opt.block1,
            message.opt.block2,
            (block_params.ReplyKey(exchange.flow, caller_request.digest),),
        )
        stored = self._find_stored_reply(exchange)
        if stored is not None:
            return stored
        if not self._has_free_capacity():
            self._counts.add("home_refused_total", cause="overload")
            return replies.make_unavailable(_OVERLOAD_RETRY_S, "host is full")
        self._start_task(exchange, caller_request, entry, None)
        return None

    def _serve_non_idempotent(
        self,
        exchange: exchange_module.Exchange,
        message: codec.Message,
        entry: store.ContractEntry,
        call_class: contract.CallClass,
    ) -> ServeResult:
        echo = message.opt.echo or b""
        if message.opt.block1 is not None:
            refusal = self._non_idempotent.check_block(
                exchange.flow, entry, echo
            )
            if refusal is not None:
                return refusal
        body = self._collect_body(exchange, message, entry)
        if not isinstance(body, upload.CompleteRequest):
            return body
        caller_request = _make_caller_request(exchange, body, call_class)
        exchange.block_params = _make_non_idempotent_params(
            exchange, message, echo
        )
        stored = self._find_stored_reply(exchange)
        if stored is not None:
            return stored
        if exchange.block_params.is_later_block:
            admission = self._non_idempotent.recover_answer(
                caller_request, entry, echo
            )
        else:
            admission = self._non_idempotent.admit(
                caller_request,
                entry,
                echo,
                has_capacity=self._has_free_capacity(),
            )
        if isinstance(admission, row_module.Row):
            return self._serve_from_row(
                exchange, caller_request, entry, admission
            )
        return admission

    def _collect_body(
        self,
        exchange: exchange_module.Exchange,
        message: codec.Message,
        entry: store.ContractEntry,
    ) -> uploads.UploadResult:
        limit = entry.contract.limits.body_octets
        if message.opt.block1 is not None:
            return self._uploads.add_block(exchange.flow, message, limit)
        if len(message.payload) > limit:
            return replies.make_reply(Code.REQUEST_ENTITY_TOO_LARGE)
        return upload.CompleteRequest(message, exchange.token)

    def _find_stored_reply(
        self, exchange: exchange_module.Exchange
    ) -> codec.Message | None:
        """Returns the stored reply of which a later block is requested."""
        if not exchange.block_params.is_later_block:
            return None
        return self._large_replies.find_reply(exchange.block_params)

    def _has_free_capacity(self) -> bool:
        return self._running + self._unconfirmed < MAX_IN_PROGRESS

    def _serve_from_row(
        self,
        exchange: exchange_module.Exchange,
        caller_request: caller_request_module.CallerRequest,
        entry: store.ContractEntry,
        row: row_module.Row,
    ) -> ServeResult:
        if row.result is not None:
            echo = self._issuer.issue_ticket(caller_request.flow, entry)
            return replies.convert_outcome(row.result, echo)
        if not self._has_free_capacity():
            # The request is running, so "not run" would be wrong. A later
            # copy of it finds its row.
            return no_reply.NoReply()
        self._start_task(exchange, caller_request, entry, row)
        return None

    def _start_task(
        self,
        exchange: exchange_module.Exchange,
        caller_request: caller_request_module.CallerRequest,
        entry: store.ContractEntry,
        row: row_module.Row | None,
    ) -> None:
        assert self._nursery is not None
        self._running += 1
        exchange.cancel_scope = trio.CancelScope()
        if row is None or not row.is_recovered:
            # No empty ACK for a request that is being recovered: the ACK would
            # stop the caller's retransmissions, through which it reaches a
            # host that has the outcome if this one can't find it.
            self._exchanges.schedule_empty_ack(exchange)
        self._nursery.start_soon(
            self._run_request, exchange, caller_request, entry, row
        )

    async def _run_request(
        self,
        exchange: exchange_module.Exchange,
        caller_request: caller_request_module.CallerRequest,
        entry: store.ContractEntry,
        row: row_module.Row | None,
    ) -> None:
        assert exchange.cancel_scope is not None
        try:
            with exchange.cancel_scope as scope:
                reply = await self._get_reply(caller_request, entry, row)
        except Exception:
            # A bug that one request triggers must not stop the host and
            # with it all other flows.
            logger.exception(
                "Handling a request to service %s failed.",
                caller_request.service,
            )
            self._counts.add("home_faults_total")
            reply = replies.make_outcome_unknown("internal fault")
        finally:
            self._running -= 1
        if scope.cancelled_caught:
            self._exchanges.discard_request(exchange)
            return
        self._send_reply(exchange, reply)
        self._unconfirmed += 1
        try:
            await self._exchanges.retransmit_until_confirmed(exchange)
        finally:
            self._unconfirmed -= 1

    async def _get_reply(
        self,
        caller_request: caller_request_module.CallerRequest,
        entry: store.ContractEntry,
        row: row_module.Row | None,
    ) -> codec.Message:
        if row is None:
            return replies.convert_outcome(
                await self._dispatcher.run_request(caller_request)
            )
        result = await row.wait()
        return replies.convert_outcome(
            result, self._issuer.issue_ticket(caller_request.flow, entry)
        )


def _refuse_without_contract(message: codec.Message) -> codec.Message:
    if message.opt.echo:
        # An earlier copy may have run while the contract was available.
        return replies.make_outcome_unknown("no contract")
    return replies.make_unavailable(_NO_CONTRACT_RETRY_S, "no contract")


def _make_non_idempotent_params(
    exchange: exchange_module.Exchange, message: codec.Message, echo: bytes
) -> block_params.BlockParams:
    """Returns the block parameters of a request with a ticket.

    A caller requests later blocks with the token of the first request or, as
    plain CoAP clients do, with a new one. The reply is therefore stored under
    two keys: ticket and token, and ticket and hash of the options.
    """
    options_digest = digests.compute_options_digest(message)
    return block_params.BlockParams(
        message.opt.block1,
        message.opt.block2,
        (
            block_params.ReplyKey(exchange.flow, echo + exchange.token),
            block_params.ReplyKey(exchange.flow, echo + options_digest),
        ),
    )


def _make_caller_request(
    exchange: exchange_module.Exchange,
    complete: upload.CompleteRequest,
    call_class: contract.CallClass,
) -> caller_request_module.CallerRequest:
    deadline_s = request.get_deadline_s(complete.message, call_class)
    return caller_request_module.CallerRequest(
        exchange.flow,
        call_class.method,
        request.get_path(complete.message),
        request.encode_for_upstream(complete.message),
        trio.current_time() + deadline_s,
        call_class,
        complete.token,
        digests.compute_digest(complete.message),
    )
