"""Tests of snapshots that hosts give each other."""

from __future__ import annotations

import msgspec
import trio

from persimmonhinge.forwarding.peers import codec as codecs
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import snapshot_server
from tests.standins import ports
from tests.support import trios
from tests.test_forwarding import test_forwarding_peers_early_pull as hosts
from tests.test_forwarding import test_forwarding_reading as readers

_HOST = "127.0.0.9"
_UPSTREAMS = 40


async def pull(port: int, request: messages.PullRequest) -> bytes:
    """Returns what a host answers to a request."""
    octets = bytearray()
    stream = await trio.open_tcp_stream(_HOST, port)
    async with stream:
        await stream.send_all(msgspec.msgpack.encode(request))
        async for data in stream:
            octets += data
    return bytes(octets)


@trios.trio_test
async def test_host_of_an_earlier_release_can_read_its_snapshot() -> None:
    """Hosts that are not yet renewed lag behind in the middle of an upgrade.

    They ask without saying that they read compressed messages, and are sent
    some; so does a host that starts without a store.
    """
    port = ports.find_tcp_port(_HOST)
    core = hosts.make_core(port)
    for number in range(_UPSTREAMS):
        key = readers.make_key(f"{number:x}")
        core.entries.take(key, readers.make_entry(), number + 1)
    async with trio.open_nursery() as nursery:
        await nursery.start(snapshot_server.SnapshotServer(core).run)
        plain = await pull(port, messages.PullRequest(0))
        packed = await pull(port, messages.PullRequest(0, packed=True))
        nursery.cancel_scope.cancel()
    snapshot = msgspec.msgpack.decode(plain, type=messages.Snapshot)
    assert len(snapshot.entries) == _UPSTREAMS
    assert len(packed) < len(plain) / 3
    assert codecs.SNAPSHOTS.decode(packed) == snapshot
