"""Large answers and uploads across a host's death."""

from __future__ import annotations

import trio

from tests.standins import answer_checks
from tests.standins import once_scene
from tests.support import trios

_SERVICE = once_scene.SERVICE
_CALLERS = 12
_ROUNDS = 2
_OCTETS = 30_000
_FIRST_S = 0.4
# The fabric learns late that a host is dead, and sends to it until then.
_FABRIC_LAG_S = 1.0


@trios.trio_test
async def test_large_bodies_while_hosts_die() -> None:
    """A buyer's list of lots has a hole, or is made of two lists.

    Callers fetch and upload bodies of many blocks while two hosts are killed
    one after the other; blocks kept there are gone. Each answer must be
    whole, and an upload that ran must have run once with its whole body.
    """
    plan = once_scene.make_plan(hosts=6)
    async with once_scene.run_scene(plan) as scene:
        address = scene.deployment.layout.service_address(_SERVICE)
        checks = answer_checks.AnswerChecks(address, _SERVICE, seed=7)
        spare = await scene.find_spare()
        keeper = (await scene.find_keepers())[f"{_SERVICE}-middle-1"]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(checks.run, _CALLERS, _ROUNDS, _OCTETS)
            for host in (spare, keeper):
                await trio.sleep(_FIRST_S)
                await scene.deployment.kill_host(host)
                await trio.sleep(_FABRIC_LAG_S)
                await scene.deployment.fabric.remove_host(host)
        runs = scene.count_runs()
    assert all(count == 1 for count in runs.values()), runs
    assert set(runs) <= set(checks.keys)
    # Requests at the killed keeper are unknown; all that is idempotent is
    # answered.
    fetches = [f for f in checks.failed if f.startswith("fetch")]
    assert not fetches, fetches
    assert checks.checked > 0.7 * 3 * _CALLERS * _ROUNDS, checks.failed
