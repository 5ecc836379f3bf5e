"""Non-idempotent requests at their home: admitted, run once, remembered."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import logging

import trio

from persimmonhinge.coap import codec
from persimmonhinge.contracts import store as stores
from persimmonhinge.flows import dispatcher as dispatchers
from persimmonhinge.flows import order as orders
from persimmonhinge.flows import outcome
from persimmonhinge.flows import port
from persimmonhinge.flows import recovery as recoveries
from persimmonhinge.flows import replies
from persimmonhinge.flows import row as rows
from persimmonhinge.flows import table as tables
from persimmonhinge.flows import ticket_issuer
from persimmonhinge.flows import tickets
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers.messages import work
from persimmonhinge.settings import entry as settings_entry

logger = logging.getLogger(__name__)

_EXPIRE_INTERVAL_S = 1.0
_RETRY_AFTER_S = 1
_CANCELLED = work.Dispatched(work.Outcome.UNKNOWN, reason="cancelled")
_UNASKED = work.Dispatched(work.Outcome.UNKNOWN, reason="its home died")


# No host takes them for this service, so nothing ran under them.
_FOREIGN_FAULTS = (
    tickets.TicketFault.MALFORMED,
    tickets.TicketFault.OTHER_SERVICE,
)
_RunRow = Callable[[rows.Row, orders.Order], Awaitable[None]]
# A row to wait for, an answer at once, or none.
Admission = rows.Row | codec.Message | outcome.Silence


class Once:
    """Runs non-idempotent requests at most once, and remembers them."""

    def __init__(
        self,
        settings: settings_entry.EntrySettings,
        view: views.View,
        mint: tickets.TicketMint,
        issuer: ticket_issuer.TicketIssuer,
        dispatcher: dispatchers.Dispatcher,
        recovery: recoveries.Recovery,
        counts: host_counts.Counts,
    ) -> None:
        self._settings = settings.flows
        self._view = view
        self._mint = mint
        self._issuer = issuer
        self._dispatcher = dispatcher
        self._recovery = recovery
        self._counts = counts
        self._table = tables.RequestTable(settings.flows.most_flows)
        self._recovering: dict[rows.RowKey, rows.Row] = {}
        self._nursery: trio.Nursery | None = None

    def leave(self) -> None:
        """Mints no more tickets and begins nothing new."""
        self._issuer.leaving = True

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs what is admitted and forgets it in time."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                await trio.sleep(_EXPIRE_INTERVAL_S)
                self._table.expire(self._mint.uptime_ms())

    def admit(
        self,
        order: orders.Order,
        entry: stores.ContractEntry,
        echo: bytes,
        *,
        has_room: bool = True,
    ) -> Admission:
        """Decides on a request with the ticket that it came with.

        Args:
            order: The request; its ticket is still missing.
            entry: The contract.
            echo: Its Echo option; empty without one.
            has_room: False if the host can begin no more work.
        """
        if not echo:
            return self._issuer.require_ticket(order.flow, entry, "none")
        try:
            ticket = self._mint.read(echo, order.flow)
        except tickets.RefusedTicketError as error:
            return self._refuse_ticket(order, entry, echo, error.fault)
        order = order.bind(ticket)
        row = self._table.find(order.key)
        if row is not None:
            return row
        if not self._mint.is_current(ticket.home):
            return self._recover(order)
        return self._begin(order, entry, has_room=has_room)

    def screen(
        self, flow: port.Flow, entry: stores.ContractEntry, echo: bytes
    ) -> codec.Message | outcome.Silence | None:
        """Decides on a block of a body before it is kept.

        The last block decides whether the request runs. So a ticket that no
        longer begins work is let pass: the body may be sent once more for a
        request that has run.

        Returns:
            None if it may be kept.
        """
        if not echo:
            return self._issuer.require_ticket(flow, entry, "none")
        try:
            ticket = self._mint.read(echo, flow)
        except tickets.RefusedTicketError as error:
            if error.fault in _FOREIGN_FAULTS:
                return self._issuer.require_ticket(
                    flow, entry, error.fault.value
                )
            return self._issuer.report_unverified(flow, entry, error.fault)
        return self._find_elsewhere(ticket)

    def find_answer(
        self, order: orders.Order, entry: stores.ContractEntry, echo: bytes
    ) -> Admission:
        """Finds the answer of a request that ran, for its later blocks.

        The request itself is not at hand then, so nothing is ever begun;
        the keepers are asked by ticket and token alone.
        """
        try:
            ticket = self._mint.read(echo, order.flow)
        except tickets.RefusedTicketError as error:
            return self._issuer.report_unverified(
                order.flow, entry, error.fault
            )
        order = dataclasses.replace(order, ticket=ticket, digest=b"")
        return self._recover(order)

    def _refuse_ticket(
        self,
        order: orders.Order,
        entry: stores.ContractEntry,
        echo: bytes,
        fault: tickets.TicketFault,
    ) -> codec.Message:
        """Answers a request whose ticket can't be accepted.

        4.01 makes a caller send the request again, so it is given only
        where an earlier copy surely did not run: at the home that the
        ticket names, without a row. Guards against a second run where a
        caller's address changed on the way, its key was retired early, or
        this host hasn't learned its key yet.
        """
        if fault in _FOREIGN_FAULTS:
            return self._issuer.require_ticket(order.flow, entry, fault.value)
        home = tickets.peek_home(echo)
        if home is not None and self._mint.is_own(home):
            key = order.make_key(home, tickets.peek_id(echo))
            if self._table.find(key) is None:
                return self._issuer.require_ticket(
                    order.flow, entry, fault.value
                )
        return self._issuer.report_unverified(order.flow, entry, fault)

    def _begin(
        self,
        order: orders.Order,
        entry: stores.ContractEntry,
        *,
        has_room: bool,
    ) -> Admission:
        ticket = order.held_ticket
        if not self._mint.may_start_work(ticket):
            return self._issuer.require_ticket(order.flow, entry, "expired")
        if self._issuer.leaving:
            # Never undone, so a late copy of it is refused as well.
            return replies.refuse(0, "host leaves")
        row = None
        if has_room:
            row = self._table.begin(order.key, ticket.expiry_ms)
        if row is None:
            self._counts.add("home_refused_total", cause="table-full")
            self._mint.revoke_issued()
            echo = self._issuer.issue_ticket(order.flow, entry)
            return replies.refuse(_RETRY_AFTER_S, "host is full", echo)
        self._start(self._run_row, row, order)
        return row

    def _recover(self, order: orders.Order) -> Admission:
        elsewhere = self._find_elsewhere(order.held_ticket)
        if elsewhere is not None:
            return elsewhere
        key = order.key
        row = self._recovering.get(key)
        if row is None:
            row = rows.Row(key, is_recovered=True)
            self._recovering[key] = row
            self._start(self._run_recovery, row, order)
        return row

    def _find_elsewhere(self, ticket: tickets.Ticket) -> outcome.Silence | None:
        """Returns silence for a ticket whose home lives.

        It can't be reached from here, or the request would be there. It
        alone knows what became of the request; the caller's next copy gets
        there by another host, or finds it dead.
        """
        if self._mint.is_own(ticket.home):
            return None
        if self._view.find_ref(ticket.home) is None:
            return None
        self._counts.add("home_elsewhere_total")
        return outcome.Silence()

    def _start(self, run: _RunRow, row: rows.Row, order: orders.Order) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._contain, run, row, order)

    async def _contain(
        self, run: _RunRow, row: rows.Row, order: orders.Order
    ) -> None:
        """Runs a row; a fault of ours ends neither its copies nor the host."""
        try:
            with row.scope:
                await run(row, order)
        except Exception:
            logger.exception("A request of %s failed.", order.service)
            self._counts.add("home_faults_total")
        row.finish(_CANCELLED)

    async def _run_row(self, row: rows.Row, order: orders.Order) -> None:
        try:
            row.finish(await self._dispatcher.run(order))
        finally:
            row.finish(_CANCELLED)
            self._table.count_kept(row)

    async def _run_recovery(self, row: rows.Row, order: orders.Order) -> None:
        try:
            if self._settings.recovery:
                result = await self._recovery.ask_all(order)
                row.finish(_check_found(result, row.key))
            row.finish(_UNASKED)
        finally:
            del self._recovering[row.key]


def _check_found(result: work.Dispatched, key: rows.RowKey) -> work.Dispatched:
    """Returns what may be told to the caller.

    Guards against "not run" for a request that ran: a plain CoAP caller
    asks for later blocks under a new token, which no keeper knows.
    """
    if key.digest or result.outcome is not work.Outcome.NOT_RUN:
        return result
    return work.Dispatched(work.Outcome.UNKNOWN, reason="answer is gone")
