"""One piece of work that a home has dispatched for a caller."""

from __future__ import annotations

import dataclasses

from persimmonhinge import ids
from persimmonhinge.contracts import contract
from persimmonhinge.flows import port
from persimmonhinge.flows import row
from persimmonhinge.flows import tickets


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
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
    method: contract.Method
    path: str
    message: bytes
    deadline: float
    call_class: contract.CallClass
    token: bytes
    digest: bytes
    ticket: tickets.Ticket | None = None

    @property
    def service(self) -> ids.ServiceName:
        """The service that the caller addressed."""
        return self.flow.service

    @property
    def required_ticket(self) -> tickets.Ticket:
        """Its ticket, for work that runs only with one."""
        assert self.ticket is not None
        return self.ticket

    @property
    def row_key(self) -> row.RowKey:
        """What its row is known by; only work with a ticket has one."""
        ticket = self.required_ticket
        return self.make_row_key(ticket.home, ticket.ticket_id)

    def make_row_key(
        self, home: ids.HostRef, ticket: ids.TicketId
    ) -> row.RowKey:
        """Returns the key that it has under a ticket."""
        return row.RowKey(home, ticket, self.token, self.digest)

    def with_ticket(self, ticket: tickets.Ticket) -> CallerRequest:
        """Returns it with its ticket."""
        return dataclasses.replace(self, ticket=ticket)
