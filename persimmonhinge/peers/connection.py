"""What both ends of a link share: reading, writing, keep-alive."""

from __future__ import annotations

import abc
import enum
import logging

import trio

from persimmonhinge.metrics import counts as metrics
from persimmonhinge.peers import frames
from persimmonhinge.peers import keepalive
from persimmonhinge.peers import outbox as outboxes
from persimmonhinge.peers.messages import link as link_messages

logger = logging.getLogger(__name__)

_READ_OCTETS = 65_536
# Limit for the last words on a link that is closed in good order, seconds.
_CLOSE_LIMIT_S = 1.0


class EndCause(enum.Enum):
    """Why a connection ended.

    CLOSED: The other side closed it.
    BROKEN: The socket failed.
    SILENT: No octet came for too long.
    MALFORMED: The other side sent what is not a frame.
    VIEW: The host died or was replaced.
    IDLE: It was not used.
    STOPPED: This host stops.
    """

    CLOSED = "closed"
    BROKEN = "broken"
    SILENT = "silent"
    MALFORMED = "malformed"
    VIEW = "view"
    IDLE = "idle"
    STOPPED = "stopped"


_KEEP_ALIVE_KINDS = (frames.FrameKind.PING, frames.FrameKind.PONG)
_ORDERLY = (EndCause.IDLE, EndCause.STOPPED, EndCause.CLOSED)


class Connection(abc.ABC):
    """One end of a link, after both sides said hello.

    One task reads and one writes; the writing task joins all frames that
    wait into one write.

    Attributes:
        hello: What the other side said of itself.
        outbox: Frames that wait to be written.
        closed: True once it is closed; no frame is added then.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        reader: frames.FrameReader,
        hello: link_messages.Hello,
        outbox: outboxes.Outbox,
        keep_alive: keepalive.KeepAlive,
        counts: metrics.Counts,
    ) -> None:
        self.hello = hello
        self.outbox = outbox
        self.closed = False
        self.writer = frames.FrameWriter()
        self._stream = stream
        self._reader = reader
        self._keep_alive = keep_alive
        self._counts = counts
        self._scope = trio.CancelScope()
        self._cause = EndCause.STOPPED
        self._is_writing = False

    async def run(self) -> None:
        """Serves the link until it ends."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._read)
                    nursery.start_soon(self._write)
                    nursery.start_soon(self._watch)
        finally:
            self.close(EndCause.STOPPED, "this host stops")
            await self._close_stream()

    def close(self, cause: EndCause, text: str) -> None:
        """Closes the link and all calls on it, at once."""
        if self.closed:
            return
        self.closed = True
        self._cause = cause
        self._counts.add("peer_links_closed_total", cause=cause.value)
        level = logging.DEBUG if cause in _ORDERLY else logging.WARNING
        logger.log(level, "Link with %s closed: %s.", self.hello.host, text)
        self.outbox.drop_frames()
        self._close_calls(f"link closed: {text}")
        self._scope.cancel()

    async def flush(self) -> None:
        """Returns once all frames of calls went to the socket."""
        while not self.closed and (self._is_writing or self.outbox.has_frames):
            await trio.sleep(self._keep_alive.round_s / 100)

    @abc.abstractmethod
    def _take(self, frame: frames.Frame) -> None:
        """Acts on a frame, at once; called in the reading task.

        Raises:
            PeerProtocolError: The frame can't be read or may not come here.
        """

    @abc.abstractmethod
    def _close_calls(self, cause: str) -> None:
        """Closes all calls of this link."""

    @abc.abstractmethod
    def _end_round(self, *, is_ping_due: bool) -> None:
        """Acts at the end of each keep-alive round."""

    async def _read(self) -> None:
        try:
            await self._read_frames()
        except frames.MalformedFrameError as error:
            cause = error.cause.value
            self._counts.add("peer_frames_malformed_total", cause=cause)
            self.close(EndCause.MALFORMED, str(error))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self.close(EndCause.BROKEN, f"receiving failed: {error}")

    async def _read_frames(self) -> None:
        while True:
            data = await self._stream.receive_some(_READ_OCTETS)
            if not data:
                self.close(EndCause.CLOSED, "the other side closed it")
                return
            self._keep_alive.received = True
            for frame in self._reader.read(bytes(data)):
                self._note_use(frame)
                self._take(frame)

    async def _write(self) -> None:
        try:
            while True:
                await self.outbox.wait_filled()
                if self.closed:
                    # Messages sent alone wait for the next link; taken now
                    # they would be lost.
                    return
                self._is_writing = True
                data = self.outbox.take(self.writer)
                await self._stream.send_all(data)
                self._counts.add("peer_octets_sent_total", len(data))
                self._is_writing = False
                self._keep_alive.sent = True
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self.close(EndCause.BROKEN, f"sending failed: {error}")

    async def _watch(self) -> None:
        """Finds a link on which packets vanish without an error.

        A middle box that lost track of a connection drops its packets; TCP
        itself notices after minutes. The dialing side pings, so that each
        side hears from the other within two rounds as long as octets pass,
        and a link where neither does for three or more is closed.
        """
        while True:
            await trio.sleep(self._keep_alive.round_s)
            is_ping_due = self._keep_alive.end_round()
            if self._keep_alive.is_silent:
                self.close(EndCause.SILENT, "no sign of life")
                return
            self._end_round(is_ping_due=is_ping_due)

    def _note_use(self, frame: frames.Frame) -> None:
        if frame.kind not in _KEEP_ALIVE_KINDS:
            self._keep_alive.used = True

    def _refuse_frame(self, frame: frames.Frame) -> None:
        if frame.kind is None:
            # A newer version may have kinds that an older one can ignore.
            self._counts.add("peer_frames_unknown_total")
            return
        text = f"frame {frame.kind.name} may not come here"
        raise self._make_state_error(text)

    def _make_state_error(self, text: str) -> frames.MalformedFrameError:
        return frames.MalformedFrameError(
            frames.MalformedCause.STATE,
            text,
            step="read frame",
            peer=self.hello.host,
        )

    async def _close_stream(self) -> None:
        if self._cause not in _ORDERLY:
            await trio.aclose_forcefully(self._stream)
            return
        with trio.move_on_after(_CLOSE_LIMIT_S, shield=True):
            try:
                await self._stream.aclose()
            except trio.BrokenResourceError:
                # The other side was faster; the socket is closed all the same.
                pass
