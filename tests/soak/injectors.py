"""What each kind of fault does."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import os
import signal
import time

import trio

from persimmonhinge import registry
from tests.soak import clocked_host
from tests.soak import disturbances as disturbance_lists
from tests.soak import plan as plans
from tests.soak import scene as scenes
from tests.soak import upstreams
from tests.standins import faults_rules as rules
from tests.standins import forwarding_deployment as deployments

Injector = Callable[[scenes.SoakScene, plans.Fault], Awaitable[None]]
injectors: registry.Registry[Injector] = registry.Registry("injector")

# A host that was told to stop has ended by then, seconds: the limit of its
# settings, and time for a busy machine.
_STOP_LIMIT_S = 6.0
_READY_LIMIT_S = 30.0
# The platform removes the entry of a dead upstream after three heartbeats.
_LAPSE_S = 1.5
# Entries that ended in an outage are back by then, seconds.
_BACK_S = 1.5
_PROMISED_BACK_S = 2.0
# How long an upstream that leaves goes on serving, seconds.
_LEAVE_S = 4.0
# An address may be used again so much later, seconds.
_REUSE_S = 2.0
# Time for callers to find that their upstream has ended, seconds.
_END_S = 4.0
_MOST_STEP_S = 4000.0
_LOST, _DOUBLED, _REORDERED = 0.2, 0.1, 0.2
_DELAY_S = 0.15
_SLOW_S = 0.4
_REFUSALS = (429, 503)
# These places never lose their upstream, so that each service has two live
# ones at any time.
_LASTING_PLACES = 6


async def inject(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    """Makes a fault, and ends it after its time."""
    await injectors.get(fault.kind.value)(scene, fault)


def _host(
    scene: scenes.SoakScene, fault: plans.Fault
) -> deployments.ForwardHost:
    hosts = scene.deployment.hosts
    return hosts[fault.place % len(hosts)]


async def _kill(
    scene: scenes.SoakScene, host: deployments.ForwardHost, down_s: float
) -> None:
    async with scene.locks[host.name]:
        with scene.disturbances.record(host.name):
            await host.stop(signal.SIGKILL)
            await trio.sleep(down_s)
            await _start(scene, host)


async def _start(
    scene: scenes.SoakScene, host: deployments.ForwardHost
) -> None:
    await scene.start_host(host)
    with trio.move_on_after(_READY_LIMIT_S):
        while not await scene.deployment.is_ready(host):
            await trio.sleep(0.05)
        return
    scene.failures.append(f"{host.name} is not ready after its start")


@injectors.register(plans.FaultKind.KILL_HOST.value)
async def _kill_host(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    await _kill(scene, _host(scene, fault), fault.for_s)


@injectors.register(plans.FaultKind.KILL_ALL.value)
async def _kill_all(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    async with trio.open_nursery() as nursery:
        for host in scene.deployment.hosts:
            nursery.start_soon(_kill, scene, host, fault.strength)


@injectors.register(plans.FaultKind.PAUSE_HOST.value)
async def _pause_host(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = _host(scene, fault)
    process = host.process
    if process is None:
        return
    with scene.disturbances.record(host.name):
        _signal(process, signal.SIGSTOP)
        try:
            await trio.sleep(fault.for_s)
        finally:
            _signal(process, signal.SIGCONT)


def _signal(process: trio.Process, number: signal.Signals) -> None:
    """Sends a signal, unless the process has ended meanwhile."""
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(number)


async def _roll(scene: scenes.SoakScene, host: deployments.ForwardHost) -> None:
    async with scene.locks[host.name]:
        with scene.disturbances.record(host.name, planned=True):
            began_at = time.monotonic()
            code = await host.end(_STOP_LIMIT_S)
            if code is None:
                # The platform kills what has not stopped within its limit.
                await host.stop(signal.SIGKILL)
            paused = scene.disturbances.is_disturbed(host.name, began_at)
            if code != 0 and not paused:
                text = f"{host.name} ended with {code} after SIGTERM"
                scene.failures.append(text)
            await _start(scene, host)


@injectors.register(plans.FaultKind.ROLL_HOST.value)
async def _roll_host(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    await _roll(scene, _host(scene, fault))


@injectors.register(plans.FaultKind.ROLL_ALL.value)
async def _roll_all(scene: scenes.SoakScene, _: plans.Fault) -> None:
    for host in scene.deployment.hosts:
        await _roll(scene, host)


@injectors.register(plans.FaultKind.RELOAD_HOST.value)
async def _reload_host(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = _host(scene, fault)
    level = "DEBUG" if fault.strength < 0.5 else "INFO"
    host.change_settings(log_level=level)
    if fault.place % 2 and host.process is not None:
        _signal(host.process, signal.SIGHUP)
    await trio.sleep(fault.for_s)


@injectors.register(plans.FaultKind.STEP_CLOCK.value)
async def _step_clock(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = _host(scene, fault)
    path = host.settings.with_suffix(clocked_host.CLOCK_SUFFIX)
    written = path.with_suffix(".new")
    written.write_text(str((fault.strength - 0.5) * _MOST_STEP_S))
    os.replace(written, path)
    await trio.sleep(fault.for_s)
    path.unlink(missing_ok=True)


async def _harm(
    scene: scenes.SoakScene,
    what: str,
    mapping: str,
    fault: rules.Fault,
    for_s: float,
    direction: rules.Direction | None = None,
) -> None:
    with scene.disturbances.record(what):
        scene.proxy.table.set(fault, name=mapping, direction=direction)
        try:
            await trio.sleep(for_s)
        finally:
            scene.proxy.table.set(
                rules.NO_FAULT, name=mapping, direction=direction
            )


def _packets(scene: scenes.SoakScene, host: deployments.ForwardHost) -> str:
    return f"{scene.deployment.packet_port} {host.name}"


@injectors.register(plans.FaultKind.LOSE_PACKETS.value)
async def _lose_packets(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = _host(scene, fault)
    harm = rules.Fault(drop=_LOST, duplicate=_DOUBLED, reorder=_REORDERED)
    await _harm(scene, host.name, _packets(scene, host), harm, fault.for_s)


@injectors.register(plans.FaultKind.CUT_PACKETS.value)
async def _cut_packets(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = _host(scene, fault)
    harm = rules.Fault(cut=True)
    await _harm(scene, host.name, _packets(scene, host), harm, fault.for_s)


@injectors.register(plans.FaultKind.DELAY_PACKETS.value)
async def _delay_packets(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = _host(scene, fault)
    harm = rules.Fault(delay_s=_DELAY_S * fault.strength)
    await _harm(scene, host.name, _packets(scene, host), harm, fault.for_s)


async def _harm_store(
    scene: scenes.SoakScene, for_s: float, **faults: object
) -> None:
    """Makes faults of the store, which all end together."""
    async with scene.store_lock:
        await _harm_store_now(scene, for_s, **faults)


async def _harm_store_now(
    scene: scenes.SoakScene, for_s: float, **faults: object
) -> None:
    store = scene.deployment.store
    with scene.disturbances.record(disturbance_lists.STORE):
        await store.set_faults(**faults)
        await trio.sleep(for_s)
        await store.set_faults(down=False, delay_s=0, refuse_status=0)


@injectors.register(plans.FaultKind.STORE_DOWN.value)
async def _store_down(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    await _harm_store(scene, fault.for_s, down=True)


@injectors.register(plans.FaultKind.STORE_SLOW.value)
async def _store_slow(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    await _harm_store(scene, fault.for_s, delay_s=_SLOW_S * fault.strength)


@injectors.register(plans.FaultKind.STORE_REFUSES.value)
async def _store_refuses(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    status = _REFUSALS[fault.place % len(_REFUSALS)]
    await _harm_store(scene, fault.for_s, refuse_status=status)


@injectors.register(plans.FaultKind.STORE_LAPSES.value)
async def _store_lapses(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(scene.store_lock)
        places = [p for p in scene.places if not p.lock.locked()]
        for place in places:
            await stack.enter_async_context(place.lock)
        with scene.disturbances.record(disturbance_lists.STORE):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_take_store_down, scene, fault.for_s)
                await trio.sleep(fault.for_s / 2)
                for place in places:
                    await place.remove()
            back_at = time.monotonic()
            await trio.sleep(_BACK_S * fault.strength)
            async with trio.open_nursery() as nursery:
                for place in places:
                    nursery.start_soon(place.write)
            _excuse_if_late(scene, places, back_at)


def _excuse_if_late(
    scene: scenes.SoakScene,
    places: list[upstreams.UpstreamPlace],
    back_at: float,
) -> None:
    """Notes upstreams whose entries came back too late to be believed.

    The platform promises them within two seconds of the store's return; a
    busy machine may write them later. Hosts then rightly take them for gone.
    """
    if time.monotonic() - back_at > _PROMISED_BACK_S:
        for place in places:
            scene.board.late_ids.add(place.current.id)


async def _take_store_down(scene: scenes.SoakScene, for_s: float) -> None:
    await _harm_store_now(scene, for_s, down=True)


@injectors.register(plans.FaultKind.STORE_FORGETS.value)
async def _store_forgets(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    with scene.disturbances.record(disturbance_lists.STORE):
        await scene.deployment.store.compact()
        await trio.sleep(fault.for_s)


@injectors.register(plans.FaultKind.CUT_STORE.value)
async def _cut_store(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = _host(scene, fault)
    ways = (rules.Direction.FORWARD, rules.Direction.BACK, None)
    way = ways[int(fault.strength * 3) % len(ways)]
    harm = rules.Fault(cut=True)
    name = f"store {host.name}"
    await _harm(scene, host.name, name, harm, fault.for_s, way)


@injectors.register(plans.FaultKind.RESET_STORE.value)
async def _reset_store(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = _host(scene, fault)
    with scene.disturbances.record(host.name):
        scene.proxy.reset(f"store {host.name}")
        await trio.sleep(fault.for_s)


@injectors.register(plans.FaultKind.SILENCE_STORE.value)
async def _silence_store(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = _host(scene, fault)
    with scene.disturbances.record(host.name):
        scene.proxy.black_hole(f"store {host.name}")
        await trio.sleep(fault.for_s)


def _place(
    scene: scenes.SoakScene, fault: plans.Fault
) -> upstreams.UpstreamPlace | None:
    """Returns a place that may lose its upstream."""
    places = scene.places[_LASTING_PLACES:]
    return places[fault.place % len(places)] if places else None


@injectors.register(plans.FaultKind.CRASH_UPSTREAM.value)
async def _crash_upstream(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    place = _place(scene, fault)
    if place is None:
        return
    async with place.lock:
        with scene.disturbances.record(place.name):
            place.end()
            await trio.sleep(_LAPSE_S)
            await place.remove()
            await trio.sleep(fault.for_s)
            await place.start(scene.nursery, place.service)
            await trio.sleep(_END_S)


@injectors.register(plans.FaultKind.REPLACE_UPSTREAM.value)
async def _replace_upstream(
    scene: scenes.SoakScene, fault: plans.Fault
) -> None:
    place = _place(scene, fault)
    if place is None:
        return
    async with place.lock:
        await place.drain()
        await trio.sleep(_LEAVE_S + fault.strength)
        with scene.disturbances.record(place.name):
            place.end()
            await place.remove()
            await trio.sleep(_REUSE_S)
            others = {scenes.FLOOR: scenes.INTAKE, scenes.INTAKE: scenes.FLOOR}
            await place.start(scene.nursery, others[place.service])
            await trio.sleep(_END_S)


@injectors.register(plans.FaultKind.CUT_UPSTREAM.value)
async def _cut_upstream(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    place = scene.places[fault.place % len(scene.places)]
    harm = rules.Fault(cut=True)
    await _harm(scene, place.name, place.name, harm, fault.for_s)


@injectors.register(plans.FaultKind.DELAY_UPSTREAM.value)
async def _delay_upstream(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    place = scene.places[fault.place % len(scene.places)]
    harm = rules.Fault(delay_s=_DELAY_S * fault.strength)
    await _harm(scene, place.name, place.name, harm, fault.for_s)
