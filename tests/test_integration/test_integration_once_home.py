"""The home of a request dies or is paused; the request runs at most once."""

from __future__ import annotations

import trio

from tests.standins import once_scene
from tests.support import trios

_CALLERS = 5
_RUN_MS = 1500


@trios.trio_test
async def test_home_killed_before_the_request_arrives() -> None:
    """A buyer hears "unknown" of a lot that nobody ever tried to book.

    Callers hold tickets of a home. It is killed, and then they send their
    requests to other hosts. The keepers of the tickets live and know that
    nothing ran, so each is refused as not run, and booked by a second
    request. Copies of the first that come later must not run.
    """
    async with once_scene.run_scene(once_scene.make_plan()) as scene:
        home = await scene.find_spare()
        callers = await scene.open_callers(_CALLERS, home)
        await scene.deployment.kill_host(home)
        await scene.reserve_all(callers, home)
        tally = await scene.settle()
    assert tally == once_scene.Tally(
        answered=_CALLERS, retried=_CALLERS, ran=_CALLERS
    )


@trios.trio_test
async def test_home_killed_while_the_request_runs() -> None:
    """A buyer is billed twice, or never told that the lot is booked.

    Requests run at their upstreams when their home is killed. Callers repeat
    them to all other hosts. The keepers, which still run them, must join the
    copies to the running work and give each caller the one answer.
    """
    plan = once_scene.make_plan(_RUN_MS)
    async with once_scene.run_scene(plan) as scene:
        home, _ = await scene.begin_lots(_CALLERS)
        await scene.deployment.kill_host(home)
        tally = await scene.settle()
    assert tally == once_scene.Tally(answered=_CALLERS, ran=_CALLERS)


@trios.trio_test
async def test_home_killed_after_the_request_ran() -> None:
    """A buyer who lost the answer on the way books the lot twice.

    Requests ran and were answered, and then the home is killed. Callers that
    missed the answer repeat the same datagrams to other hosts: they must get
    the kept answers from the keepers, and nothing runs again.
    """
    async with once_scene.run_scene(once_scene.make_plan()) as scene:
        home = await scene.find_spare()
        callers = await scene.open_callers(_CALLERS, home)
        await scene.reserve_all(callers, home)
        await scene.settle()
        await scene.deployment.kill_host(home)
        for caller in callers:
            caller.requests[0].answers.clear()
        tally = await scene.settle()
    assert tally == once_scene.Tally(answered=_CALLERS, ran=_CALLERS)


@trios.trio_test
async def test_home_paused_while_the_request_runs_and_woken() -> None:
    """A buyer is told two things, or billed twice, after a host froze.

    Requests run when their home is stopped by SIGSTOP. Copies go to other
    hosts until those have answered from the keepers. Then the home wakes,
    gets the answers that waited for it and more copies. Nothing may run
    twice, and what any host ever said must fit.
    """
    plan = once_scene.make_plan(_RUN_MS)
    async with once_scene.run_scene(plan) as scene:
        home, _ = await scene.begin_lots(_CALLERS)
        scene.deployment.pause_host(home)
        await scene.settle()
        scene.deployment.resume_host(home)
        tally = await scene.settle(after_s=3.0)
    assert tally == once_scene.Tally(answered=_CALLERS, ran=_CALLERS)


@trios.trio_test
async def test_home_paused_before_the_request_and_woken() -> None:
    """A lot that was refused as not run is booked behind the buyer's back.

    The home is stopped by SIGSTOP before copies reach it, so they wait in
    its socket. Other hosts take it for dead, the keepers promise that the
    requests did not run, and callers book anew. Then the home wakes and
    finds the first copies, which it may no longer run.
    """
    async with once_scene.run_scene(once_scene.make_plan()) as scene:
        home = await scene.find_spare()
        callers = await scene.open_callers(_CALLERS, home)
        scene.deployment.pause_host(home)
        await scene.reserve_all(callers, home)
        await scene.settle()
        scene.deployment.resume_host(home)
        tally = await scene.settle(after_s=3.0)
    assert tally.ran == tally.answered == _CALLERS
    assert tally.retried >= _CALLERS


@trios.trio_test
async def test_home_restarted_under_its_address() -> None:
    """A lot is booked twice because a new process knows nothing of it.

    Requests run when their home is killed. A new process starts at once
    under the same name, address and ports, and copies go to it alone. It is
    another incarnation with an empty table: it must ask the keepers.
    """
    plan = once_scene.make_plan(_RUN_MS)
    async with once_scene.run_scene(plan) as scene:
        home, _ = await scene.begin_lots(_CALLERS)
        await scene.deployment.kill_host(home)
        await scene.deployment.start_host(home)
        tally = await scene.settle([home])
        await scene.settle()
    assert tally == once_scene.Tally(answered=_CALLERS, ran=_CALLERS)


@trios.trio_test
async def test_planned_stop_of_the_home_killed_half_way() -> None:
    """A buyer loses an answer when a host's planned stop is cut short.

    Requests run when their home gets SIGTERM; it waits for them, but is
    killed before they end. Copies go to the other hosts, some of which know
    it as leaving and some as dead.
    """
    plan = once_scene.make_plan(_RUN_MS)
    async with once_scene.run_scene(plan) as scene:
        home, _ = await scene.begin_lots(_CALLERS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scene.deployment.stop_host, home)
            await trio.sleep(0.7)
            await scene.deployment.kill_host(home)
        tally = await scene.settle()
    assert tally == once_scene.Tally(answered=_CALLERS, ran=_CALLERS)
