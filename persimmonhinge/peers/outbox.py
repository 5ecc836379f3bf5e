"""Frames that wait to be written to a link."""

from __future__ import annotations

import collections
import enum
import logging

import trio

from persimmonhinge import errors
from persimmonhinge.metrics import counts as metrics
from persimmonhinge.peers import frames
from persimmonhinge.peers.messages import base

logger = logging.getLogger(__name__)

# Most octets joined in one write. Larger writes gain nothing and take frames
# out of the queue, where the oldest could still be dropped.
BATCH_OCTETS = 65_536
# Octets of calls and answers that may wait before writers of more must wait.
MOST_WAITING_OCTETS = 4 * 1024 * 1024


class FrameState(enum.Enum):
    """What became of a queued frame.

    WAITING: It stands in the queue.
    TAKEN: It went to the socket; it may have arrived.
    DROPPED: It never will be written.
    """

    WAITING = "waiting"
    TAKEN = "taken"
    DROPPED = "dropped"


class QueuedFrame:
    """One frame of a call in the queue.

    Attributes:
        data: The frame.
        state: What became of it.
    """

    __slots__ = ("data", "state", "_settled")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.state = FrameState.WAITING
        self._settled: trio.Event | None = None

    def settle(self, state: FrameState) -> None:
        """Takes the frame out of the queue, once."""
        if self.state is not FrameState.WAITING:
            return
        self.state = state
        self.data = b""
        if self._settled is not None:
            self._settled.set()

    async def wait_settled(self) -> None:
        """Returns once the frame is taken or dropped."""
        if self.state is not FrameState.WAITING:
            return
        if self._settled is None:
            self._settled = trio.Event()
        await self._settled.wait()


class Outbox:
    """The queue of one link: frames of calls, and messages sent alone.

    Frames of calls are never dropped; who adds them waits for space. Messages
    sent alone are dropped oldest first above a number.
    """

    def __init__(
        self,
        counts: metrics.Counts,
        *,
        most_sends: int = 0,
        batch_octets: int = BATCH_OCTETS,
    ) -> None:
        self._counts = counts
        self._most_sends = most_sends
        self._batch_octets = batch_octets
        self._frames: collections.deque[QueuedFrame] = collections.deque()
        self._octets = 0
        self._sends: collections.deque[base.Message] = collections.deque()
        self._filled: trio.Event | None = None
        self._emptied: trio.Event | None = None

    @property
    def is_empty(self) -> bool:
        """True if nothing waits."""
        return not self._frames and not self._sends

    @property
    def has_frames(self) -> bool:
        """True if frames of calls wait."""
        return bool(self._frames)

    @property
    def has_space(self) -> bool:
        """True if frames of calls may be added without waiting."""
        return self._octets < MOST_WAITING_OCTETS

    @property
    def has_sends(self) -> bool:
        """True if messages sent alone wait."""
        return bool(self._sends)

    def put_send(self, message: base.Message) -> None:
        """Adds a message sent alone; drops the oldest if there are too many."""
        if len(self._sends) >= self._most_sends:
            self._sends.popleft()
            self._counts.add("peer_sends_dropped_total", cause="full")
        self._sends.append(message)
        self._wake_writer()

    def put(self, data: bytes) -> QueuedFrame:
        """Adds a frame of a call; see `wait_space`."""
        frame = QueuedFrame(data)
        self._frames.append(frame)
        self._octets += len(data)
        self._wake_writer()
        return frame

    def withdraw(self, frame: QueuedFrame) -> None:
        """Takes back a frame that still waits."""
        if frame.state is FrameState.WAITING:
            octets = len(frame.data)
            frame.settle(FrameState.DROPPED)
            self._set_octets(self._octets - octets)

    async def wait_space(self) -> None:
        """Returns once frames of calls may be added."""
        while not self.has_space:
            if self._emptied is None:
                self._emptied = trio.Event()
            await self._emptied.wait()

    async def wait_filled(self) -> None:
        """Returns once there is something to write."""
        while self.is_empty:
            self._filled = trio.Event()
            await self._filled.wait()

    def take(self, writer: frames.FrameWriter) -> bytes:
        """Takes frames for one write, those of calls first.

        Calls get at most half of a batch while messages sent alone wait, so
        that neither kind stops the other.
        """
        batch: list[bytes] = []
        limit = self._batch_octets
        share = limit // 2 if self._sends else limit
        octets = self._take_frames(batch, share)
        self._take_sends(batch, limit - octets, writer)
        return b"".join(batch)

    def drop_frames(self) -> None:
        """Drops all frames of calls: their link is lost."""
        for frame in self._frames:
            frame.settle(FrameState.DROPPED)
        self._frames.clear()
        self._set_octets(0)

    def drop_sends(self, cause: str) -> None:
        """Drops all messages sent alone."""
        if self._sends:
            dropped = len(self._sends)
            self._counts.add("peer_sends_dropped_total", dropped, cause=cause)
        self._sends.clear()

    def _take_frames(self, batch: list[bytes], limit: int) -> int:
        taken = 0
        while self._frames and taken < limit:
            frame = self._frames.popleft()
            if frame.state is not FrameState.WAITING:
                continue
            batch.append(frame.data)
            taken += len(frame.data)
            frame.settle(FrameState.TAKEN)
        self._set_octets(self._octets - taken)
        return taken

    def _take_sends(
        self, batch: list[bytes], limit: int, writer: frames.FrameWriter
    ) -> None:
        taken = 0
        while self._sends and taken < limit:
            message = self._sends.popleft()
            try:
                data = writer.write(frames.FrameKind.SEND, 0, message)
            except errors.PeerProtocolError as error:
                # The sender is gone; one bad message must not stop the link.
                logger.error("Dropped a message: %s.", error)
                self._counts.add("peer_sends_dropped_total", cause="unwritable")
                continue
            batch.append(data)
            taken += len(data)

    def _set_octets(self, octets: int) -> None:
        self._octets = octets
        if self._emptied is not None and octets < MOST_WAITING_OCTETS:
            self._emptied.set()
            self._emptied = None

    def _wake_writer(self) -> None:
        if self._filled is not None:
            self._filled.set()
            self._filled = None
