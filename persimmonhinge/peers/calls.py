"""One side of a call, as its caller and its handler hold it."""

from __future__ import annotations

import abc
from collections.abc import Callable

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import link as link_messages

# Cause of a call that the caller ended of its own accord.
CLOSED_BY_CALLER = "the caller closed the call"
# Messages of one call that may wait for a task which doesn't take them.
MOST_WAITING_MESSAGES = 1024


class CallEnd(abc.ABC):
    """One side of a call: a `Caller`, or a `PeerStream`.

    It holds no task, event or queue before it needs one: a keeper has one
    for each open feed.

    Attributes:
        host: Name of the host on the other side.
        closed: True once the link or the call is closed.
        refusal: Why the other side refused the call; None if it did not.
    """

    __slots__ = (
        "host",
        "closed",
        "refusal",
        "_cause",
        "_waiting",
        "_changed",
        "_look",
    )

    def __init__(self, host: ids.HostId) -> None:
        self.host = host
        self.closed = False
        self.refusal: link_messages.Refusal | None = None
        self._cause = ""
        self._waiting: list[base.Message] = []
        self._changed: trio.Event | None = None
        self._look: Callable[[], None] | None = None

    @property
    def closed_by_caller(self) -> bool:
        """True if the caller ended the call, False if the link was lost."""
        return self._cause == CLOSED_BY_CALLER

    @abc.abstractmethod
    async def push(self, message: base.Message) -> None:
        """Sends one more message on this call.

        Raises:
            PeerLinkLostError: The link or the call is closed.
        """

    def deliver(self, message: base.Message) -> bool:
        """Takes in a message of the other side.

        Returns:
            False if the call is closed or too many messages wait.
        """
        if self.closed or len(self._waiting) >= MOST_WAITING_MESSAGES:
            return False
        self._waiting.append(message)
        self._announce()
        return True

    def close(self, cause: str) -> None:
        """Marks the call as closed; messages that wait can still be taken."""
        if self.closed:
            return
        self.closed = True
        self._cause = cause
        self._announce()

    async def receive(self) -> base.Message:
        """Returns the next message of the other side.

        Raises:
            PeerLinkLostError: The link or the call is closed.
        """
        if self._waiting:
            # Else waiting lets other tasks run.
            await trio.lowlevel.checkpoint()
        while not self._waiting:
            if self.closed:
                raise self.make_error("receive message")
            await self._wait_change()
        return self._waiting.pop(0)

    def take(self) -> base.Message | None:
        """Returns a message that waits, None if none does; never waits.

        Raises:
            PeerLinkLostError: The link or the call is closed.
        """
        if self._waiting:
            return self._waiting.pop(0)
        if self.closed:
            raise self.make_error("take message")
        return None

    def watch(self, look: Callable[[], None]) -> None:
        """Has a function called at each message and at the end of the call."""
        self._look = look

    async def wait_closed(self) -> None:
        """Returns once the link or the call is closed."""
        while not self.closed:
            await self._wait_change()

    def make_error(self, step: str) -> errors.PeerLinkLostError:
        """Returns an error that names why the call was closed."""
        return errors.PeerLinkLostError(self._cause, step=step, peer=self.host)

    def _announce(self) -> None:
        if self._look is not None:
            self._look()
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    async def _wait_change(self) -> None:
        if self._changed is None:
            self._changed = trio.Event()
        await self._changed.wait()


class ServedCall(CallEnd):
    """The handler's side of a call."""

    __slots__ = ()

    @abc.abstractmethod
    async def finish(self, answer: base.Message | None) -> None:
        """Ends the call with an answer, or without one."""

    @abc.abstractmethod
    async def refuse(
        self, cause: link_messages.RefusalCause, text: str
    ) -> None:
        """Ends the call with a refusal."""
