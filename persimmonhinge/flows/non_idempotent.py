"""Admission and execution of non-idempotent requests at their home."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import logging

import trio

from persimmonhinge.coap import codec
from persimmonhinge.contracts import store
from persimmonhinge.flows import caller_request
from persimmonhinge.flows import dispatcher as dispatcher_module
from persimmonhinge.flows import no_reply
from persimmonhinge.flows import port
from persimmonhinge.flows import recovery as recovery_module
from persimmonhinge.flows import replies
from persimmonhinge.flows import row as row_module
from persimmonhinge.flows import table
from persimmonhinge.flows import ticket_issuer
from persimmonhinge.flows import tickets
from persimmonhinge.membership import view as view_module
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.peers.messages import work
from persimmonhinge.settings import entry as entry_module

logger = logging.getLogger(__name__)

_EXPIRE_INTERVAL_S = 1.0
_RETRY_AFTER_S = 1
_CANCELLED = work.Dispatched(work.Outcome.UNKNOWN, reason="cancelled")
_HOME_DIED = work.Dispatched(work.Outcome.UNKNOWN, reason="its home died")


# No host accepts a ticket with one of these faults for this service, so no
# request has run with it.
_UNUSABLE_TICKET_FAULTS = (
    tickets.TicketFault.MALFORMED,
    tickets.TicketFault.OTHER_SERVICE,
)
_RunFunction = Callable[
    [row_module.Row, caller_request.CallerRequest], Awaitable[None]
]
# A row whose result is awaited, an immediate reply, or no reply.
Admission = row_module.Row | codec.Message | no_reply.NoReply


class NonIdempotentRequests:
    """Runs non-idempotent requests at most once and stores their results."""

    def __init__(
        self,
        settings: entry_module.EntrySettings,
        view: view_module.View,
        mint: tickets.TicketMint,
        issuer: ticket_issuer.TicketIssuer,
        dispatcher: dispatcher_module.Dispatcher,
        recovery: recovery_module.Recovery,
        counts: counts_module.Counts,
    ) -> None:
        self._settings = settings.flows
        self._view = view
        self._mint = mint
        self._issuer = issuer
        self._dispatcher = dispatcher
        self._recovery = recovery
        self._counts = counts
        self._table = table.RequestTable(settings.flows.most_flows)
        self._recovering: dict[row_module.RowKey, row_module.Row] = {}
        self._nursery: trio.Nursery | None = None

    def start_leaving(self) -> None:
        """Stops minting tickets and starting new requests."""
        self._issuer.leaving = True

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs admitted requests and removes their rows after expiry."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(_EXPIRE_INTERVAL_S)
                self._table.remove_expired(self._mint.uptime_ms())

    def admit(
        self,
        request: caller_request.CallerRequest,
        entry: store.ContractEntry,
        echo: bytes,
        *,
        has_capacity: bool = True,
    ) -> Admission:
        """Decides on a request by the ticket in its Echo option.

        Args:
            request: The request, with its ticket not yet set.
            entry: The service's contract, with its revision.
            echo: Value of the Echo option; empty if the request has none.
            has_capacity: False if this host can start no more requests.
        """
        if not echo:
            return self._issuer.make_ticket_required_reply(
                request.flow, entry, "none"
            )
        try:
            ticket = self._mint.read(echo, request.flow)
        except tickets.RefusedTicketError as error:
            return self._refuse_ticket(request, entry, echo, error.fault)
        request = request.with_ticket(ticket)
        row = self._table.find(request.row_key)
        if row is not None:
            return row
        if not self._mint.is_current(ticket.home):
            return self._start_recovery(request)
        return self._start_request(request, entry, has_capacity=has_capacity)

    def check_block(
        self, flow: port.Flow, entry: store.ContractEntry, echo: bytes
    ) -> codec.Message | no_reply.NoReply | None:
        """Checks the ticket of a request block before the block is stored.

        Whether the request runs is decided at its last block. A ticket that
        can no longer start a request is therefore accepted here: the caller
        may be repeating the body of a request that has already run.

        Returns:
            None if the block may be stored, else the decision on it.
        """
        if not echo:
            return self._issuer.make_ticket_required_reply(flow, entry, "none")
        try:
            ticket = self._mint.read(echo, flow)
        except tickets.RefusedTicketError as error:
            if error.fault in _UNUSABLE_TICKET_FAULTS:
                return self._issuer.make_ticket_required_reply(
                    flow, entry, error.fault.value
                )
            return self._issuer.make_unverified_reply(flow, entry, error.fault)
        return self._defer_to_home(ticket)

    def recover_answer(
        self,
        request: caller_request.CallerRequest,
        entry: store.ContractEntry,
        echo: bytes,
    ) -> Admission:
        """Recovers an answer of which a caller requests a later block.

        The body of the original request is not available here, so the request
        is never started. The keepers are queried by ticket and token alone.
        """
        try:
            ticket = self._mint.read(echo, request.flow)
        except tickets.RefusedTicketError as error:
            return self._issuer.make_unverified_reply(
                request.flow, entry, error.fault
            )
        request = dataclasses.replace(request, ticket=ticket, digest=b"")
        return self._start_recovery(request)

    def _refuse_ticket(
        self,
        request: caller_request.CallerRequest,
        entry: store.ContractEntry,
        echo: bytes,
        fault: tickets.TicketFault,
    ) -> codec.Message:
        """Answers a request whose ticket can't be accepted.

        A 4.01 reply makes the caller send the request again, so it is
        returned only if an earlier copy certainly did not run: if no host
        accepts the ticket for this service, or if this host is the home
        that the ticket names and has no row for the request. Guards against
        a second run if the caller's address changed in transit, the
        ticket's key was retired early, or this host has not received that
        key yet.
        """
        if fault in _UNUSABLE_TICKET_FAULTS:
            return self._issuer.make_ticket_required_reply(
                request.flow, entry, fault.value
            )
        home = tickets.peek_home(echo)
        if home is not None and self._mint.is_own(home):
            key = request.make_row_key(home, tickets.peek_id(echo))
            if self._table.find(key) is None:
                return self._issuer.make_ticket_required_reply(
                    request.flow, entry, fault.value
                )
        return self._issuer.make_unverified_reply(request.flow, entry, fault)

    def _start_request(
        self,
        request: caller_request.CallerRequest,
        entry: store.ContractEntry,
        *,
        has_capacity: bool,
    ) -> Admission:
        ticket = request.required_ticket
        if not self._mint.may_start_request(ticket):
            return self._issuer.make_ticket_required_reply(
                request.flow, entry, "expired"
            )
        if self._issuer.leaving:
            # A host that leaves never resumes service, so a late copy of
            # the request is refused, too.
            return replies.make_unavailable(0, "host leaves")
        row = None
        if has_capacity:
            row = self._table.add(request.row_key, ticket.expiry_ms)
        if row is None:
            self._counts.add("home_refused_total", cause="table-full")
            self._mint.revoke_issued()
            echo = self._issuer.issue_ticket(request.flow, entry)
            return replies.make_unavailable(
                _RETRY_AFTER_S, "host is full", echo
            )
        self._start_task(self._run_request, row, request)
        return row

    def _start_recovery(
        self, request: caller_request.CallerRequest
    ) -> Admission:
        deferral = self._defer_to_home(request.required_ticket)
        if deferral is not None:
            return deferral
        key = request.row_key
        row = self._recovering.get(key)
        if row is None:
            row = row_module.Row(key, is_recovered=True)
            self._recovering[key] = row
            self._start_task(self._run_recovery, row, request)
        return row

    def _defer_to_home(self, ticket: tickets.Ticket) -> no_reply.NoReply | None:
        """Decides on no reply if the ticket's home is another live host.

        That home is unreachable from this host, since the request would
        otherwise have been relayed to it. Only the home knows the outcome of
        the request. The caller's next copy reaches it through another host,
        or arrives after the home was declared dead.

        Returns:
            None if this host may decide on the request itself.
        """
        if self._mint.is_own(ticket.home):
            return None
        if self._view.find_by_ref(ticket.home) is None:
            return None
        self._counts.add("home_elsewhere_total")
        return no_reply.NoReply()

    def _start_task(
        self,
        run: _RunFunction,
        row: row_module.Row,
        request: caller_request.CallerRequest,
    ) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._run_guarded, run, row, request)

    async def _run_guarded(
        self,
        run: _RunFunction,
        row: row_module.Row,
        request: caller_request.CallerRequest,
    ) -> None:
        """Runs the task of a row and handles its exceptions.

        An internal error must not stop the host, and the exchanges that wait
        for the row still receive a result.
        """
        try:
            with row.cancel_scope:
                await run(row, request)
        except Exception:
            logger.exception(
                "Unhandled error in a request to service %s.", request.service
            )
            self._counts.add("home_faults_total")
        row.finish(_CANCELLED)

    async def _run_request(
        self, row: row_module.Row, request: caller_request.CallerRequest
    ) -> None:
        try:
            row.finish(await self._dispatcher.run_request(request))
        finally:
            row.finish(_CANCELLED)
            self._table.count_answer(row)

    async def _run_recovery(
        self, row: row_module.Row, request: caller_request.CallerRequest
    ) -> None:
        try:
            if self._settings.recovery:
                result = await self._recovery.query_all_keepers(request)
                row.finish(_downgrade_not_run(result, row.key))
            row.finish(_HOME_DIED)
        finally:
            del self._recovering[row.key]


def _downgrade_not_run(
    result: work.Dispatched, key: row_module.RowKey
) -> work.Dispatched:
    """Returns a recovered result, with an unproven NOT_RUN made UNKNOWN.

    Guards against reporting "not run" for a request that ran: a plain CoAP
    caller requests later blocks under a new token, and no keeper has an entry
    for that token. A key without a digest belongs to such a request.
    """
    if key.digest or result.outcome is not work.Outcome.NOT_RUN:
        return result
    return work.Dispatched(work.Outcome.UNKNOWN, reason="answer is gone")
