"""Faults of the store, for all hosts or for one."""

from __future__ import annotations

import contextlib
import time

import trio

from tests.soak import disturbances as disturbance_lists
from tests.soak import plan as plans
from tests.soak import scene as scenes
from tests.soak import upstreams
from tests.soak.injectors import base
from tests.standins import faults_rules as rules

# Entries that ended in an outage are back within this, seconds; the platform
# promises it within the other.
_BACK_S = 1.5
_PROMISED_BACK_S = 2.0
# The most that a slow store of the users takes for an answer, seconds.
_SLOW_S = 0.4
_REFUSALS = (429, 503)


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


@base.injectors.register(plans.FaultKind.STORE_DOWN.value)
async def _store_down(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    await _harm_store(scene, fault.for_s, down=True)


@base.injectors.register(plans.FaultKind.STORE_SLOW.value)
async def _store_slow(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    await _harm_store(scene, fault.for_s, delay_s=_SLOW_S * fault.strength)


@base.injectors.register(plans.FaultKind.STORE_REFUSES.value)
async def _store_refuses(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    status = _REFUSALS[fault.place % len(_REFUSALS)]
    await _harm_store(scene, fault.for_s, refuse_status=status)


@base.injectors.register(plans.FaultKind.STORE_LAPSES.value)
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


@base.injectors.register(plans.FaultKind.STORE_FORGETS.value)
async def _store_forgets(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    with scene.disturbances.record(disturbance_lists.STORE):
        await scene.deployment.store.compact()
        await trio.sleep(fault.for_s)


@base.injectors.register(plans.FaultKind.CUT_STORE.value)
async def _cut_store(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = base.find_host(scene, fault)
    ways = (rules.Direction.FORWARD, rules.Direction.BACK, None)
    way = ways[int(fault.strength * 3) % len(ways)]
    harm = rules.Fault(cut=True)
    name = f"store {host.name}"
    await base.harm_mapping(scene, host.name, name, harm, fault.for_s, way)


@base.injectors.register(plans.FaultKind.RESET_STORE.value)
async def _reset_store(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = base.find_host(scene, fault)
    with scene.disturbances.record(host.name):
        await scene.proxies.reset(f"store {host.name}")
        await trio.sleep(fault.for_s)


@base.injectors.register(plans.FaultKind.SILENCE_STORE.value)
async def _silence_store(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = base.find_host(scene, fault)
    with scene.disturbances.record(host.name):
        await scene.proxies.black_hole(f"store {host.name}")
        await trio.sleep(fault.for_s)
