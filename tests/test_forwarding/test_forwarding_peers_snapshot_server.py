"""Tests of a host that many ask for the same long desired state."""

from __future__ import annotations

import msgspec
import trio
import trio.testing

from persimmonhinge.forwarding.peers import codec
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import snapshot_server
from tests.support import trios
from tests.test_forwarding import test_forwarding_peers_early_pull as hosts
from tests.test_forwarding import test_forwarding_peers_large_state as states
from tests.test_forwarding import test_forwarding_reading as readers

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
    """A host that has a long desired state, asked by others at once."""

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
        """Sends a request whose answer waits until it is read.

        Args:
            request: The request.
            first_octets: How many octets of it come first; the rest does when
                they were read.
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
        """Answers a request, and closes."""
        await self._server.answer(stream, _PEER)
        await stream.aclose()

    async def read(self, stream: trio.abc.Stream) -> messages.Snapshot:
        """Reads an answer to its end."""
        octets = bytearray()
        while data := await stream.receive_some(_MAX_READ_OCTETS):
            octets += data
        return codec.SNAPSHOT_CODEC.decode(octets)


@trios.clock_test
async def test_host_asked_by_all_gives_to_some_at_a_time() -> None:
    """A route that was added is refused for seconds at most hosts.

    One host has the desired state first; all others ask it at once, share
    its thin link, and each gives up before it has the whole. Those beyond
    two are refused at once, and changes of upstreams still pass.
    """
    async with trio.open_nursery() as nursery:
        asked = SnapshotHost(nursery)
        waiting = [
            await asked.send_request(_FULL_REQUEST)
            for _ in range(_MAX_LONG_ANSWERS)
        ]
        refused = await asked.read(await asked.send_request(_FULL_REQUEST))
        short = await asked.read(await asked.send_request(_SHORT_REQUEST))
        given = [await asked.read(stream) for stream in waiting]
        later = await asked.read(await asked.send_request(_FULL_REQUEST))
    assert refused.busy and not refused.entries
    assert [line.key for line in short.entries] == [readers.make_key("1")]
    assert all(len(snapshot.entries) == 2 for snapshot in (*given, later))


@trios.clock_test
async def test_host_of_an_earlier_release_is_not_refused() -> None:
    async with trio.open_nursery() as nursery:
        asked = SnapshotHost(nursery)
        waiting = [
            await asked.send_request(_EARLIER_RELEASE_REQUEST) for _ in range(6)
        ]
        given = [await asked.read(stream) for stream in waiting]
    assert not any(snapshot.busy for snapshot in given)


@trios.clock_test
async def test_host_that_reads_nothing_blocks_no_others() -> None:
    """Two hosts freeze while they pull; nobody else gets a state."""
    async with trio.open_nursery() as nursery:
        asked = SnapshotHost(nursery)
        for _ in range(_MAX_LONG_ANSWERS):
            await asked.send_request(_FULL_REQUEST)
        await trio.sleep(2.0)
        given = await asked.read(await asked.send_request(_FULL_REQUEST))
    assert not given.busy


@trios.clock_test
async def test_request_that_comes_in_pieces_is_answered() -> None:
    """Guards against hosts that stay behind since their request was split.

    A stream keeps no bounds of messages: the network may hand over the first
    octets of a request before the rest.
    """
    async with trio.open_nursery() as nursery:
        asked = SnapshotHost(nursery)
        snapshot = await asked.read(
            await asked.send_request(_SHORT_REQUEST, first_octets=3)
        )
    assert [line.key for line in snapshot.entries] == [readers.make_key("1")]


@trios.clock_test
async def test_peer_that_sends_no_request_is_let_go() -> None:
    """Guards against connections that are held by what is no request."""
    async with trio.open_nursery() as nursery:
        asked = SnapshotHost(nursery)
        ours, theirs = trio.testing.lockstep_stream_pair()
        nursery.start_soon(asked.answer, theirs)
        await ours.send_all(b"\xc1")
        assert await ours.receive_some(1) == b""
