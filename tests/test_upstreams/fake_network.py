"""A peer network without links: calls go straight to handlers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Any

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.peers.messages import base


class _MessagesToKeeper:
    """Where the home's messages go in."""

    def __init__(self, channel: trio.MemorySendChannel[base.Message]) -> None:
        self.on_message: Callable[[], None] = lambda: None
        self._channel = channel

    async def send(self, message: base.Message) -> None:
        """Gives the keeper a message."""
        await self._channel.send(message)
        self.on_message()

    def close(self) -> None:
        """Ends the call."""
        self._channel.close()
        self.on_message()


class FakeCaller:
    """The handler's side of a call."""

    def __init__(self, host: ids.HostId) -> None:
        self.host = host
        self.closed = trio.Event()
        self.link_lost = False
        self.to_home, self.from_keeper = trio.open_memory_channel[base.Message](
            100
        )
        to_keeper, self._from_home = trio.open_memory_channel[base.Message](100)
        self.to_keeper = _MessagesToKeeper(to_keeper)

    @property
    def closed_by_caller(self) -> bool:
        """True unless the link was lost."""
        return self.closed.is_set() and not self.link_lost

    async def push(self, message: base.Message) -> None:
        """Gives a message to the home."""
        if self.closed.is_set():
            raise _make_link_lost_error()
        await self.to_home.send(message)

    async def wait_closed(self) -> None:
        """Returns once the home has gone."""
        await self.closed.wait()

    async def receive(self) -> base.Message:
        """Returns the next message of the home."""
        try:
            return await self._from_home.receive()
        except trio.EndOfChannel:
            raise _make_link_lost_error() from None

    def take(self) -> base.Message | None:
        """Returns a message of the home that waits."""
        try:
            return self._from_home.receive_nowait()
        except trio.WouldBlock:
            return None
        except trio.EndOfChannel:
            raise _make_link_lost_error() from None

    def watch(self, look: Callable[[], None]) -> None:
        """Has a function called at each message and at the end."""
        self.to_keeper.on_message = look

    def close(self, *, link_lost: bool = False) -> None:
        """Closes the call from the home's side."""
        self.link_lost = link_lost
        self.closed.set()
        self.to_keeper.close()


class FakeNetwork:
    """Implements `PeerNetwork` for one keeper under test.

    Attributes:
        sent: Messages that the keeper called other hosts with.
        replies: What other hosts answer, by message type.
    """

    def __init__(self, me: ids.HostId) -> None:
        self.sent: list[tuple[ids.HostId, base.Message]] = []
        self.replies: dict[type[base.Message], Any] = {}
        self._me = me
        self._handlers: dict[type[base.Message], Any] = {}

    def handle(self, message_type: Any, handler: Any) -> None:
        """Sets a handler."""
        self._handlers[message_type] = handler

    async def call_keeper(
        self, message: base.Message, home: str = "home"
    ) -> base.Message:
        """Calls the keeper as a home does, without a limit of time."""
        caller = FakeCaller(ids.HostId(home))
        try:
            answer = await self._handlers[type(message)](caller, message)
        finally:
            caller.close()
        assert answer is not None
        return answer

    @contextlib.asynccontextmanager
    async def open_call(
        self, message: base.Message, home: str = "home"
    ) -> AsyncIterator[FakeCaller]:
        """Opens a stream to the keeper; leaving closes it."""
        caller = FakeCaller(ids.HostId(home))
        async with trio.open_nursery() as nursery:
            handler = self._handlers[type(message)]
            nursery.start_soon(handler, caller, message)
            try:
                yield caller
            finally:
                caller.close(link_lost=caller.link_lost)

    async def call(
        self, host: ids.HostId, message: base.Message, timeout_s: float
    ) -> base.Message:
        """Records a call of the keeper and answers it."""
        self.sent.append((host, message))
        reply = self.replies.get(type(message))
        if reply is None:
            raise errors.PeerUnreachableError("no", step="call", peer=host)
        await trio.lowlevel.checkpoint()
        return reply(message) if callable(reply) else reply

    def send(self, host: ids.HostId, message: base.Message) -> bool:
        """Records a message of the keeper."""
        self.sent.append((host, message))
        return True

    def open(
        self, host: ids.HostId, message: base.Message, timeout_s: float
    ) -> Any:
        """Is not used by a keeper."""
        raise NotImplementedError


def _make_link_lost_error() -> errors.PeerLinkLostError:
    return errors.PeerLinkLostError("closed", step="receive", peer="home")
