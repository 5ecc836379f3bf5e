"""The link between home and keeper is cut while a request runs."""

from __future__ import annotations

import trio

from tests.standins import load_callers
from tests.standins import once_scene
from tests.support import trios

_CALLERS = 9
_RUN_MS = 1500
_RARE = 0.15
_LONG_CUTS_S = (2.5, 4.0, 6.0)


@trios.trio_test
async def test_link_cut_after_the_dispatch_and_healed() -> None:
    """A buyer hears "unknown" of a lot only because a link broke for a bit.

    Requests run when all between their home and the others is cut, before
    the answers could come back. It heals after the runs have ended. The
    keepers live and know: nothing runs twice, and most get their answer.
    """
    plan = once_scene.make_plan(_RUN_MS)
    async with once_scene.run_scene(plan) as scene:
        home = await scene.find_spare()
        others = [h for h in scene.deployment.names() if h != home]
        callers = await scene.open_callers(_CALLERS, home)
        await scene.reserve_all(callers, home)
        await scene.wait_runs(_CALLERS)
        await scene.deployment.cut_both_ways([home], others)
        await trio.sleep(_RUN_MS / 1000)
        await scene.deployment.heal()
        tally = await scene.settle()
    assert tally == once_scene.Tally(answered=_CALLERS, ran=_CALLERS)


@trios.trio_test
async def test_link_cut_for_seconds_after_the_dispatch_and_healed() -> None:
    """A buyer hears "unknown" of a lot whose home is cut off for seconds."""
    for cut_s in _LONG_CUTS_S:
        plan = once_scene.make_plan(_RUN_MS)
        async with once_scene.run_scene(plan) as scene:
            home, _ = await scene.begin_lots(_CALLERS)
            others = [h for h in scene.deployment.names() if h != home]
            await scene.deployment.cut_both_ways([home], others)
            await trio.sleep(cut_s)
            await scene.deployment.heal()
            tally = await scene.settle()
        expected = once_scene.Tally(answered=_CALLERS, ran=_CALLERS)
        assert tally == expected, (cut_s, tally)


@trios.trio_test
async def test_links_reset_while_requests_run() -> None:
    """A buyer hears "unknown" of a lot only because a connection was reset.

    Requests run when something between the hosts resets all connections.
    The home loses its calls, but the keepers live and still run them: it
    must ask them by a new link instead of giving up, and try no other one.
    """
    plan = once_scene.make_plan(_RUN_MS)
    async with once_scene.run_scene(plan) as scene:
        await scene.begin_lots(_CALLERS)
        await scene.deployment.proxy.reset()
        tally = await scene.settle()
    assert tally == once_scene.Tally(answered=_CALLERS, ran=_CALLERS)


@trios.trio_test
async def test_home_cut_off_while_others_answer_for_it() -> None:
    """Two hosts answer one request, each in its own way, during a cut.

    Requests run when their home is cut off from all other hosts for long.
    Copies go to both sides: the others take the home for dead and ask the
    keepers, while the home itself still has their rows. No answer of either
    side may contradict the log, during the cut and after it.
    """
    plan = once_scene.make_plan(_RUN_MS)
    async with once_scene.run_scene(plan) as scene:
        home = await scene.find_spare()
        others = [h for h in scene.deployment.names() if h != home]
        callers = await scene.open_callers(_CALLERS, home)
        await scene.reserve_all(callers, home)
        await scene.wait_runs(_CALLERS)
        await scene.deployment.cut_both_ways([home], others)
        await scene.deployment.pages.wait_sees(others, others)
        tally = await scene.settle(others)
        assert tally == once_scene.Tally(answered=_CALLERS, ran=_CALLERS)
        await scene.settle([home])
        await scene.deployment.heal()
        tally = await scene.settle(after_s=3.0)
    assert tally == once_scene.Tally(answered=_CALLERS, ran=_CALLERS)


@trios.trio_test
async def test_requests_sent_into_a_cut_and_declared_not_run() -> None:
    """A lot refused as not run is booked when an old link comes back.

    Home and keepers are cut, then requests come: dispatches are written to
    links that carry nothing. The others take the home for dead, the keepers
    promise that nothing ran, and callers book anew. Then it heals, and what
    stood in the links arrives.
    """
    async with once_scene.run_scene(once_scene.make_plan()) as scene:
        home = await scene.find_spare()
        others = [h for h in scene.deployment.names() if h != home]
        callers = await scene.open_callers(_CALLERS, home)
        await scene.deployment.cut_both_ways([home], others)
        await scene.reserve_all(callers, home)
        await scene.deployment.pages.wait_sees(others, others)
        await scene.settle(others)
        await scene.deployment.heal()
        tally = await scene.settle(after_s=3.0)
    assert tally.answered == tally.ran == _CALLERS


@trios.trio_test
async def test_link_cut_one_way() -> None:
    """A lot is booked twice when only answers between hosts are lost.

    What the keepers send to the home is lost for good, while dispatches
    still arrive: requests run, and the home hears nothing. Copies go to all
    hosts. After a while it heals.
    """
    async with once_scene.run_scene(once_scene.make_plan()) as scene:
        home = await scene.find_spare()
        others = [h for h in scene.deployment.names() if h != home]
        callers = await scene.open_callers(_CALLERS, home)
        await scene.deployment.cut_hosts(others, [home])
        await scene.reserve_all(callers, home)
        await scene.settle()
        await scene.deployment.heal()
        tally = await scene.settle(after_s=3.0)
    assert tally.answered + tally.unknown == _CALLERS


@trios.trio_test
async def test_unknown_is_rare_while_packets_reach_both_sides_of_a_cut() -> (
    None
):
    """Half of all buyers hear "unknown" while a hall is cut off.

    A failure domain is cut off from the others, and the fabric goes on to
    hand packets of each flow to both sides. A copy that comes to the side
    without the home must not be answered "unknown" at once: the other side
    runs it and answers. The caller's next copies find that side.
    """
    async with once_scene.run_scene(once_scene.make_plan(hosts=6)) as scene:
        deployment = scene.deployment
        north = deployment.names("north")
        others = deployment.names("middle", "south")
        async with load_callers.run_callers(
            deployment, once_scene.SERVICE
        ) as callers:
            await callers.wait_answered(10)
            await deployment.cut_both_ways(north, others)
            await deployment.pages.wait_sees(north, north)
            await deployment.pages.wait_sees(others, others)
            before = len(callers.records)
            await callers.wait_answered(60)
            ended = callers.records[before:]
    unknown = [r for r in ended if r.outcome is once_scene.Outcome.UNKNOWN]
    assert len(unknown) < _RARE * len(ended), (len(unknown), len(ended))
