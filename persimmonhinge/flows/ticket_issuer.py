"""Issues tickets to callers, in replies to their requests."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.contracts import store
from persimmonhinge.flows import port
from persimmonhinge.flows import replies
from persimmonhinge.flows import tickets
from persimmonhinge.membership import view as view_module
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.settings import entry as entry_module

_RETRY_AFTER_S = 1


class TicketIssuer:
    """Issues tickets that name keepers that can be reached now.

    Attributes:
        leaving: True if this host is leaving and issues no more tickets.
    """

    def __init__(
        self,
        settings: entry_module.EntrySettings,
        view: view_module.View,
        mint: tickets.TicketMint,
        chooser: port.Chooser,
        counts: counts_module.Counts,
    ) -> None:
        self.leaving = False
        self._ticket_life_s = int(settings.flows.ticket_life_s)
        self._view = view
        self._mint = mint
        self._chooser = chooser
        self._counts = counts

    def issue_ticket(
        self, flow: port.Flow, entry: store.ContractEntry
    ) -> bytes:
        """Returns a new ticket, or empty octets if none can be issued."""
        if self.leaving:
            return b""
        keepers = self._pick_keepers(entry)
        if not keepers:
            return b""
        try:
            return self._mint.mint(flow, keepers)
        except errors.TicketError:
            return b""

    def make_ticket_required_reply(
        self, flow: port.Flow, entry: store.ContractEntry, cause: str
    ) -> codec.Message:
        """Returns the reply to a request that hasn't run and needs a ticket."""
        self._counts.add("tickets_asked_for_total", cause=cause)
        echo = self.issue_ticket(flow, entry)
        if not echo:
            return replies.make_unavailable(
                _RETRY_AFTER_S, "no ticket can be minted"
            )
        return replies.make_ticket_required(echo, self._ticket_life_s)

    def make_unverified_reply(
        self,
        flow: port.Flow,
        entry: store.ContractEntry,
        fault: tickets.TicketFault,
    ) -> codec.Message:
        """Returns the reply to a request whose ticket can't be verified.

        The outcome is unknown: an earlier copy of the request may have run.
        """
        self._counts.add("tickets_unverified_total", cause=fault.value)
        echo = self.issue_ticket(flow, entry)
        return replies.make_outcome_unknown("ticket can't be checked", echo)

    def _pick_keepers(
        self, entry: store.ContractEntry
    ) -> tuple[ids.HostRef, ...]:
        """Returns keepers for a ticket, this host only if there is no other.

        If home and keeper were the same host, its failure would make the
        outcome of the requests that ran there unknown.
        """
        picked = self._chooser.pick_keepers(entry, tickets.MAX_KEEPERS)
        me = self._view.self_member.ref
        others = [ref for ref in picked if ref != me]
        return tuple(others or picked)[: tickets.MAX_KEEPERS]
