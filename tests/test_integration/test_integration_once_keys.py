"""The ticket key is rotated between a request and its copies."""

from __future__ import annotations

import trio

from persimmonhinge.ctl import exits
from tests.standins import once_scene
from tests.support import trios

_CALLERS = 5
_RUN_MS = 1500
_EARLY_LIFE_S = 0.2
_LIMIT_S = 20.0
_POLL_S = 0.3


@trios.trio_test
async def test_key_rotated_while_requests_run_and_the_home_dies() -> None:
    """A buyer hears "unknown" of a booked lot because a key was replaced.

    Requests run under tickets of one key; operators make another one mint,
    and the home dies. Copies still carry the former key's tickets, which
    every host must accept, and each caller gets its answer.
    """
    plan = once_scene.make_plan(_RUN_MS)
    async with once_scene.run_scene(plan) as scene:
        home = await scene.find_spare()
        callers = await scene.open_callers(_CALLERS, home)
        await scene.reserve_all(callers, home)
        await scene.wait_runs(_CALLERS)
        await scene.deployment.ctl("keys", "rotate")
        await scene.deployment.kill_host(home)
        tally = await scene.settle()
    assert tally == once_scene.Tally(answered=_CALLERS, ran=_CALLERS)


@trios.trio_test
async def test_key_retired_early_while_copies_are_under_way() -> None:
    """A lot is booked twice because a retired key made its host forget it.

    Lots are booked; a key is retired long before its tickets have expired,
    by operators who set too short a life. Copies of the requests come with
    tickets that nobody can check any more. They ran, so 4.01, which makes a
    caller send again, would be wrong: 5.04 is all that may be said.
    """
    async with once_scene.run_scene(once_scene.make_plan()) as scene:
        home = await scene.find_spare()
        callers = await scene.open_callers(_CALLERS, home)
        await scene.reserve_all(callers, home)
        await scene.settle()
        scene.deployment.ctl_ticket_life_s = _EARLY_LIFE_S
        await scene.deployment.ctl("keys", "rotate")
        await _retire(scene)
        for caller in callers:
            caller.requests[0].answers.clear()
        tally = await scene.settle()
    assert (tally.ran, tally.refused) == (_CALLERS, 0)
    told = [o for c in callers for r in c.requests for o in r.outcomes]
    assert once_scene.Outcome.UNKNOWN in told


async def _retire(scene: once_scene.OnceScene) -> None:
    with trio.fail_after(_LIMIT_S):
        while True:
            done = await scene.deployment.ctl("keys", "retire", check=False)
            if done.returncode == exits.ExitCode.OK:
                break
            await trio.sleep(_POLL_S)
    # News takes a moment to each host; what is asked for is the time after.
    await trio.sleep(2 * _POLL_S)
