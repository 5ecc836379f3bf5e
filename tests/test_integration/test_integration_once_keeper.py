"""The keeper of a running request dies, freezes or leaves."""

from __future__ import annotations

import trio

from tests.standins import once_scene
from tests.support import trios

_CALLERS = 9
_RUN_MS = 1500


@trios.trio_test
async def test_keeper_killed_while_requests_run() -> None:
    """A lot is booked twice because its keeper died and another one tried.

    Requests run at three upstreams when the keeper of one is killed. Only
    that keeper knew its requests, so these are unknown and must not be run
    through the ticket's other keeper. All others are answered.
    """
    plan = once_scene.make_plan(_RUN_MS)
    async with once_scene.run_scene(plan) as scene:
        await scene.begin_lots(_CALLERS)
        keeper, hit = await scene.find_busiest()
        await scene.deployment.kill_host(keeper)
        tally = await scene.settle()
    assert tally == once_scene.Tally(
        answered=_CALLERS - hit, unknown=hit, ran=_CALLERS
    )


@trios.trio_test
async def test_home_and_keeper_killed_while_requests_run() -> None:
    """A lot is refused as not run though it ran, as both who knew are dead.

    Requests run at three upstreams when their home and the keeper of one are
    killed together. The ticket's other keeper never saw some of the requests
    and says "not run"; that alone must not be believed.
    """
    plan = once_scene.make_plan(_RUN_MS)
    async with once_scene.run_scene(plan) as scene:
        home, _ = await scene.begin_lots(_CALLERS)
        keeper, hit = await scene.find_busiest()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scene.deployment.kill_host, keeper)
            nursery.start_soon(scene.deployment.kill_host, home)
        tally = await scene.settle()
    assert tally == once_scene.Tally(
        answered=_CALLERS - hit, unknown=hit, ran=_CALLERS
    )


@trios.trio_test
async def test_keeper_restarted_and_home_killed_while_requests_run() -> None:
    """A lot is refused as not run by a new process that knows of nothing.

    The keeper of running requests is killed and started again under its name
    and address, and then their home is killed. Who asks the keeper reaches
    the new process, whose table is empty: it must say that it is another.
    """
    plan = once_scene.make_plan(_RUN_MS)
    async with once_scene.run_scene(plan) as scene:
        home, _ = await scene.begin_lots(_CALLERS)
        keeper, hit = await scene.find_busiest()
        await scene.deployment.kill_host(keeper)
        await scene.deployment.start_host(keeper)
        await scene.deployment.kill_host(home)
        tally = await scene.settle()
    assert tally == once_scene.Tally(
        answered=_CALLERS - hit, unknown=hit, ran=_CALLERS
    )


@trios.trio_test
async def test_keeper_paused_while_requests_run_and_woken() -> None:
    """A lot is booked twice as a frozen keeper's request is tried elsewhere.

    The keeper of running requests is stopped by SIGSTOP, past the time after
    which all take it for dead, and wakes while callers still repeat. What it
    ran must not run again, whatever its home did meanwhile.
    """
    plan = once_scene.make_plan(_RUN_MS)
    async with once_scene.run_scene(plan) as scene:
        await scene.begin_lots(_CALLERS)
        keeper, _ = await scene.find_busiest()
        scene.deployment.pause_host(keeper)
        await scene.settle()
        scene.deployment.resume_host(keeper)
        tally = await scene.settle(after_s=3.0)
    assert tally.ran == _CALLERS


@trios.trio_test
async def test_keeper_paused_before_the_dispatch_and_woken() -> None:
    """A lot refused as not run is booked once its frozen keeper wakes.

    The keeper is stopped by SIGSTOP before requests come, so dispatches wait
    in its sockets. Its home is killed, other hosts take over, and callers
    book anew where they are told "not run". Then the keeper wakes and finds
    the old dispatches.
    """
    async with once_scene.run_scene(once_scene.make_plan()) as scene:
        home = await scene.find_spare()
        keeper = next(iter((await scene.find_keepers()).values()))
        callers = await scene.open_callers(_CALLERS, home)
        scene.deployment.pause_host(keeper)
        await scene.reserve_all(callers, home)
        await trio.sleep(0.3)
        await scene.deployment.kill_host(home)
        await scene.settle()
        scene.deployment.resume_host(keeper)
        tally = await scene.settle(after_s=3.0)
    assert tally.answered + tally.unknown == _CALLERS


@trios.trio_test
async def test_planned_stop_of_the_keeper_and_then_the_home_dies() -> None:
    """A buyer hears "unknown" of a booked lot after a planned change.

    Requests ran through a keeper that is then stopped as planned; it hands
    its table to its successor. After that the home is killed, and callers
    repeat. The successor must answer for what the former keeper ran.
    """
    plan = once_scene.make_plan(hosts=6)
    async with once_scene.run_scene(plan) as scene:
        home = await scene.find_spare()
        callers = await scene.open_callers(_CALLERS, home)
        await scene.reserve_all(callers, home)
        await scene.settle()
        keeper, _ = await scene.find_busiest("middle", "south")
        await scene.deployment.stop_host(keeper)
        await scene.deployment.kill_host(home)
        for caller in callers:
            caller.requests[0].answers.clear()
        tally = await scene.settle()
    assert tally == once_scene.Tally(answered=_CALLERS, ran=_CALLERS)


@trios.trio_test
async def test_planned_stop_of_the_keeper_killed_half_way() -> None:
    """A successor that got half a table declares a booked lot not run.

    The keeper of running requests gets SIGTERM and hands over the rows that
    have ended; it is killed before the others end, and the home with it.
    What its successor lacks must be unknown, never "not run".
    """
    plan = once_scene.make_plan(_RUN_MS, hosts=6)
    async with once_scene.run_scene(plan) as scene:
        home, _ = await scene.begin_lots(_CALLERS)
        keeper, hit = await scene.find_busiest("middle", "south")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scene.deployment.stop_host, keeper)
            await trio.sleep(0.6)
            await scene.deployment.kill_host(keeper)
            await scene.deployment.kill_host(home)
        tally = await scene.settle()
    assert tally == once_scene.Tally(
        answered=_CALLERS - hit, unknown=hit, ran=_CALLERS
    )
