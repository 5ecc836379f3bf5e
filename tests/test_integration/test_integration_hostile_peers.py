"""Tests of a host, as a real process, that hostile peers reach."""

from __future__ import annotations

import contextlib
import random
import socket

import httpx
import msgspec
import trio

from persimmonhinge.forwarding import upstream_load
from persimmonhinge.forwarding.peers import messages
from tests.standins import forwarding_deployment as deployments
from tests.support import trios
from tests.test_forwarding import test_forwarding_peers_hostile as hostile
from tests.test_integration import forwarding_scene as scenes

_SEED = 1
_DEEP = 20_000
_RANDOM_DATAGRAMS = 300
_REPORT = messages.Report(
    "h-2", 1, 1, 600_000, "north", 1, 0, False, True, (), ()
)
# A linger time of 0 resets a connection when it is closed.
_RESET = b"\1\0\0\0\0\0\0\0"


@trios.trio_test
async def test_hostile_peers_end_nothing() -> None:
    """Guards against a process that anybody who reaches its ports can end."""
    async with scenes.run_scene(1) as scene:
        await scene.start(0)
        host = scene.hosts[0]
        assert host.process is not None
        await _send_datagrams(host.address, scene.deployment.peer_port)
        await _open_connections(host.address, scene.deployment.peer_port + 1)
        assert await scene.deployment.is_ready(host)
        before = sum(scene.count_openings())
        await scene.open_flows(0, 3)
        await scenes.wait_openings(scene, before + 3)
        assert host.process.poll() is None
        refused, failed = await _read_inputs(scene.deployment, host)
        assert refused > 0
        assert failed == 0


async def _send_datagrams(address: str, port: int) -> None:
    """Sends datagrams that are deep, out of range or random."""
    draws = random.Random(_SEED)
    load = upstream_load.UpstreamLoad(7, -1, 2**64 - 1, -(2**63))
    octets = msgspec.msgpack.encode(_REPORT)
    datagrams = [hostile.make_deep(_REPORT), b"\x91" * _DEEP]
    datagrams += [
        msgspec.msgpack.encode(msgspec.structs.replace(_REPORT, **fields))
        for fields in (
            {"age_ms": 2**64 - 1, "revision": 0},
            {"interval_ms": 2**63},
            {"revision": 2**64 - 1},
            {"loads": (load,)},
            {"peers": (("a\0", 7), ("255.255.255.255", 7), ("1", 2**63))},
        )
    ]
    for _ in range(_RANDOM_DATAGRAMS):
        changed = bytearray(octets)
        changed[draws.randrange(len(changed))] = draws.getrandbits(8)
        datagrams.append(bytes(changed[: draws.randint(0, len(changed))]))
    with socket.socket(type=socket.SOCK_DGRAM) as sender:
        for datagram in datagrams:
            sender.sendto(datagram, (address, port))
            # The socket of the host has no room for all at once.
            await trio.sleep(0.001)


async def _open_connections(address: str, port: int) -> None:
    """Opens connections that are silent, reset or ask for nonsense."""
    request = msgspec.msgpack.encode(messages.PullRequest(0))
    snapshot = messages.Snapshot(1, True, (), ())
    with contextlib.ExitStack() as stack:
        for _ in range(100):
            stack.enter_context(socket.create_connection((address, port)))
        for octets in (request[:3], b"\x91" * 64, hostile.make_deep(snapshot)):
            for option in (_RESET, bytes(8)):
                with socket.create_connection((address, port)) as connection:
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, option
                    )
                    with contextlib.suppress(OSError):
                        connection.sendall(octets)
            await trio.sleep(0.01)


async def _read_inputs(
    deployment: deployments.ForwardingDeployment, host: deployments.ForwardHost
) -> tuple[float, float]:
    """Returns the numbers of refused and of failed inputs of a host."""
    url = f"http://{host.address}:{deployment.page_port}/metrics"
    async with httpx.AsyncClient(trust_env=False) as client:
        text = (await client.get(url)).raise_for_status().text
    samples = [line.rsplit(" ", 1) for line in text.splitlines()]
    refused, failed = (
        sum(
            float(value)
            for name, value in samples
            if name.startswith(f"persimmonhinge_{metric}{{")
        )
        for metric in ("inputs_refused_total", "input_failures_total")
    )
    return refused, failed
