"""Upstreams that misbehave get less work, and are taken back."""

from __future__ import annotations

import collections
import time
from typing import Any

from tests.standins import load_callers
from tests.standins import upstream_control
from tests.support import trios
from tests.test_integration import load_plans
from tests.test_integration import settled

_CALLERS = 18
_DOMAINS = (2, 1, 1)
_FAULTS: tuple[dict[str, Any], ...] = (
    {"slow": 10.0},
    {"errors": True},
    {"shed": True},
)


@trios.trio_test
async def test_bad_upstreams_get_less_and_are_taken_back() -> None:
    """One upstream is slow by ten times, one fails fast, and one sheds.

    All of them say that they are well, and the one that fails fast looks
    idle. Buyers must meet few of their failures, and once the upstreams
    have recovered they must get work again, without an operator.
    """
    plan = load_plans.make_plan(_DOMAINS)
    async with settled.run_settled(plan) as deployment:
        good, *bad = deployment.upstreams
        async with load_callers.run_callers(
            deployment, load_plans.SERVICE, _CALLERS
        ) as callers:
            await callers.wait_answered(150)
            for name, faults in zip(bad, _FAULTS, strict=True):
                await upstream_control.set_faults(
                    deployment, name, lie=True, **faults
                )
            began_at = time.time()
            before = len(callers.records)
            await callers.wait_answered(180)
            sent = len(callers.records) - before
            runs = load_plans.count_runs(deployment, began_at)
            causes = callers.causes()
            recovered_at = time.time()
            for name in bad:
                await upstream_control.set_faults(deployment, name)
            for name in bad:
                await load_plans.wait_runs(deployment, name, 10, recovered_at)
    assert runs[good] > 3 * max(runs[name] for name in bad), runs
    failed = sum(n for cause, n in causes.items() if cause.startswith("5.00"))
    # An even choice would give it a quarter.
    assert failed < sent / 8, (sent, causes)


@trios.trio_test
async def test_service_goes_on_when_all_upstreams_look_bad() -> None:
    """All upstreams fail for a while, and then nobody is served.

    None of them is trusted any more. With nothing better at hand the least
    bad go on getting work, so that callers are served once it works again.
    """
    async with settled.run_settled(load_plans.make_plan()) as deployment:
        async with load_callers.run_callers(
            deployment, load_plans.SERVICE
        ) as callers:
            await callers.wait_answered(30)
            for name in deployment.upstreams:
                await upstream_control.set_faults(deployment, name, errors=True)
            await callers.wait_each()
            await callers.wait_each()
            for name in deployment.upstreams:
                await upstream_control.set_faults(deployment, name)
            back_at = time.time()
            await callers.wait_each()
            await callers.wait_answered(60)
            runs = load_plans.count_runs(deployment, back_at)
    assert sum(runs.values()) >= 60, runs
    assert not [
        cause for cause in callers.causes() if "no upstream" in cause
    ], callers.causes()


@trios.trio_test
async def test_load_is_even_after_a_domain_is_gone() -> None:
    """One hall loses power: its hosts and its upstreams.

    Callers are spread over the upstreams that are left as evenly as before;
    the fabric goes on sending to the dead hosts for a while.
    """
    async with settled.run_settled(
        load_plans.make_plan((2, 2, 2))
    ) as deployment:
        north = [h.name for h in deployment.plan.hosts if h.domain == "north"]
        async with load_callers.run_callers(
            deployment, load_plans.SERVICE, _CALLERS
        ) as callers:
            await callers.wait_answered(100)
            for name in north:
                await deployment.kill_host(name)
            for name in list(deployment.upstreams):
                if "north" in name:
                    await deployment.upstreams[name].kill()
            left = [h for h in deployment.hosts if h not in north]
            pages = deployment.pages
            await pages.wait_sees(left, left)
            await callers.wait_each()
            settled_at = time.time()
            await callers.wait_answered(180)
            runs = collections.Counter(
                load_plans.count_runs(deployment, settled_at)
            )
    living = {name: n for name, n in runs.items() if "north" not in name}
    assert sum(living.values()) == runs.total(), runs
    mean = sum(living.values()) / len(living)
    assert max(living.values()) <= 1.5 * mean, living
    assert min(living.values()) >= mean / 2, living
