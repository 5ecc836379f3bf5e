"""An upstream address moves to another service while hosts know unevenly."""

from __future__ import annotations

import aiocoap
import trio

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract as contracts
from tests.standins import once_scene
from tests.standins import plan as plans
from tests.standins import raw_caller as callers
from tests.standins import services_scene
from tests.support import trios

_FLOOR = services_scene.FLOOR
_INTAKE = services_scene.INTAKE
_CALLERS = 8
_ROUNDS = 30
_GAP_S = 0.05
_UPSTREAM = f"{_FLOOR}-north-1"


@trios.trio_test
async def test_address_moves_while_the_keeper_is_paused() -> None:
    """A lot reservation of the floor is run by the intake's machine.

    The keeper of a floor upstream is stopped by SIGSTOP with requests in its
    socket. Operators give the address to the intake, whose process listens
    there now. The keeper wakes with its old contract, in which the address
    is the floor's, and finds the requests. None may get to the upstream.
    """
    plan = services_scene.make_plan()
    async with once_scene.run_scene(plan) as scene:
        keeper = await _find_keeper(scene)
        floor = [await scene.open_caller() for _ in range(_CALLERS)]
        places = [scene.address(keeper, _FLOOR)]
        for caller in floor:
            await caller.fetch_ticket(places)
        names = scene.deployment.names()
        others = [name for name in names if name != keeper]
        scene.deployment.pause_host(keeper)
        await scene.deployment.pages.wait_sees(others, others)
        # The platform's news would else wait in a socket, too, and might be
        # read first.
        await scene.deployment.cut_platform("north")
        await _move(scene)
        sent = {}
        for number, caller in enumerate(floor):
            for copy in range(4):
                key = f"floor-{number}-{copy}"
                sent[key] = _FLOOR
                await caller.reserve(key, *places)
                await _read(caller, *places)
        scene.deployment.resume_host(keeper)
        await scene.deployment.pages.wait_sees(names, names)
        await _read_all(floor, scene.addresses(_FLOOR))
        services_scene.check_no_stray(scene.read_log(), sent)


@trios.trio_test
async def test_address_moves_under_load() -> None:
    """A packet of the floor reaches an upstream that is now the intake's.

    Callers of both services send all the while, to all hosts, while an
    address is taken from the floor, its process replaced by one of the
    intake, and the address given to the intake. Hosts learn of it unevenly.
    """
    plan = services_scene.make_plan()
    async with once_scene.run_scene(plan) as scene:
        floor = [await scene.open_caller() for _ in range(_CALLERS)]
        intake = [await scene.open_caller() for _ in range(_CALLERS)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_read_for_ever, floor, scene.addresses(_FLOOR))
            nursery.start_soon(_read_for_ever, intake, scene.addresses(_INTAKE))
            await trio.sleep(0.5)
            await _move(scene)
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        services_scene.check_no_stray(scene.read_log(), {})


async def _move(scene: once_scene.OnceScene) -> None:
    """Gives the address of a floor upstream to the intake."""
    deployment = scene.deployment
    floor = services_scene.find_contract(deployment, _FLOOR)
    rest = tuple(u for u in floor.upstreams if u.id != _UPSTREAM)
    await deployment.apply(floor.model_copy(update={"upstreams": rest}))
    moved = floor.get_upstream(ids.UpstreamId(_UPSTREAM))
    assert moved is not None
    await deployment.upstreams[_UPSTREAM].kill()
    planned = plans.UpstreamPlan(_UPSTREAM, moved.domain, moved.slots)
    await deployment.start_upstream(_INTAKE, planned)
    intake = services_scene.find_contract(deployment, _INTAKE)
    named: contracts.Upstream = moved.model_copy(update={"id": "moved"})
    more = (*intake.upstreams, named)
    await deployment.apply(intake.model_copy(update={"upstreams": more}))


async def _find_keeper(scene: once_scene.OnceScene) -> str:
    explained = await scene.explain(("127.0.0.1", 1), _FLOOR)
    return next(
        str(u["keeper"])
        for u in explained["upstreams"]
        if u["upstream"] == _UPSTREAM
    )


async def _read(caller: callers.RawCaller, *places: callers.Address) -> None:
    message = codec.Message(code=aiocoap.GET)
    message.opt.uri_path = ("time",)
    await caller.send(caller.write(message, "read").octets, *places)


async def _read_all(
    some: list[callers.RawCaller], places: list[callers.Address]
) -> None:
    for round_number in range(_ROUNDS):
        for number, caller in enumerate(some):
            await _read(caller, places[(round_number + number) % len(places)])
        await trio.sleep(_GAP_S)


async def _read_for_ever(
    some: list[callers.RawCaller], places: list[callers.Address]
) -> None:
    while True:
        await _read_all(some, places)
