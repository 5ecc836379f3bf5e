"""The state of a non-idempotent request at its home."""

from __future__ import annotations

import dataclasses

import trio

from persimmonhinge import ids
from persimmonhinge.peers.messages import work


@dataclasses.dataclass(frozen=True, slots=True)
class RowKey:
    """Identity of a request, equal for all copies and retries of it.

    Attributes:
        home: Host incarnation that minted the ticket.
        ticket: Id of the ticket.
        token: CoAP token that the caller used.
        digest: Hash of the request.
    """

    home: ids.HostRef
    ticket: ids.TicketId
    token: bytes
    digest: bytes


@dataclasses.dataclass(slots=True, eq=False)
class Row:
    """A request that runs or has run.

    Attributes:
        key: Identity of the request.
        result: Result of the request; None until it is available.
        done: Event that is set when the result is available.
        waiter_count: Number of exchanges that wait for the result.
        cancel_scope: Cancels the request when no exchange waits for it.
        is_recovered: True if the ticket's home has ended and the keepers are
            queried for the result.
    """

    key: RowKey
    result: work.Dispatched | None = None
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    waiter_count: int = 0
    cancel_scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    is_recovered: bool = False

    def finish(self, result: work.Dispatched) -> None:
        """Sets the result; has no effect if there is one already."""
        if self.result is None:
            self.result = result
            self.done.set()

    async def wait(self) -> work.Dispatched:
        """Waits for the result and returns it.

        The request is cancelled when the last task that waits for its result
        is cancelled.
        """
        self.waiter_count += 1
        try:
            await self.done.wait()
        finally:
            self.waiter_count -= 1
            if self.waiter_count == 0 and self.result is None:
                self.cancel_scope.cancel()
        assert self.result is not None
        return self.result
