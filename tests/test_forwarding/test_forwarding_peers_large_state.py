"""Tests of the spread of a large desired state between hosts."""

from __future__ import annotations

import functools
import json
import random

import trio

from persimmonhinge import ids
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import upstream
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import pulls
from persimmonhinge.forwarding.peers import snapshot_server
from persimmonhinge.store import port as port_module
from tests.standins import ports
from tests.support import trios
from tests.test_forwarding import test_forwarding_entry_replica as readers
from tests.test_forwarding import test_forwarding_peers_early_pull as hosts

_ROUTES = 1_000
_AHEAD = "127.0.0.9"
_SLOW_LINK = "127.0.0.8"
_BEHIND = "127.0.0.7"
# A link of 0.3 Mbit/s: a tenth of the state's size passes in a second.
_CHUNK_OCTETS = 4_096
_CHUNK_DELAY_S = 0.1
_FIRST_REVISION = 30
_FORMER_REVISION = 40
_STATE_REVISION = 50
_DRAIN_REVISION = 60
_KEY = readers.make_key("1")
_UPSTREAM = ids.UpstreamId("i-1")
_MAX_FAILURES = 3


def make_large_state(version: int) -> bytes:
    """Returns a large desired state with names that hardly compress."""
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


def apply_change(
    core: core_module.ForwardCore, key: str, value: bytes, revision: int
) -> None:
    """Applies a change of the store at a host."""
    core.entries.apply_batch([port_module.WatchEvent(key, value, revision)])


def make_hosts(
    port: int,
) -> tuple[core_module.ForwardCore, core_module.ForwardCore]:
    """Returns a host with all entries and one without the last changes."""
    ahead = hosts.make_core(port, _AHEAD)
    behind = hosts.make_core(port, _BEHIND)
    for core in (ahead, behind):
        apply_change(
            core,
            "op/config",
            readers.make_state(1),
            _FIRST_REVISION,
        )
        apply_change(core, _KEY, readers.make_entry(), _FORMER_REVISION)
    apply_change(ahead, "op/config", make_large_state(2), _STATE_REVISION)
    apply_change(
        ahead,
        _KEY,
        readers.make_entry("draining"),
        _DRAIN_REVISION,
    )
    return ahead, behind


async def relay_slowly(port: int, stream: trio.SocketStream) -> None:
    """Relays a connection to the host that is ahead, at a low rate."""
    try:
        async with await trio.open_tcp_stream(_AHEAD, port) as onward:
            await onward.send_all(await stream.receive_some(_CHUNK_OCTETS))
            while data := await onward.receive_some(_CHUNK_OCTETS):
                await stream.send_all(data)
                await trio.sleep(_CHUNK_DELAY_S)
    except trio.BrokenResourceError:
        # One of the two ends has closed its connection.
        pass
    await trio.aclose_forcefully(stream)


async def run_slow_link(
    port: int,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accepts connections for the host that is ahead, until cancelled."""
    listeners = await trio.open_tcp_listeners(port, host=_SLOW_LINK)
    task_status.started()
    await trio.serve_listeners(functools.partial(relay_slowly, port), listeners)


def is_upstream_draining(core: core_module.ForwardCore) -> bool:
    """Returns whether a host sees the upstream as draining."""
    known = core.knowledge.directory.get(_UPSTREAM)
    assert known is not None
    return known.state is upstream.UpstreamState.DRAINING


@trios.trio_test
async def test_drain_is_heard_before_a_large_desired_state() -> None:
    """Guards against new requests to an upstream 5 s after its drain began.

    Operators apply a desired state with hundreds of new routes while hosts are
    added, and an upstream starts to drain just after an added host has read
    the store. That host learns of the drain only from a snapshot of another
    host. If a snapshot has the drain and the whole desired state, and has to
    arrive within a second, every pull over a slow link fails: such a host saw
    the drain 5.45 s later than the host that follows the store, after two
    failed pulls.
    """
    port = ports.find_tcp_port(_AHEAD)
    ahead, behind = make_hosts(port)
    address = flow.Endpoint(_SLOW_LINK, port - 1)
    behind.peers.apply_report(address, make_report(1), trio.current_time())
    async with trio.open_nursery() as nursery:
        await nursery.start(snapshot_server.SnapshotServer(ahead).run)
        await nursery.start(run_slow_link, port)
        nursery.start_soon(pulls.SnapshotPuller(behind).run)
        while not is_upstream_draining(behind):
            failures = behind.counts.get("snapshot_errors_total")
            assert failures < _MAX_FAILURES
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    # The new desired state has not arrived yet.
    assert behind.knowledge.state is not None
    assert behind.knowledge.state.version == 1
