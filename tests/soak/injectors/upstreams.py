"""Upstreams that die, start again, and leave their address to another one."""

from __future__ import annotations

import trio

from tests.soak import plan as plans
from tests.soak import scene as scenes
from tests.soak.injectors import base

# The platform removes the entry of a dead upstream after three heartbeats.
_LAPSE_S = 1.5
# Time from the death of an upstream to its next start, seconds.
_RESTART_S = 0.2
# Strength of a fault above which the former entry ends before the start.
_LAPSES_ABOVE = 0.6
# Share of the length of a fault for which a started upstream has no entry: less
# than three heartbeats, after which the platform would remove the former one.
_UNKNOWN_SHARE = 0.25
# How long an upstream that leaves goes on serving, seconds.
_LEAVE_S = 4.0
# An address may be used again so much later, seconds.
_REUSE_S = 2.0
# Time for callers to find that their upstream has ended, seconds.
_END_S = 4.0


@base.injectors.register(plans.FaultKind.CRASH_UPSTREAM.value)
async def _crash_upstream(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    place = base.find_spare_place(scene, fault)
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


@base.injectors.register(plans.FaultKind.RESTART_UPSTREAM.value)
async def _restart_upstream(
    scene: scenes.SoakScene, fault: plans.Fault
) -> None:
    place = base.find_spare_place(scene, fault)
    if place is None:
        return
    async with place.lock:
        with scene.disturbances.record(place.name):
            place.end()
            if fault.strength > _LAPSES_ABOVE:
                await trio.sleep(_LAPSE_S)
                await place.remove()
            await trio.sleep(_RESTART_S)
            await place.start_again(scene.nursery)
            await trio.sleep(fault.for_s * _UNKNOWN_SHARE)
            await place.write()
            await trio.sleep(_END_S)


@base.injectors.register(plans.FaultKind.REPLACE_UPSTREAM.value)
async def _replace_upstream(
    scene: scenes.SoakScene, fault: plans.Fault
) -> None:
    place = base.find_spare_place(scene, fault)
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
