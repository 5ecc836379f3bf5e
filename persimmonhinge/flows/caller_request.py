"""A complete request of a caller that its home dispatches."""

from __future__ import annotations

import dataclasses

from persimmonhinge import ids
from persimmonhinge.contracts import contract
from persimmonhinge.flows import port
from persimmonhinge.flows import row
from persimmonhinge.flows import tickets


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request that is to run at an upstream.

    Attributes:
        flow: Flow that the request belongs to.
        method: Method of the request.
        path: Path of the request, with a leading `/`.
        message: Encoded CoAP message for the upstream.
        deadline: Time on trio's clock at which the caller gives up, seconds.
        call_class: Call class of the request when it arrived.
        token: CoAP token that the caller used.
        digest: Hash of the request.
        ticket: Ticket of the request; None if it is idempotent.
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
        """Service that the caller addressed."""
        return self.flow.service

    @property
    def required_ticket(self) -> tickets.Ticket:
        """Ticket of a request that may run only with one."""
        assert self.ticket is not None
        return self.ticket

    @property
    def row_key(self) -> row.RowKey:
        """Key of the request's row; the request must have a ticket."""
        ticket = self.required_ticket
        return self.make_row_key(ticket.home, ticket.ticket_id)

    def make_row_key(
        self, home: ids.HostRef, ticket: ids.TicketId
    ) -> row.RowKey:
        """Returns the row key of the request for a given ticket."""
        return row.RowKey(home, ticket, self.token, self.digest)

    def with_ticket(self, ticket: tickets.Ticket) -> CallerRequest:
        """Returns a copy of the request with a ticket."""
        return dataclasses.replace(self, ticket=ticket)
