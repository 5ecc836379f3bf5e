"""Random, cut, oversized and hostile input at the edge of real hosts."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import functools
import json
import socket

import hypothesis
from hypothesis import strategies
import trio

from persimmonhinge.coap import codec
from persimmonhinge.load import executions as execution_logs
from tests.standins import hostile_datagrams
from tests.standins import once_scene
from tests.standins import services_scene
from tests.support import trios
from tests.test_peers import hostile

_FLOOR = services_scene.FLOOR
_EXAMPLES = 400
_STREAM_EXAMPLES = 150
_ADDRESS = ("127.0.0.1", 0)
_LIMIT_S = 2.0

Send = Callable[[bytes], None]


@trios.trio_test
async def test_hostile_datagrams_end_no_host_and_reach_no_upstream() -> None:
    """One datagram from the street stops a hall, or gets into a service.

    Random, cut, altered and oversized datagrams, and well-formed ones with
    options of any value, go to the service ports of all hosts. All hosts go
    on without a fault, nothing runs, nothing names another service at an
    upstream, and what can't be read is counted.
    """
    async with once_scene.run_scene(services_scene.make_plan()) as scene:
        places = [*scene.addresses(_FLOOR), *scene.addresses("intake")]
        with _open_socket(socket.SOCK_DGRAM) as sender:

            def send(data: bytes) -> None:
                for place in places:
                    sender.sendto(data, place)

            await _send_all(hostile_datagrams.datagrams, send, _EXAMPLES)
        await _check_unharmed(scene)
        for host in scene.deployment.names():
            name = "datagrams_refused_total"
            assert await scene.deployment.pages.count(host, name) > 0


@trios.trio_test
async def test_hostile_streams_to_plain_peer_ports() -> None:
    """Anybody who can connect to a peer port stops a host.

    Frames that are good, cut, nearly right, or announce gigabytes come to
    the peer ports of hosts without credentials, and random datagrams to
    their heartbeat ports. All are refused by cause, and the hosts serve on.
    """
    plan = dataclasses.replace(services_scene.make_plan(), secure=False)
    async with once_scene.run_scene(plan) as scene:
        await _attack_peer_ports(scene, hostile.octets)


@trios.trio_test
async def test_hostile_streams_to_secured_peer_ports() -> None:
    """Anybody who can connect to a peer port stops a host, in spite of TLS.

    The same where hosts have credentials: nothing gets past the handshake.
    """
    async with once_scene.run_scene(services_scene.make_plan()) as scene:
        octets = hostile.octets | strategies.binary(max_size=400)
        await _attack_peer_ports(scene, octets)


async def _attack_peer_ports(
    scene: once_scene.OnceScene, octets: strategies.SearchStrategy[bytes]
) -> None:
    deployment = scene.deployment
    victim = deployment.names()[0]
    (planned,) = (h for h in deployment.plan.hosts if h.name == victim)
    found = deployment.layout.hosts[victim]
    before = await deployment.pages.count(victim, "peer_refusals_total")
    with _open_socket(socket.SOCK_DGRAM) as sender:

        def send(data: bytes) -> None:
            _send_stream(data, (planned.address, found.peer))
            beat = data[: codec.MAX_DATAGRAM_OCTETS]
            sender.sendto(beat, (planned.address, found.heartbeat))

        await _send_all(octets, send, _STREAM_EXAMPLES)
    after = await deployment.pages.count(victim, "peer_refusals_total")
    assert after > before
    await _check_unharmed(scene)


def _send_stream(data: bytes, place: tuple[str, int]) -> None:
    """Sends octets on a connection of their own, and waits for its end."""
    with contextlib.suppress(OSError):
        with socket.create_connection(place, timeout=_LIMIT_S) as stream:
            stream.sendall(data)
            stream.shutdown(socket.SHUT_WR)
            while stream.recv(4096):
                pass


async def _send_all(
    octets: strategies.SearchStrategy[bytes], send: Send, examples: int
) -> None:
    """Draws octets and sends them, in a thread, as drawing blocks."""

    @hypothesis.settings(
        max_examples=examples,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(octets)
    def send_drawn(data: bytes) -> None:
        send(data)

    await trio.to_thread.run_sync(functools.partial(send_drawn))


async def _check_unharmed(scene: once_scene.OnceScene) -> None:
    """Checks that nothing ran, no host failed, and a caller is served."""
    log = scene.read_log()
    bad = (execution_logs.RUN, execution_logs.MISROUTED)
    assert not [line for line in log if line.kind in bad]
    caller = await scene.open_caller()
    places = scene.addresses(_FLOOR)
    await caller.fetch_ticket(places)
    request = await caller.reserve("good", *places)
    assert await caller.repeat_until(request, places)
    assert json.loads(request.answers[0].payload)["key"] == "good"
    for host in scene.deployment.names():
        process = scene.deployment.hosts[host]
        process.check_running()
        assert "Traceback" not in process.read_log(), process.tail()
        assert not await scene.deployment.pages.count(host, "home_faults_total")


@contextlib.contextmanager
def _open_socket(kind: socket.SocketKind) -> Iterator[socket.socket]:
    with socket.socket(type=kind) as opened:
        opened.bind(_ADDRESS)
        yield opened
