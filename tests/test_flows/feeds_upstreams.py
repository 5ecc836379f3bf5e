"""Fake upstreams that publish states on the streams of homes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import aiocoap
import msgspec
import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.flows.feeds import digests
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import feeds
from tests.test_flows import feeds_values

if TYPE_CHECKING:
    from tests.test_flows import feeds_hosts


@dataclasses.dataclass
class FakePeer:
    """The calling host of a call."""

    host: ids.HostId


class FakeStream:
    """The home's end of a feed at a fake upstream."""

    def __init__(self, opened: feeds.FeedOpen, keeper: str) -> None:
        self.opened = opened
        self.keeper = keeper
        self.sequence = max(opened.last_sequence, opened.floor)
        self.recent = digests.join(opened.recent)
        self.acks: list[feeds.FeedAck] = []
        self.closed = False
        # If true, one message in flight is delivered after the reader has
        # been cancelled.
        self.delivers_after_cancel = False
        self._sender, self._receiver = trio.open_memory_channel[base.Message](
            1000
        )

    async def receive(self) -> base.Message:
        """Returns the next message, as `PeerStream` does."""
        await trio.sleep(feeds_values.LINK_DELAY_S)
        try:
            if not self.delivers_after_cancel:
                return await self._receiver.receive()
            with trio.CancelScope(shield=True):
                received = await self._receiver.receive()
        except trio.EndOfChannel:
            raise errors.PeerLinkLostError("cut", step="receive") from None
        return received

    async def push(self, message: base.Message) -> None:
        """Records an acknowledgement."""
        if self.closed:
            raise errors.PeerLinkLostError("cut", step="push")
        assert isinstance(message, feeds.FeedAck)
        self.acks.append(message)

    def send(self, message: base.Message) -> None:
        """Sends a message to the home."""
        if not self.closed:
            self._sender.send_nowait(message)

    def send_tick(self, tick: int) -> None:
        """Sends a state to the home."""
        self.sequence += feeds.SEQUENCE_STRIDE
        answer = codec.Message(
            payload=feeds_values.make_payload(tick), code=aiocoap.CONTENT
        )
        self.recent = digests.append(self.recent, digests.compute(answer))
        self.send(
            feeds.FeedEvent(self.sequence, feeds_values.make_answer(tick))
        )

    async def hand_over(
        self, home: feeds_hosts.Host, *, prepares: bool = False
    ) -> bool:
        """Hands the feed to another home, as a keeper does if a home died."""
        opened = msgspec.structs.replace(
            self.opened,
            last_sequence=self.sequence,
            recent=digests.split(self.recent),
        )
        handler = home.network.handlers[feeds.FeedAdopt]
        peer = FakePeer(ids.HostId(self.keeper))
        reply = await handler(peer, feeds.FeedAdopt(opened, prepares))
        assert isinstance(reply, feeds.Adopted)
        return reply.accepted

    def cut(self) -> None:
        """Breaks the link of this stream."""
        self.closed = True
        self._sender.close()


@dataclasses.dataclass(eq=False)
class FakeUpstream:
    """An upstream together with its keeper.

    Attributes:
        keeper: Name of the keeper's host.
        tick: Newest state published.
        end: Message sent instead of a first event, if set.
        sends_nothing: True to send no first event on new streams.
        streams: All streams that homes have opened.
        lag_s: Delay from a new state to its publication here, in seconds.
        delivers_after_cancel: True if new streams deliver one message after
            their reader was cancelled.
        unpublished: States to be published here after the lag.
    """

    keeper: str
    tick: int = 0
    end: feeds.FeedEnd | None = None
    sends_nothing: bool = False
    streams: list[FakeStream] = dataclasses.field(default_factory=list)
    lag_s: float = 0.0
    delivers_after_cancel: bool = False
    unpublished: list[int] = dataclasses.field(default_factory=list)

    def open_streams(self) -> list[FakeStream]:
        """Returns the streams that homes have open."""
        return [s for s in self.streams if not s.closed]

    def find_stream(self) -> FakeStream | None:
        """Returns an open stream, None if there is none."""
        return next(iter(self.open_streams()), None)

    def accept(self, stream: FakeStream) -> None:
        """Accepts a stream that a home opens."""
        self.streams.append(stream)
        stream.delivers_after_cancel = self.delivers_after_cancel
        if self.sends_nothing:
            return
        if self.end is not None:
            stream.send(self.end)
        else:
            stream.send_tick(self.tick)

    def publish(self, tick: int) -> None:
        """Sends a new state on all open streams."""
        self.tick = tick
        for stream in self.open_streams():
            stream.send_tick(tick)

    async def publish_late(self) -> None:
        """Publishes the next unpublished state after the lag."""
        await trio.sleep(self.lag_s)
        if self.unpublished:
            self.publish(self.unpublished.pop(0))

    def send_end(self, cause: feeds.FeedEndCause) -> None:
        """Sends the keeper's end of the feed, with a cause, to all homes."""
        for stream in self.open_streams():
            stream.send(feeds.FeedEnd(cause))

    def cut(self) -> None:
        """Breaks the links of all open streams."""
        for stream in self.open_streams():
            stream.cut()
