"""Tests of what hosts tell each other while a large desired state spreads."""

from __future__ import annotations

import functools
import json
import random

import trio

from persimmonhinge import ids
from persimmonhinge.forwarding import core as cores
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import pulls
from persimmonhinge.forwarding.peers import snapshot_server
from persimmonhinge.store import port as port_parts
from tests.standins import ports
from tests.support import trios
from tests.test_forwarding import test_forwarding_entry_replica as readers
from tests.test_forwarding import test_forwarding_peers_early_pull as hosts

_ROUTES = 1_000
_AHEAD = "127.0.0.9"
_THIN_LINK = "127.0.0.8"
_BEHIND = "127.0.0.7"
# A link of 0.3 Mbit/s: a tenth of the state's size passes in a second.
_CHUNK_OCTETS = 4_096
_CHUNK_S = 0.1
_FIRST_REVISION = 30
_FORMER_REVISION = 40
_STATE_REVISION = 50
_DRAIN_REVISION = 60
_KEY = readers.make_key("1")
_UPSTREAM = ids.UpstreamId("i-1")
_MOST_FAILURES = 3


def make_large_state(version: int) -> bytes:
    """Returns a desired state of names that hardly compress."""
    source = random.Random(1)
    routes = [
        {
            "Name": f"r-{source.getrandbits(1600):x}",
            "Host": f"198.18.{number // 256}.{number % 256}",
            "Prefix": "/443/",
            "Service": "floor",
            "Kind": "idempotent",
            "Priority": 1,
        }
        for number in range(_ROUTES)
    ]
    return json.dumps({"Version": version, "Routes": routes}).encode()


def make_report(sequence: int) -> messages.Report:
    """Returns a report of the host that is ahead."""
    return messages.Report(
        host="h-2",
        incarnation=1,
        sequence=sequence,
        interval_ms=60_000,
        domain="north",
        revision=_DRAIN_REVISION,
        age_ms=0,
        leaving=False,
        reaches_store=True,
        loads=(),
        peers=(),
    )


def take(
    core: cores.ForwardCore, key: str, value: bytes, revision: int
) -> None:
    """Has the store tell a host of a change."""
    core.entries.apply_batch([port_parts.WatchEvent(key, value, revision)])


def make_hosts(port: int) -> tuple[cores.ForwardCore, cores.ForwardCore]:
    """Returns a host that knows all, and one that lacks the last changes."""
    ahead = hosts.make_core(port, _AHEAD)
    behind = hosts.make_core(port, _BEHIND)
    for core in (ahead, behind):
        take(core, "op/config", readers.make_state(1), _FIRST_REVISION)
        take(core, _KEY, readers.make_entry(), _FORMER_REVISION)
    take(ahead, "op/config", make_large_state(2), _STATE_REVISION)
    take(ahead, _KEY, readers.make_entry("draining"), _DRAIN_REVISION)
    return ahead, behind


async def relay(port: int, stream: trio.SocketStream) -> None:
    """Passes a connection on to the host that is ahead, at a low rate."""
    try:
        async with await trio.open_tcp_stream(_AHEAD, port) as onward:
            await onward.send_all(await stream.receive_some(_CHUNK_OCTETS))
            while data := await onward.receive_some(_CHUNK_OCTETS):
                await stream.send_all(data)
                await trio.sleep(_CHUNK_S)
    except trio.BrokenResourceError:
        # One of the two has given up.
        pass
    await trio.aclose_forcefully(stream)


async def run_thin_link(
    port: int,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Carries connections to the host that is ahead, until cancelled."""
    listeners = await trio.open_tcp_listeners(port, host=_THIN_LINK)
    task_status.started()
    await trio.serve_listeners(functools.partial(relay, port), listeners)


def is_drain_known(core: cores.ForwardCore) -> bool:
    """Tells whether a host has heard that the upstream leaves."""
    known = core.knowledge.directory.get(_UPSTREAM)
    assert known is not None
    return known.state is upstreams.UpstreamState.DRAINING


@trios.trio_test
async def test_drain_is_heard_before_a_large_desired_state() -> None:
    """New requests reach an upstream that said five seconds ago it leaves.

    Operators send a desired state with hundreds of new routes while hosts are
    added, and an upstream leaves just after an added host has read the store.
    That host can hear of the drain only by a snapshot from another host, and
    gets none over a thin link however often it asks. A snapshot was taken
    whole or not at all within a second, and held the drain and the desired
    state: an added host that had read the store at 6.49 logged `Can't pull a
    snapshot` at 10.46 and at 11.73, and `Upstream changed` to draining at
    12.71, 5.45 s after the host that follows the store.
    """
    port = ports.find_tcp_port(_AHEAD)
    ahead, behind = make_hosts(port)
    address = flows.Endpoint(_THIN_LINK, port - 1)
    behind.peers.take(address, make_report(1), trio.current_time())
    async with trio.open_nursery() as nursery:
        await nursery.start(snapshot_server.SnapshotServer(ahead).run)
        await nursery.start(run_thin_link, port)
        nursery.start_soon(pulls.SnapshotPuller(behind).run)
        while not is_drain_known(behind):
            failures = behind.counts.get("snapshot_errors_total")
            assert failures < _MOST_FAILURES
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    # The desired state is still on its way.
    assert behind.knowledge.state is not None
    assert behind.knowledge.state.version == 1
