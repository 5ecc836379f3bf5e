"""Calls of a host to itself, without a link and without serialization."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.peers import calls
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import link as link_messages


class LocalCall(calls.ServedCall):
    """One side of a call within this host; both sides are of this class."""

    __slots__ = ("_other",)

    def __init__(self, host: ids.HostId) -> None:
        super().__init__(host)
        self._other: LocalCall | None = None

    def connect(self, other: LocalCall) -> None:
        """Makes two sides one call."""
        self._other = other
        other._other = self

    async def push(self, message: base.Message) -> None:
        """Gives one more message to the other side."""
        if self.closed or self._other is None:
            raise self.make_error("push message")
        if not self._other.deliver(message):
            self.close_both("the other side takes no messages")
            raise self.make_error("push message")

    async def finish(self, answer: base.Message | None) -> None:
        """Ends the call with an answer, or without one."""
        if answer is not None and self._other is not None:
            self._other.deliver(answer)
        self.close_both("the handler ended the call")

    async def refuse(
        self, cause: link_messages.RefusalCause, text: str
    ) -> None:
        """Ends the call with a refusal."""
        if self._other is not None:
            self._other.refusal = link_messages.Refusal(cause.value, text)
        self.close_both(f"{cause.value}: {text}")

    def close_both(self, cause: str) -> None:
        """Closes the call for both sides."""
        self.close(cause)
        if self._other is not None:
            self._other.close(cause)


def make_call(me: ids.HostId) -> tuple[LocalCall, LocalCall]:
    """Returns the caller's and the handler's side of a new call."""
    caller_side = LocalCall(me)
    handler_side = LocalCall(me)
    caller_side.connect(handler_side)
    return caller_side, handler_side
