"""Tests of the snapshots that hosts pull from each other."""

from __future__ import annotations

import msgspec
import trio

from persimmonhinge import ids
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding.peers import codec
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import pulls
from persimmonhinge.forwarding.peers import snapshot_server
from tests.standins import ports
from tests.support import trios
from tests.test_forwarding import test_forwarding_entry_replica as readers
from tests.test_forwarding import test_forwarding_peers_early_pull as hosts

_HOST = "127.0.0.9"
_BEHIND = "127.0.0.7"
_DEAD = "127.0.0.6"
_UPSTREAMS = 40
_UPSTREAM = ids.UpstreamId("i-1")
_MAX_FAILURES = 5


async def pull(port: int, request: messages.PullRequest) -> bytes:
    """Returns the octets of a host's answer to a request."""
    octets = bytearray()
    stream = await trio.open_tcp_stream(_HOST, port)
    async with stream:
        await stream.send_all(msgspec.msgpack.encode(request))
        async for data in stream:
            octets += data
    return bytes(octets)


@trios.trio_test
async def test_host_of_an_earlier_release_can_read_its_snapshot() -> None:
    """Guards against hosts that fall behind in the middle of an upgrade.

    Hosts that still run an earlier release send requests without the flag for
    compression, also when they start while the store is unavailable. They fall
    behind if the answer is compressed, since they cannot read it.
    """
    port = ports.find_tcp_port(_HOST)
    core = hosts.make_core(port)
    for number in range(_UPSTREAMS):
        key = readers.make_key(f"{number:x}")
        core.entries.apply(key, readers.make_entry(), number + 1)
    async with trio.open_nursery() as nursery:
        await nursery.start(snapshot_server.SnapshotServer(core).run)
        plain = await pull(port, messages.PullRequest(0))
        compressed = await pull(
            port, messages.PullRequest(0, accepts_compression=True)
        )
        nursery.cancel_scope.cancel()
    snapshot = msgspec.msgpack.decode(plain, type=messages.Snapshot)
    assert len(snapshot.entries) == _UPSTREAMS
    assert len(compressed) < len(plain) / 3
    assert codec.SNAPSHOT_CODEC.decode(compressed) == snapshot


@trios.trio_test
async def test_host_that_does_not_answer_is_not_asked_alone() -> None:
    """Guards against a host that asks only a dead host for missing entries.

    A host missed the update of a drain and sees from their reports that others
    are ahead. The host that is furthest ahead died just after its report,
    which counts for seconds. If it is asked again and again, and the others
    never are, new requests keep reaching the draining upstream meanwhile.
    """
    port = ports.find_tcp_port(_HOST)
    ahead = hosts.make_core(port, _HOST)
    behind = hosts.make_core(port, _BEHIND)
    key = readers.make_key("1")
    ahead.entries.apply(key, readers.make_entry("draining"), 5)
    for revision, host in ((5, _HOST), (6, _DEAD)):
        report = messages.Report(
            f"h-{revision}",
            1,
            1,
            60_000,
            "north",
            revision,
            0,
            False,
            True,
            (),
            (),
        )
        behind.peers.apply_report(flow.Endpoint(host, port - 1), report, 0.0)
    async with trio.open_nursery() as nursery:
        await nursery.start(snapshot_server.SnapshotServer(ahead).run)
        nursery.start_soon(pulls.SnapshotPuller(behind).run)
        while behind.knowledge.directory.get(_UPSTREAM) is None:
            failures = behind.counts.get("snapshot_errors_total")
            assert failures < _MAX_FAILURES
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
