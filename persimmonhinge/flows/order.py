"""One piece of work that a home has dispatched for a caller."""

from __future__ import annotations

import dataclasses

from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.flows import port
from persimmonhinge.flows import row as rows
from persimmonhinge.flows import tickets


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A whole request on its way to an upstream.

    Attributes:
        flow: Whose it is.
        method: Its method.
        path: Its path, `/` first.
        request: CoAP message for the upstream.
        deadline: When the caller gives up, on trio's clock.
        call_class: The class it had when it came.
        token: The caller's token.
        digest: Hash of the request.
        ticket: Its ticket; None for idempotent work.
    """

    flow: port.Flow
    method: contracts.Method
    path: str
    request: bytes
    deadline: float
    call_class: contracts.CallClass
    token: bytes
    digest: bytes
    ticket: tickets.Ticket | None = None

    @property
    def service(self) -> ids.ServiceName:
        """The service that the caller addressed."""
        return self.flow.service

    @property
    def held_ticket(self) -> tickets.Ticket:
        """Its ticket, for work that runs only with one."""
        assert self.ticket is not None
        return self.ticket

    @property
    def key(self) -> rows.RowKey:
        """What its row is known by; only work with a ticket has one."""
        ticket = self.held_ticket
        return self.make_key(ticket.home, ticket.ticket_id)

    def make_key(self, home: ids.HostRef, ticket: ids.TicketId) -> rows.RowKey:
        """Returns the key that it has under a ticket."""
        return rows.RowKey(home, ticket, self.token, self.digest)

    def bind(self, ticket: tickets.Ticket) -> Order:
        """Returns it with its ticket."""
        return dataclasses.replace(self, ticket=ticket)
