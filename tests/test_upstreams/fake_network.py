"""A peer network without links that calls the message handlers directly."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Any

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.peers.messages import base


class _HomeMessageSender:
    """Sends further messages of the home on an open call to the keeper."""

    def __init__(self, channel: trio.MemorySendChannel[base.Message]) -> None:
        self.on_message: Callable[[], None] = lambda: None
        self._channel = channel

    async def send(self, message: base.Message) -> None:
        """Sends a message to the keeper."""
        await self._channel.send(message)
        self.on_message()

    def close(self) -> None:
        """Closes the home's side of the call."""
        self._channel.close()
        self.on_message()


class FakeCaller:
    """A call as the keeper's handler sees it; implements `Caller`.

    Attributes:
        host: Name of the home.
        closed: Set when the call is closed.
        link_lost: True if the call ends because the link was lost.
        to_home: Send end of the keeper's messages to the home.
        from_keeper: Receive end of the keeper's messages to the home.
        to_keeper: Sends the home's messages to the keeper.
    """

    def __init__(self, host: ids.HostId) -> None:
        self.host = host
        self.closed = trio.Event()
        self.link_lost = False
        self.to_home, self.from_keeper = trio.open_memory_channel[base.Message](
            100
        )
        to_keeper, self._from_home = trio.open_memory_channel[base.Message](100)
        self.to_keeper = _HomeMessageSender(to_keeper)

    @property
    def closed_by_caller(self) -> bool:
        """True if the home closed the call, False if the link was lost."""
        return self.closed.is_set() and not self.link_lost

    async def push(self, message: base.Message) -> None:
        """Sends a message to the home."""
        if self.closed.is_set():
            raise _make_link_lost_error()
        await self.to_home.send(message)

    async def wait_closed(self) -> None:
        """Waits until the call is closed."""
        await self.closed.wait()

    async def receive(self) -> base.Message:
        """Waits for the next message of the home and returns it."""
        try:
            return await self._from_home.receive()
        except trio.EndOfChannel:
            raise _make_link_lost_error() from None

    def take(self) -> base.Message | None:
        """Returns a message received from the home, None if there is none."""
        try:
            return self._from_home.receive_nowait()
        except trio.WouldBlock:
            return None
        except trio.EndOfChannel:
            raise _make_link_lost_error() from None

    def watch(self, look: Callable[[], None]) -> None:
        """Sets the function to call on each message and on closing."""
        self.to_keeper.on_message = look

    def close(self, *, link_lost: bool = False) -> None:
        """Closes the call, either by the home or because its link is lost."""
        self.link_lost = link_lost
        self.closed.set()
        self.to_keeper.close()


class FakeNetwork:
    """Implements `PeerNetwork` for one keeper under test.

    Attributes:
        sent: Messages that the keeper sent, each with the receiving host.
        replies: Answers of other hosts by message type: a message, or a
            function that makes it from the keeper's message.
    """

    def __init__(self, me: ids.HostId) -> None:
        self.sent: list[tuple[ids.HostId, base.Message]] = []
        self.replies: dict[type[base.Message], Any] = {}
        self._me = me
        self._handlers: dict[type[base.Message], Any] = {}

    def handle(self, message_type: Any, handler: Any) -> None:
        """Registers the handler of a message type."""
        self._handlers[message_type] = handler

    async def call_keeper(
        self, message: base.Message, home: str = "home"
    ) -> base.Message:
        """Calls the keeper's handler like a home, without a timeout."""
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
        """Opens a call to the keeper and closes it on exit."""
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
        """Records a call of the keeper and returns the configured reply.

        Raises:
            PeerUnreachableError: No reply is configured for the message type.
        """
        self.sent.append((host, message))
        reply = self.replies.get(type(message))
        if reply is None:
            raise errors.PeerUnreachableError(
                "no reply is configured for the message type",
                step="call",
                peer=host,
            )
        await trio.lowlevel.checkpoint()
        return reply(message) if callable(reply) else reply

    def send(self, host: ids.HostId, message: base.Message) -> bool:
        """Records a one-way message of the keeper."""
        self.sent.append((host, message))
        return True

    def open(
        self, host: ids.HostId, message: base.Message, timeout_s: float
    ) -> Any:
        """Raises an error, since a keeper opens no streams."""
        raise NotImplementedError


def _make_link_lost_error() -> errors.PeerLinkLostError:
    return errors.PeerLinkLostError(
        "call is closed", step="receive", peer="home"
    )
