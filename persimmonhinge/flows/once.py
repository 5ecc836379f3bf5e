"""Non-idempotent requests at their home: admitted, run once, remembered."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import logging

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.contracts import store as stores
from persimmonhinge.flows import dispatcher as dispatchers
from persimmonhinge.flows import order as orders
from persimmonhinge.flows import port
from persimmonhinge.flows import recovery as recoveries
from persimmonhinge.flows import replies
from persimmonhinge.flows import row as rows
from persimmonhinge.flows import table as tables
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


class Silence:
    """No answer: the caller's next copy finds a host that can answer."""


_RunRow = Callable[[rows.Row, orders.Order], Awaitable[None]]
# A row to wait for, an answer at once, or none.
Admission = rows.Row | codec.Message | Silence


class Once:
    """Runs non-idempotent requests at most once, and remembers them."""

    def __init__(
        self,
        settings: settings_entry.EntrySettings,
        view: views.View,
        mint: tickets.TicketMint,
        dispatcher: dispatchers.Dispatcher,
        recovery: recoveries.Recovery,
        chooser: port.Chooser,
        counts: host_counts.Counts,
    ) -> None:
        self._settings = settings.flows
        self._view = view
        self._mint = mint
        self._dispatcher = dispatcher
        self._recovery = recovery
        self._chooser = chooser
        self._counts = counts
        self._table = tables.RequestTable(settings.flows.most_flows)
        self._recovering: dict[rows.RowKey, rows.Row] = {}
        self._nursery: trio.Nursery | None = None
        self._leaving = False

    def leave(self) -> None:
        """Mints no more tickets and begins nothing new."""
        self._leaving = True

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
        self, order: orders.Order, entry: stores.ContractEntry, echo: bytes
    ) -> Admission:
        """Decides on a request with the ticket that it came with.

        Args:
            order: The request; its ticket is still missing.
            entry: The contract.
            echo: Its Echo option; empty without one.
        """
        if not echo:
            return self._ask_for_ticket(order.flow, entry, "none")
        try:
            ticket = self._mint.read(echo, order.flow)
        except tickets.RefusedTicketError as error:
            return self._refuse_ticket(order, entry, echo, error.fault)
        order = order.bind(ticket)
        assert order.key is not None
        row = self._table.find(order.key)
        if row is not None:
            return row
        if not self._mint.is_current(ticket.home):
            return self._recover(order)
        return self._begin(order, entry)

    def renew(self, flow: port.Flow, entry: stores.ContractEntry) -> bytes:
        """Returns a fresh ticket; empty if none can be minted."""
        if self._leaving:
            return b""
        keepers = self._pick_keepers(entry)
        if not keepers:
            return b""
        try:
            return self._mint.mint(flow, keepers)
        except errors.TicketError:
            return b""

    def _pick_keepers(
        self, entry: stores.ContractEntry
    ) -> tuple[ids.HostRef, ...]:
        """Returns keepers for a ticket, other hosts than this one first.

        Guards against one death that takes home and keeper at once: the
        outcome of what ran there would be unknown.
        """
        picked = self._chooser.pick_keepers(entry, tickets.MAX_KEEPERS + 1)
        me = self._view.self_member.ref
        others = [ref for ref in picked if ref != me]
        return tuple(others or picked)[: tickets.MAX_KEEPERS]

    def _ask_for_ticket(
        self, flow: port.Flow, entry: stores.ContractEntry, cause: str
    ) -> codec.Message:
        self._counts.add("tickets_asked_for_total", cause=cause)
        echo = self.renew(flow, entry)
        if not echo:
            return replies.refuse(_RETRY_AFTER_S, "no ticket can be minted")
        return replies.ask_for_ticket(echo, int(self._settings.ticket_life_s))

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
        home = tickets.peek_home(echo)
        if home is None or fault is tickets.TicketFault.OTHER_SERVICE:
            return self._ask_for_ticket(order.flow, entry, fault.value)
        ticket_id = tickets.peek_id(echo)
        key = order.make_key(home, ticket_id)
        if self._mint.is_own(home) and self._table.find(key) is None:
            return self._ask_for_ticket(order.flow, entry, fault.value)
        self._counts.add("tickets_unverified_total", cause=fault.value)
        echo = self.renew(order.flow, entry)
        return replies.report_unknown("ticket can't be checked", echo)

    def _begin(
        self, order: orders.Order, entry: stores.ContractEntry
    ) -> Admission:
        assert order.ticket is not None
        assert order.key is not None
        if not self._mint.begins(order.ticket):
            return self._ask_for_ticket(order.flow, entry, "expired")
        if self._leaving:
            # Never undone, so a late copy of it is refused as well.
            return replies.refuse(0, "host leaves")
        row = self._table.begin(order.key, order.flow, order.ticket.expiry_ms)
        if row is None:
            self._counts.add("home_refused_total", cause="table-full")
            self._mint.close_issued()
            echo = self.renew(order.flow, entry)
            return replies.refuse(_RETRY_AFTER_S, "host is full", echo)
        self._start(self._run_row, row, order)
        return row

    def _recover(self, order: orders.Order) -> Admission:
        assert order.ticket is not None
        assert order.key is not None
        home = order.ticket.home
        if not self._mint.is_own(home) and self._view.find_ref(home):
            # Its home lives but can't be reached from here. It alone knows;
            # the caller's next copy gets there by another host, or finds
            # it dead.
            self._counts.add("home_elsewhere_total")
            return Silence()
        row = self._recovering.get(order.key)
        if row is None:
            row = rows.Row(order.key, order.flow)
            self._recovering[order.key] = row
            self._start(self._run_recovery, row, order)
        return row

    def _start(self, run: _RunRow, row: rows.Row, order: orders.Order) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(run, row, order)

    async def _run_row(self, row: rows.Row, order: orders.Order) -> None:
        with row.scope:
            row.finish(await self._dispatcher.run(order))
        row.finish(_CANCELLED)
        self._table.count_kept(row)

    async def _run_recovery(self, row: rows.Row, order: orders.Order) -> None:
        assert order.ticket is not None
        try:
            if self._settings.recovery:
                row.finish(
                    await self._recovery.ask_all(
                        order.service, order.ticket, row.key
                    )
                )
            row.finish(_UNASKED)
        finally:
            del self._recovering[row.key]
