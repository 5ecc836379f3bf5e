"""Inputs that no sane sender sends.

None of it counts as a disturbance, but for answers of the store: hosts are held
to all limits meanwhile.
"""

from __future__ import annotations

from collections.abc import Callable
import random
import socket

import trio

from tests.soak import disturbances as disturbance_lists
from tests.soak import plan as plans
from tests.soak import scene as scenes
from tests.soak.injectors import base
from tests.standins import forwarding_deployment as deployments
from tests.standins import hostile_inputs

_SENDER = "127.0.0.9"
_DATAGRAMS_PER_S = 50.0
_REQUESTS_PER_S = 20.0
_ANSWERS_PER_S = 5.0
_FOREIGN_ENTRIES = 8
_FURTHER_ROUTES = 1000
_FIRST_FURTHER_PORT = 30_000
# How long a connection that has sent its request is kept open, seconds.
_IDLE_S = 0.5


def _draw(fault: plans.Fault) -> random.Random:
    return random.Random(f"hostile/{fault.at_s}/{fault.place}")


@base.injectors.register(plans.FaultKind.FOREIGN_ENTRIES.value)
async def _write_entries(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    source = _draw(fault)
    store = scene.deployment.store
    keys = [
        f"servers/i-{source.getrandbits(40):010x}"
        for _ in range(_FOREIGN_ENTRIES)
    ]
    for key in keys:
        value = hostile_inputs.make_entry(source)
        await store.put(key, value.decode("utf-8", "replace"))
    await _overwrite_upstream(scene, fault, source)
    for key in keys:
        await store.put(key, None)


async def _overwrite_upstream(
    scene: scenes.SoakScene, fault: plans.Fault, source: random.Random
) -> None:
    """Writes at the key of an upstream, which writes its own entry later."""
    place = base.find_spare_place(scene, fault)
    if place is None or place.lock.locked():
        await trio.sleep(fault.for_s)
        return
    async with place.lock:
        value = hostile_inputs.make_entry(source).decode("utf-8", "replace")
        await scene.deployment.store.put(f"servers/{place.current.name}", value)
        await trio.sleep(fault.for_s)
        await place.write()


@base.injectors.register(plans.FaultKind.HOSTILE_DATAGRAMS.value)
async def _send_datagrams(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host, source = base.find_host(scene, fault), _draw(fault)
    kinds: tuple[tuple[int, Callable[[random.Random], bytes]], ...] = (
        (scene.deployment.packet_port, hostile_inputs.make_packet),
        (scene.deployment.peer_port, hostile_inputs.make_message),
    )
    sender = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    with sender:
        await sender.bind((_SENDER, 0))
        for _ in range(int(fault.for_s * _DATAGRAMS_PER_S)):
            port, make = source.choice(kinds)
            await sender.sendto(make(source), (host.address, port))
            await trio.sleep(1 / _DATAGRAMS_PER_S)


@base.injectors.register(plans.FaultKind.HOSTILE_REQUESTS.value)
async def _send_requests(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host, source = base.find_host(scene, fault), _draw(fault)
    ports = (scene.deployment.page_port, scene.deployment.peer_port + 1)
    async with trio.open_nursery() as nursery:
        for _ in range(int(fault.for_s * _REQUESTS_PER_S)):
            octets = hostile_inputs.make_request(source)
            port = source.choice(ports)
            nursery.start_soon(_send_request, host, port, octets)
            await trio.sleep(1 / _REQUESTS_PER_S)


async def _send_request(
    host: deployments.ForwardHost, port: int, octets: bytes
) -> None:
    try:
        stream = await trio.open_tcp_stream(host.address, port)
        async with stream:
            await stream.send_all(octets)
            await trio.sleep(_IDLE_S)
    except (OSError, trio.BrokenResourceError):
        # The host is down, or has closed the connection, as it may.
        return


@base.injectors.register(plans.FaultKind.HOSTILE_ANSWERS.value)
async def _replace_answers(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    source = _draw(fault)
    store = scene.deployment.store
    async with scene.store_lock:
        with scene.disturbances.record(disturbance_lists.STORE):
            for _ in range(int(fault.for_s * _ANSWERS_PER_S) + 1):
                body = hostile_inputs.make_answer(source) or b" "
                await store.set_faults(body=body.decode("latin-1"))
                await trio.sleep(1 / _ANSWERS_PER_S)
            await store.set_faults(body="")


@base.injectors.register(plans.FaultKind.GROW_STATE.value)
async def _grow_state(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    first = _FIRST_FURTHER_PORT
    further = range(first, first + _FURTHER_ROUTES)
    scene.operator.further_routes = dict.fromkeys(further, scenes.FLOOR)
    await trio.sleep(fault.for_s)
    scene.operator.further_routes = {}
