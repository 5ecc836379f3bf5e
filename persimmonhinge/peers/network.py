"""What the parts of a host may ask of the streams to its peers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Protocol
from typing import TypeVar

from persimmonhinge import ids
from persimmonhinge.peers.messages import base

M = TypeVar("M", bound=base.Message)


class Caller(Protocol):
    """The side of a link that sent a message, as a handler sees it.

    Attributes:
        host: Name of the host that sent it.
        closed: Set once the link or the call is closed.
    """

    host: ids.HostId

    @property
    def closed_by_caller(self) -> bool:
        """True if the caller ended the call, False if the link was lost."""

    async def push(self, message: base.Message) -> None:
        """Sends one more message on the stream of this call.

        Raises:
            PeerLinkLostError: The link or the call is closed.
        """

    async def wait_closed(self) -> None:
        """Returns once the link or the call is closed."""

    async def receive(self) -> base.Message:
        """Returns the next message that the other side sent on this call.

        Raises:
            PeerLinkLostError: The link or the call is closed.
        """

    def take(self) -> base.Message | None:
        """Returns a message that waits, None if none does; never waits.

        Raises:
            PeerLinkLostError: The link or the call is closed.
        """

    def watch(self, look: Callable[[], None]) -> None:
        """Has a function called at each message and at the end of the call.

        It goes before a task of its own that waits in `receive`, where there
        is one for each request. It must not wait; the last one counts.
        """


Handler = Callable[[Caller, M], Awaitable[base.Message | None]]


class PeerStream(Protocol):
    """One open call with any number of messages both ways."""

    async def receive(self) -> base.Message:
        """Returns the next message that the other side pushed.

        Raises:
            PeerLinkLostError: The link or the call is closed.
        """

    async def push(self, message: base.Message) -> None:
        """Sends one more message on this call.

        Raises:
            PeerLinkLostError: The link or the call is closed.
        """


class PeerNetwork(Protocol):
    """Calls to other hosts, and to this one without a link."""

    def handle(self, message_type: type[M], handler: Handler[M]) -> None:
        """Sets the handler of a message kind; each call gets its own task.

        What the handler returns is the answer; None ends the call without
        one. A handler is not cancelled when its caller leaves: it sees
        `Caller.wait_closed` return. If it raises, its call fails.
        """

    async def call(
        self, host: ids.HostId, message: base.Message, timeout_s: float
    ) -> base.Message:
        """Sends a message and returns its one answer.

        A cancelled call closes the call at the other side (its
        `wait_closed` returns there).

        Raises:
            PeerUnreachableError: No link; it surely did not arrive.
            PeerLinkLostError: The link closed meanwhile; it may have.
            PeerCallTimeoutError: No answer in time; it may have.
            PeerError: The other side refused it, or its handler raised.
        """

    def send(self, host: ids.HostId, message: base.Message) -> bool:
        """Queues a message without an answer, at once and without waiting.

        Opens the link when there is none. Messages to a host are dropped
        oldest first when its queue is full.

        Returns:
            False if the host is unknown or its last link attempt failed and
            the back-off still runs: the caller may take another host.
        """

    def open(
        self, host: ids.HostId, message: base.Message, timeout_s: float
    ) -> contextlib.AbstractAsyncContextManager[PeerStream]:
        """Opens a stream that begins with a message; leaving closes it.

        Raises:
            PeerUnreachableError: No link.
            PeerGaveUpError: No link, as the host has given up this one.
        """


class Datagrams(Protocol):
    """A datagram port, narrow enough that a small fake can stand for it."""

    async def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends one datagram."""

    def __aiter__(self) -> AsyncIterator[tuple[bytes, tuple[str, int]]]:
        """Returns the datagrams that arrive, each with its source."""
