"""Tests of a host that many hosts ask for a long desired state."""

from __future__ import annotations

import msgspec
import trio
import trio.testing

from persimmonhinge.forwarding.peers import codec
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import snapshot_server
from tests.support import trios
from tests.test_forwarding import test_forwarding_entry_replica as readers
from tests.test_forwarding import test_forwarding_peers_early_pull as hosts
from tests.test_forwarding import test_forwarding_peers_large_state as states

_PORT = 7721
_PEER = "10.0.0.2"
_FULL_REQUEST = messages.PullRequest(
    0, accepts_compression=True, accepts_refusal=True
)
_SHORT_REQUEST = messages.PullRequest(
    0, accepts_compression=True, omits_long_state=True
)
_EARLIER_RELEASE_REQUEST = messages.PullRequest(0, accepts_compression=True)
_MAX_READ_OCTETS = 100_000
_MAX_LONG_ANSWERS = 2


class SnapshotHost:
    """A host with a long desired state that other hosts ask for it."""

    def __init__(self, nursery: trio.Nursery) -> None:
        core = hosts.make_core(_PORT)
        states.apply_change(
            core,
            "op/config",
            states.make_large_state(2),
            1,
        )
        states.apply_change(
            core,
            readers.make_key("1"),
            readers.make_entry(),
            2,
        )
        self._nursery = nursery
        self._server = snapshot_server.SnapshotServer(core)

    async def send_request(
        self,
        request: messages.PullRequest,
        first_octets: int = _MAX_READ_OCTETS,
    ) -> trio.abc.Stream:
        """Sends a request; the answer is held until the caller reads it.

        Args:
            request: The request.
            first_octets: Number of octets that are sent first; the remaining
                octets are sent when these were read.
        """
        ours, theirs = trio.testing.lockstep_stream_pair()
        self._nursery.start_soon(self.answer, theirs)
        octets = msgspec.msgpack.encode(request)
        for piece in (octets[:first_octets], octets[first_octets:]):
            if piece:
                await ours.send_all(piece)
        await trio.testing.wait_all_tasks_blocked()
        return ours

    async def answer(self, stream: trio.abc.Stream) -> None:
        """Answers a request and closes the connection."""
        await self._server.answer(stream, _PEER)
        await stream.aclose()

    async def read(self, stream: trio.abc.Stream) -> messages.Snapshot:
        """Reads a complete answer."""
        octets = bytearray()
        while data := await stream.receive_some(_MAX_READ_OCTETS):
            octets += data
        return codec.SNAPSHOT_CODEC.decode(octets)


@trios.clock_test
async def test_host_asked_by_all_gives_to_some_at_a_time() -> None:
    """Guards against a new route that is refused for seconds at most hosts.

    One host has the desired state first. If it answers all others at once,
    they share its slow link, and each request times out before its answer is
    complete. Requests beyond two are therefore refused at once, but changes of
    upstreams are still sent.
    """
    async with trio.open_nursery() as nursery:
        host = SnapshotHost(nursery)
        waiting = [
            await host.send_request(_FULL_REQUEST)
            for _ in range(_MAX_LONG_ANSWERS)
        ]
        refused = await host.read(await host.send_request(_FULL_REQUEST))
        short = await host.read(await host.send_request(_SHORT_REQUEST))
        answers = [await host.read(stream) for stream in waiting]
        later = await host.read(await host.send_request(_FULL_REQUEST))
    assert refused.busy and not refused.entries
    assert [line.key for line in short.entries] == [readers.make_key("1")]
    assert all(len(snapshot.entries) == 2 for snapshot in (*answers, later))


@trios.clock_test
async def test_host_of_an_earlier_release_is_not_refused() -> None:
    async with trio.open_nursery() as nursery:
        host = SnapshotHost(nursery)
        waiting = [
            await host.send_request(_EARLIER_RELEASE_REQUEST) for _ in range(6)
        ]
        answers = [await host.read(stream) for stream in waiting]
    assert not any(snapshot.busy for snapshot in answers)


@trios.clock_test
async def test_host_that_reads_nothing_blocks_no_others() -> None:
    """Guards against two frozen hosts that keep others from a desired state.

    Both stop reading in the middle of a pull.
    """
    async with trio.open_nursery() as nursery:
        host = SnapshotHost(nursery)
        for _ in range(_MAX_LONG_ANSWERS):
            await host.send_request(_FULL_REQUEST)
        await trio.sleep(2.0)
        answer = await host.read(await host.send_request(_FULL_REQUEST))
    assert not answer.busy


@trios.clock_test
async def test_request_that_comes_in_pieces_is_answered() -> None:
    """Guards against hosts that stay behind because their request was split.

    A stream does not preserve message boundaries: the first octets of a
    request may arrive before the remaining ones.
    """
    async with trio.open_nursery() as nursery:
        host = SnapshotHost(nursery)
        snapshot = await host.read(
            await host.send_request(_SHORT_REQUEST, first_octets=3)
        )
    assert [line.key for line in snapshot.entries] == [readers.make_key("1")]


@trios.clock_test
async def test_peer_that_sends_no_request_is_let_go() -> None:
    """Guards against connections that an invalid request keeps open."""
    async with trio.open_nursery() as nursery:
        host = SnapshotHost(nursery)
        ours, theirs = trio.testing.lockstep_stream_pair()
        nursery.start_soon(host.answer, theirs)
        await ours.send_all(b"\xc1")
        assert await ours.receive_some(1) == b""
