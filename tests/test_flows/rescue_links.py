"""In-memory links between hosts that can delay or lose messages, or break."""

from __future__ import annotations

from collections.abc import Callable
import enum

from persimmonhinge import ids
from persimmonhinge.peers import calls
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import link

_LINK_LOST_CAUSE = "the link was lost"


class WireState(enum.Enum):
    """State of the delivery of messages from one host to another.

    UP: Messages arrive at once.
    HELD: Messages arrive once the wire is up again.
    SILENT: Messages are lost without an error on either side.
    """

    UP = "up"
    HELD = "held"
    SILENT = "silent"


class Wire:
    """Ordered one-way transport of messages from one host to another.

    Attributes:
        state: State of the delivery.
        octets: Number of octets of the messages sent.
    """

    def __init__(self) -> None:
        self.state = WireState.UP
        self.octets = 0
        self._waiting: list[Callable[[], object]] = []

    def send(self, deliver: Callable[[], object]) -> None:
        """Sends a message, whose callback is called when it arrives."""
        if self.state is WireState.UP:
            deliver()
        elif self.state is WireState.HELD:
            self._waiting.append(deliver)

    def release(self) -> None:
        """Sets the wire up and delivers the held messages."""
        self.state = WireState.UP
        waiting, self._waiting = self._waiting, []
        for arrive in waiting:
            arrive()


class CallSide(calls.ServedCall):
    """One side of a call between two hosts. Both sides use this class."""

    __slots__ = ("_other", "_wire")

    def __init__(self, host: ids.HostId, wire: Wire) -> None:
        super().__init__(host)
        self._wire = wire
        self._other: CallSide

    def connect(self, other: CallSide) -> None:
        """Connects two sides to one call."""
        self._other = other
        other._other = self

    async def push(self, message: base.Message) -> None:
        """Sends one more message to the other side."""
        if self.closed:
            raise self.make_error("push message")
        self._wire.send(lambda: self._other.deliver(message))

    async def finish(self, answer: base.Message | None) -> None:
        """Ends the call, with an answer if there is one."""
        if answer is not None:
            self._wire.send(lambda: self._other.deliver(answer))
        self._close_both("the handler ended the call")

    async def refuse(self, cause: link.RefusalCause, text: str) -> None:
        """Ends the call with a refusal."""
        self._close_both(f"{cause.value}: {text}")

    def close_by_caller(self) -> None:
        """Ends the call from the side that opened it."""
        self._close_both(calls.CLOSED_BY_CALLER)

    def break_link(self) -> None:
        """Ends the call as if its link broke, on both sides."""
        self._close_both(_LINK_LOST_CAUSE)

    def _close_both(self, cause: str) -> None:
        if self.closed:
            return
        self._wire.send(lambda: self._other.close(cause))
        self.close(cause)
