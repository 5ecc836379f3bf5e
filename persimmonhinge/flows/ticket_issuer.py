"""Gives tickets to callers, with answers and with requests for one."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.contracts import store as stores
from persimmonhinge.flows import port
from persimmonhinge.flows import replies
from persimmonhinge.flows import tickets
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.settings import entry as settings_entry

_RETRY_AFTER_S = 1


class TicketIssuer:
    """Mints tickets with the keepers of the moment.

    Attributes:
        leaving: Set once this host mints no more.
    """

    def __init__(
        self,
        settings: settings_entry.EntrySettings,
        view: views.View,
        mint: tickets.TicketMint,
        chooser: port.Chooser,
        counts: host_counts.Counts,
    ) -> None:
        self.leaving = False
        self._life_s = int(settings.flows.ticket_life_s)
        self._view = view
        self._mint = mint
        self._chooser = chooser
        self._counts = counts

    def renew(self, flow: port.Flow, entry: stores.ContractEntry) -> bytes:
        """Returns a fresh ticket; empty if none can be minted."""
        if self.leaving:
            return b""
        keepers = self._pick_keepers(entry)
        if not keepers:
            return b""
        try:
            return self._mint.mint(flow, keepers)
        except errors.TicketError:
            return b""

    def ask(
        self, flow: port.Flow, entry: stores.ContractEntry, cause: str
    ) -> codec.Message:
        """Answers that a ticket is needed; nothing ran."""
        self._counts.add("tickets_asked_for_total", cause=cause)
        echo = self.renew(flow, entry)
        if not echo:
            return replies.make_unavailable(
                _RETRY_AFTER_S, "no ticket can be minted"
            )
        return replies.make_ticket_required(echo, self._life_s)

    def report_unverified(
        self,
        flow: port.Flow,
        entry: stores.ContractEntry,
        fault: tickets.TicketFault,
    ) -> codec.Message:
        """Answers a ticket that can't be checked; it may have run before."""
        self._counts.add("tickets_unverified_total", cause=fault.value)
        echo = self.renew(flow, entry)
        return replies.make_outcome_unknown("ticket can't be checked", echo)

    def _pick_keepers(
        self, entry: stores.ContractEntry
    ) -> tuple[ids.HostRef, ...]:
        """Returns keepers for a ticket, other hosts than this one first.

        Guards against one death that takes home and keeper at once: the
        outcome of what ran there would be unknown.
        """
        picked = self._chooser.pick_keepers(entry, tickets.MAX_KEEPERS)
        me = self._view.self_member.ref
        others = [ref for ref in picked if ref != me]
        return tuple(others or picked)[: tickets.MAX_KEEPERS]
