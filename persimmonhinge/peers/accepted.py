"""The accepting end of a link: it serves calls and takes messages."""

from __future__ import annotations

import trio

from persimmonhinge import ids
from persimmonhinge.metrics import counts as metrics
from persimmonhinge.peers import calls
from persimmonhinge.peers import connection
from persimmonhinge.peers import frames
from persimmonhinge.peers import handlers as handler_tables
from persimmonhinge.peers import keepalive
from persimmonhinge.peers import outbox as outboxes
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import link as link_messages
from persimmonhinge.settings import entry as settings_entry

# Calls that one peer may have open; each may cost a task.
MOST_CALLS = 100_000
# The dialing side pings at the end of its rounds, which may lag behind.
_EXTRA_ROUNDS = 1


class RemoteCall(calls.ServedCall):
    """The handler's side of a call over a link.

    A handler is not cancelled when its caller leaves or the link closes: work
    that an upstream already runs has to be followed to its end, since its
    outcome decides whether a retry may run. It sees `closed` instead.
    """

    __slots__ = ("number", "_link")

    def __init__(
        self, host: ids.HostId, link: AcceptedConnection, number: int
    ) -> None:
        super().__init__(host)
        self.number = number
        self._link = link

    async def push(self, message: base.Message) -> None:
        """Sends one more message on this call."""
        await self._link.outbox.wait_space()
        if self.closed:
            raise self.make_error("push message")
        kind = frames.FrameKind.PUSH
        self._link.put(kind, self.number, message)

    async def finish(self, answer: base.Message | None) -> None:
        """Ends the call with an answer, or without one."""
        kind = frames.FrameKind.ANSWER
        if answer is None:
            kind = frames.FrameKind.CLOSE
        await self._end(kind, answer)

    async def refuse(
        self, cause: link_messages.RefusalCause, text: str
    ) -> None:
        """Ends the call with a refusal."""
        refusal = link_messages.Refusal(cause.value, text)
        await self._end(frames.FrameKind.REFUSE, refusal)

    async def _end(
        self, kind: frames.FrameKind, message: base.Message | None
    ) -> None:
        await self._link.outbox.wait_space()
        if self.closed:
            return
        self._link.put(kind, self.number, message)
        self._link.end_call(self)
        self.close("the handler ended the call")


class SentMessage(calls.ServedCall):
    """Stands for the sender of a message that was sent alone."""

    __slots__ = ()

    def __init__(self, host: ids.HostId) -> None:
        super().__init__(host)
        self.close("the message was sent alone")

    async def push(self, message: base.Message) -> None:
        """Raises: there is no call to push on."""
        raise self.make_error("push message")

    async def finish(self, answer: base.Message | None) -> None:
        """Drops the answer: nobody waits for it."""

    async def refuse(
        self, cause: link_messages.RefusalCause, text: str
    ) -> None:
        """Drops the refusal: nobody waits for it."""


class AcceptedConnection(connection.Connection):
    """The end of a link at the host that accepted it."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        reader: frames.FrameReader,
        hello: link_messages.Hello,
        handlers: handler_tables.HandlerTable,
        nursery: trio.Nursery,
        settings: settings_entry.PeerSettings,
        counts: metrics.Counts,
    ) -> None:
        keep_alive = keepalive.KeepAlive(settings, extra_rounds=_EXTRA_ROUNDS)
        outbox = outboxes.Outbox(counts)
        super().__init__(stream, reader, hello, outbox, keep_alive, counts)
        self._handlers = handlers
        self._nursery = nursery
        self._calls: dict[int, RemoteCall] = {}
        self._pong: outboxes.QueuedFrame | None = None

    def put(
        self, kind: frames.FrameKind, call: int, message: base.Message | None
    ) -> None:
        """Queues a frame."""
        self.outbox.put(self.writer.write(kind, call, message))

    def end_call(self, call: RemoteCall) -> None:
        """Forgets a call that its handler ended."""
        self._calls.pop(call.number, None)

    def _take(self, frame: frames.Frame) -> None:
        if frame.kind is frames.FrameKind.SEND:
            self._take_send(frame)
        elif frame.kind is frames.FrameKind.CALL:
            self._take_call(frame)
        elif frame.kind is frames.FrameKind.PUSH:
            self._take_push(frame)
        elif frame.kind is frames.FrameKind.CLOSE:
            self._take_close(frame)
        elif frame.kind is frames.FrameKind.PING:
            self._take_ping(frame)
        else:
            self._refuse_frame(frame)

    def _take_send(self, frame: frames.Frame) -> None:
        host = self.hello.host
        message = frames.read_message(frame, host)
        if message is None:
            self._counts.add("peer_pushes_unknown_total")
            return
        if not self._handlers.receive(host, message):
            sender = SentMessage(host)
            self._nursery.start_soon(self._handlers.run, sender, message)

    def _take_call(self, frame: frames.Frame) -> None:
        host = self.hello.host
        if frame.call in self._calls or frame.call == 0:
            raise self._make_state_error(f"call {frame.call} is open")
        message = frames.read_message(frame, host)
        if message is None:
            self._counts.add("peer_calls_unsupported_total")
            text = f"unknown message kind {frame.message_kind!r}"
            self._refuse(frame, link_messages.RefusalCause.UNSUPPORTED, text)
            return
        if len(self._calls) >= MOST_CALLS:
            cause = link_messages.RefusalCause.OVERLOADED
            self._refuse(frame, cause, "too many open calls")
            return
        call = RemoteCall(host, self, frame.call)
        self._calls[frame.call] = call
        self._nursery.start_soon(self._handlers.run, call, message)

    def _take_push(self, frame: frames.Frame) -> None:
        call = self._calls.get(frame.call)
        if call is None:
            # The handler ended the call, and the frame crossed its end.
            return
        message = frames.read_message(frame, call.host)
        if message is None:
            self._counts.add("peer_pushes_unknown_total")
        elif not call.deliver(message):
            # Waiting here would stop all other calls of the link.
            self._counts.add("peer_calls_overrun_total")
            self.end_call(call)
            call.close("its messages were not taken")
            cause = link_messages.RefusalCause.OVERLOADED
            self._refuse(frame, cause, "messages were not taken")

    def _take_close(self, frame: frames.Frame) -> None:
        call = self._calls.pop(frame.call, None)
        if call is not None:
            call.close(calls.CLOSED_BY_CALLER)

    def _take_ping(self, frame: frames.Frame) -> None:
        ping = frames.read_body(frame, link_messages.Ping, self.hello.host)
        self._keep_alive.follow(ping.round_ms / 1000)
        # One pong at a time: a flood of pings from a peer that reads nothing
        # would else fill the queue.
        waiting = outboxes.FrameState.WAITING
        if self._pong is None or self._pong.state is not waiting:
            data = self.writer.write(frames.FrameKind.PONG, 0)
            self._pong = self.outbox.put(data)

    def _refuse(
        self,
        frame: frames.Frame,
        cause: link_messages.RefusalCause,
        text: str,
    ) -> None:
        # A peer that reads no refusals gets none: they would fill the queue.
        if self.outbox.has_space:
            refusal = link_messages.Refusal(cause.value, text)
            self.put(frames.FrameKind.REFUSE, frame.call, refusal)

    def _close_calls(self, cause: str) -> None:
        for call in self._calls.values():
            call.close(cause)
        self._calls.clear()

    def _end_round(self, *, is_ping_due: bool) -> None:
        """Does nothing: the dialing side pings and closes idle links."""
