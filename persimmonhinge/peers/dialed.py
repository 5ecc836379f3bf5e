"""The dialing end of a link: it opens calls and sends messages."""

from __future__ import annotations

from collections.abc import Callable

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.metrics import counts as metrics
from persimmonhinge.peers import calls
from persimmonhinge.peers import connection
from persimmonhinge.peers import frames
from persimmonhinge.peers import keepalive
from persimmonhinge.peers import outbox as outboxes
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import link as link_messages
from persimmonhinge.settings import entry as settings_entry


class OpenedCall(calls.CallEnd):
    """The caller's side of a call over a link.

    Attributes:
        number: Its number on the link.
        frame: The frame that opens it.
    """

    __slots__ = ("number", "frame", "_link")

    def __init__(
        self,
        host: ids.HostId,
        link: DialedConnection,
        number: int,
        frame: outboxes.QueuedFrame,
    ) -> None:
        super().__init__(host)
        self.number = number
        self.frame = frame
        self._link = link

    @property
    def was_sent(self) -> bool:
        """True if the message may have arrived."""
        return self.frame.state is outboxes.FrameState.TAKEN

    async def push(self, message: base.Message) -> None:
        """Sends one more message on this call."""
        await self._link.outbox.wait_space()
        if self.closed:
            raise self.make_error("push message")
        kind = frames.FrameKind.PUSH
        self._link.outbox.put(
            self._link.writer.write(kind, self.number, message)
        )

    def leave(self) -> None:
        """Ends the call; the handler learns it if it knows of the call."""
        if not self.closed:
            self.close(calls.CLOSED_BY_CALLER)
            self._link.end_call(self)


class DialedConnection(connection.Connection):
    """The end of a link at the host that dialed it."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        reader: frames.FrameReader,
        hello: link_messages.Hello,
        outbox: outboxes.Outbox,
        settings: settings_entry.PeerSettings,
        counts: metrics.Counts,
        count_links: Callable[[], int],
    ) -> None:
        keep_alive = keepalive.KeepAlive(settings, count_links=count_links)
        super().__init__(stream, reader, hello, outbox, keep_alive, counts)
        self._calls: dict[int, OpenedCall] = {}
        self._last_number = 0

    async def open_call(self, message: base.Message) -> OpenedCall:
        """Opens a call; its first frame may still wait to be written.

        Raises:
            PeerUnreachableError: The link is closed.
        """
        await self.outbox.wait_space()
        if self.closed:
            raise errors.PeerUnreachableError(
                "the link closed", step="open call", peer=self.hello.host
            )
        number = self._last_number + 1
        data = self.writer.write(frames.FrameKind.CALL, number, message)
        self._last_number = number
        frame = self.outbox.put(data)
        call = OpenedCall(self.hello.host, self, number, frame)
        self._calls[number] = call
        self.note_use()
        return call

    def note_use(self) -> None:
        """Keeps the link from counting as idle."""
        self._keep_alive.used = True

    def end_call(self, call: OpenedCall) -> None:
        """Forgets a call that its caller left."""
        self._calls.pop(call.number, None)
        if not call.was_sent:
            self.outbox.withdraw(call.frame)
            return
        kind = frames.FrameKind.CLOSE
        self.outbox.put(self.writer.write(kind, call.number))

    def _take(self, frame: frames.Frame) -> None:
        if frame.kind is frames.FrameKind.PONG:
            return
        if frame.kind not in _TAKEN_KINDS:
            self._refuse_frame(frame)
            return
        call = self._calls.get(frame.call)
        if call is None:
            # The caller left, and the frame crossed its close.
            return
        if frame.kind is frames.FrameKind.PUSH:
            self._take_push(call, frame)
            return
        # It stays in the table while the frame is read: a malformed one
        # closes the link, and with it all calls of the table.
        self._take_end(call, frame)
        del self._calls[frame.call]

    def _take_push(self, call: OpenedCall, frame: frames.Frame) -> None:
        message = frames.read_message(frame, call.host)
        if message is None:
            self._counts.add("peer_pushes_unknown_total")
        elif not call.deliver(message):
            # Waiting here would stop all other calls of the link.
            self._counts.add("peer_calls_overrun_total")
            call.close("its messages were not taken")
            self.end_call(call)

    def _take_end(self, call: OpenedCall, frame: frames.Frame) -> None:
        if frame.kind is frames.FrameKind.CLOSE:
            call.close("the other side ended the call without an answer")
            return
        if frame.kind is frames.FrameKind.REFUSE:
            refusal = frames.read_body(frame, link_messages.Refusal, call.host)
            call.refusal = refusal
            call.close(f"{refusal.cause}: {refusal.text}")
            return
        message = frames.read_message(frame, call.host)
        if message is None:
            cause = link_messages.RefusalCause.UNSUPPORTED.value
            text = f"answer of unknown kind {frame.message_kind!r}"
            call.refusal = link_messages.Refusal(cause, text)
        else:
            call.deliver(message)
        call.close("the call was answered")

    def _close_calls(self, cause: str) -> None:
        for call in self._calls.values():
            call.close(cause)
        self._calls.clear()

    def _end_round(self, *, is_ping_due: bool) -> None:
        if self._keep_alive.is_idle and self._is_unused():
            self.close(connection.EndCause.IDLE, "it was not used")
        elif is_ping_due and self.outbox.is_empty:
            ping = link_messages.Ping(int(self._keep_alive.round_s * 1000))
            kind = frames.FrameKind.PING
            self.outbox.put(self.writer.write(kind, 0, ping))

    def _is_unused(self) -> bool:
        return not self._calls and self.outbox.is_empty


_TAKEN_KINDS = (
    frames.FrameKind.ANSWER,
    frames.FrameKind.PUSH,
    frames.FrameKind.CLOSE,
    frames.FrameKind.REFUSE,
)
