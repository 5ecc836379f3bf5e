"""Both ends of a link over memory, for tests on a mock clock."""

from __future__ import annotations

import dataclasses
from typing import Any

import trio
import trio.testing

from persimmonhinge import ids
from persimmonhinge.metrics import counts as metrics
from persimmonhinge.peers import accepted
from persimmonhinge.peers import dialed
from persimmonhinge.peers import frames
from persimmonhinge.peers import handlers
from persimmonhinge.peers import outbox
from persimmonhinge.peers.messages import link as link_messages
from tests.test_peers import pairs


@dataclasses.dataclass
class MemoryLink:
    """A link whose octets a test can stop.

    Attributes:
        dialed: The dialing end.
        accepted: The accepting end.
        table: Handlers of the accepting end.
        counts: Counters of both ends.
        streams: Stream of the dialing end, then of the accepting end.
    """

    dialed: dialed.DialedConnection
    accepted: accepted.AcceptedConnection
    table: handlers.HandlerTable
    counts: metrics.Counts
    streams: tuple[trio.abc.Stream, trio.abc.Stream]

    def start(self, nursery: trio.Nursery) -> None:
        """Runs both ends."""
        nursery.start_soon(self.dialed.run)
        nursery.start_soon(self.accepted.run)

    def lose_octets(self) -> None:
        """Lets octets vanish from now on, as behind a middle box."""

        async def lose() -> None:
            await trio.lowlevel.checkpoint()

        for stream in self.streams:
            _get_sender(stream).send_all_hook = lose

    def count_writes(self) -> list[float]:
        """Returns the times of the writes of the dialing end, as they come."""
        times: list[float] = []
        sender = _get_sender(self.streams[0])
        pump = sender.send_all_hook

        async def note() -> None:
            times.append(trio.current_time())
            if pump is not None:
                await pump()

        sender.send_all_hook = note
        return times


def _get_sender(stream: trio.abc.Stream) -> trio.testing.MemorySendStream:
    assert isinstance(stream, trio.StapledStream)
    sender = stream.send_stream
    assert isinstance(sender, trio.testing.MemorySendStream)
    return sender


def make_streams() -> tuple[trio.abc.Stream, trio.abc.Stream]:
    """Returns both ends of a stream in memory."""
    return trio.testing.memory_stream_pair()


def make_link(
    nursery: trio.Nursery, *, links: int = 1, **peers: Any
) -> MemoryLink:
    """Returns a link after its hello; its ends do not run yet.

    Args:
        nursery: Where handlers run.
        links: Links that the dialing host is to believe it has.
        **peers: Settings of the streams.
    """
    near, far = make_streams()
    counts = metrics.Counts()
    table = handlers.HandlerTable(counts)
    settings = pairs.make_settings(pairs.A, **peers).peers
    return MemoryLink(
        dialed.DialedConnection(
            near,
            frames.FrameReader(pairs.B),
            _make_hello(pairs.B),
            outbox.Outbox(counts, most_sends=100),
            settings,
            counts,
            lambda: links,
        ),
        accepted.AcceptedConnection(
            far,
            frames.FrameReader(pairs.A),
            _make_hello(pairs.A),
            table,
            nursery,
            settings,
            counts,
        ),
        table,
        counts,
        (near, far),
    )


def _make_hello(host: ids.HostId) -> link_messages.Hello:
    return link_messages.Hello(
        1, 1, host, pairs.DOMAIN, ids.Incarnation(1), pairs.A
    )
