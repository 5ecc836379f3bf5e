"""No upstream carries more than its slots."""

from __future__ import annotations

import time

import trio

from persimmonhinge.contracts import contract as contracts
from persimmonhinge.load import executions as execution_logs
from tests.standins import load_callers
from tests.standins import plan as plans
from tests.standins import processes
from tests.standins import upstream_control
from tests.support import trios
from tests.test_integration import load_plans
from tests.test_integration import settled

_SLOTS = 2
_EXCESS = "excess"
_CALLERS = 18
# The longest time in which hosts disagree on who keeps an upstream, with
# room for a busy machine.
_CHANGE_S = 10.0
_SLOW_START_S = 4.0
_COLD_SLOTS = 4
_RUN_S = 0.25


async def _check_slots(deployment: processes.Deployment) -> None:
    for name in deployment.upstreams:
        stats = await upstream_control.read_stats(deployment, name)
        assert stats["max_concurrency"] == _SLOTS, (name, stats)


@trios.trio_test
async def test_slots_hold_under_load_and_while_keepers_change() -> None:
    """An upstream gets more work than its contract says.

    Buyers want more than all slots. A keeper stops as planned, then another
    one is killed, and both times another host takes over while requests of
    the former keeper still run. In steady state there is no excess at all;
    in the moment of a change the upstream sheds it, the host counts it, and
    no request runs twice or is lost.
    """
    async with settled.run_settled(load_plans.make_plan()) as deployment:
        pages = deployment.pages
        changes = []
        async with load_callers.run_callers(
            deployment, load_plans.SERVICE, _CALLERS
        ) as callers:
            await callers.wait_answered(150)
            assert not load_plans.read_log(deployment, _EXCESS)
            await _check_slots(deployment)
            keepers = await load_plans.find_keepers(deployment)
            stopped, killed = list(keepers.values())[:2]
            changes.append(time.time())
            assert await deployment.stop_host(stopped) == 0
            await callers.wait_answered(100)
            changes.append(time.time())
            await deployment.kill_host(killed)
            await callers.wait_answered(150)
        excess = load_plans.read_log(deployment, _EXCESS)
        living = [h for h in deployment.hosts if h not in (stopped, killed)]
        counted = 0
        for host in living:
            counted += await pages.count(host, "keeper_sheds_total")
        await _check_slots(deployment)
    assert all(
        any(change <= line.t <= change + _CHANGE_S for change in changes)
        for line in excess
    ), excess
    # What the stopped or the killed host was shed, it has taken along.
    assert counted <= len(excess)
    assert counted > 0 or not [e for e in excess if e.t > changes[1]]


@trios.trio_test
async def test_cold_upstream_is_warmed_slowly() -> None:
    """A new upstream falls over under the load that it gets at once.

    Operators add an upstream while buyers queue at the others. By its slow
    start it has one slot at first, then one more each second.
    """
    limits = contracts.Limits(slow_start_s=_SLOW_START_S)
    plan = load_plans.make_plan(
        (1, 1, 0), slots=1, run_time_ms=_RUN_S * 1000, limits=limits
    )
    new = plans.UpstreamPlan("floor-new", "south", _COLD_SLOTS)
    async with settled.run_settled(plan) as deployment:
        async with load_callers.run_callers(
            deployment, load_plans.SERVICE, _CALLERS
        ) as callers:
            await callers.wait_answered(10)
            await deployment.start_upstream(load_plans.SERVICE, new)
            (service,) = deployment.plan.services
            contract = deployment.layout.make_contract(service)
            added = deployment.layout.make_upstream(new)
            began_at = time.time()
            await deployment.apply(
                contract.model_copy(
                    update={"upstreams": (*contract.upstreams, added)}
                )
            )
            with trio.fail_after(30):
                while not _reaches(deployment, new.id, _COLD_SLOTS):
                    await trio.sleep(0.2)
        levels = [
            _find_level(deployment, new.id, level)
            for level in range(2, _COLD_SLOTS + 1)
        ]
    # It can't be warm sooner than if it had been known when it was added.
    for level, reached_at in enumerate(levels, start=2):
        due_s = _SLOW_START_S * level / _COLD_SLOTS
        assert reached_at - began_at >= due_s, levels


def _reaches(
    deployment: processes.Deployment, upstream: str, level: int
) -> bool:
    return _find_level(deployment, upstream, level) > 0


def _find_level(
    deployment: processes.Deployment, upstream: str, level: int
) -> float:
    """Returns when so many requests ran at a time first; 0 if never."""
    starts = [
        execution.t
        for execution in load_plans.read_log(deployment, execution_logs.RUN)
        if execution.upstream == upstream
    ]
    for index, start in enumerate(starts[level - 1 :]):
        # Runs take at least so long.
        if start - starts[index] < _RUN_S:
            return start
    return 0.0
