"""One non-idempotent request as its home remembers it."""

from __future__ import annotations

import dataclasses

import trio

from persimmonhinge import ids
from persimmonhinge.peers.messages import work


@dataclasses.dataclass(frozen=True, slots=True)
class RowKey:
    """What makes two requests the same one.

    Attributes:
        home: The incarnation that minted the ticket.
        ticket: Number of the ticket.
        token: The caller's token.
        digest: Hash of the request.
    """

    home: ids.HostRef
    ticket: ids.TicketId
    token: bytes
    digest: bytes


@dataclasses.dataclass(slots=True, eq=False)
class Row:
    """A request that has begun.

    Attributes:
        key: What it is known by.
        result: What became of it; None while it runs.
        done: Set once the result is there.
        waiting: Exchanges that wait for it.
        scope: Cancels the work once nobody waits.
        is_recovered: True if the home is gone and keepers are asked.
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
        """Sets the result, once."""
        if self.result is None:
            self.result = result
            self.done.set()

    async def wait(self) -> work.Dispatched:
        """Returns the result once it is there.

        The last one that is cancelled while it waits cancels the work.
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
