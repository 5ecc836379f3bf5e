"""A failure domain that is cut off serves, and all agree afterwards."""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Iterable

import trio

from persimmonhinge.load import executions as execution_logs
from tests.standins import cut_deployment
from tests.standins import host_pages
from tests.standins import load_callers
from tests.standins import revision_watch
from tests.support import trios
from tests.test_integration import control_plans

_SERVICE = control_plans.SERVICE
_QUIET_S = 3.0
# Long enough that some requests run while the cut falls.
_RUN_TIME_MS = 200


@trios.trio_test
async def test_both_sides_of_a_cut_serve_and_agree_when_it_heals() -> None:
    """Reservations run twice, or a hall stands still, during a cut.

    A failure domain is cut off from the others and the platform while lots
    are reserved. Each side must serve callers by its own upstreams, nothing
    may run twice, and when the cut heals all agree for good, on the contract
    that was accepted meanwhile too. Cause: one side that waits for the other.
    """
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan(run_time_ms=_RUN_TIME_MS)
    ) as deployment:
        hosts = deployment.names()
        north = deployment.names("north")
        others = deployment.names("middle", "south")
        await deployment.pages.wait_sees(hosts, hosts)
        watched = revision_watch.watch_revisions(deployment.pages, hosts)
        async with (
            watched,
            load_callers.run_callers(deployment, _SERVICE) as callers,
        ):
            await callers.wait_answered(30)
            await deployment.cut_both_ways(north, others)
            await deployment.cut_platform("north")
            await deployment.pages.wait_sees(north, north)
            await deployment.pages.wait_sees(others, others)
            await deployment.apply(control_plans.make_contract(deployment, 51))
            revision = await control_plans.find_revision(deployment)
            await _serve_alone(deployment, callers, north, others)
            await _serve_alone(deployment, callers, others, north)
            await deployment.heal()
            await deployment.pages.wait_sees(hosts, hosts)
            await deployment.pages.wait_holds(hosts, _SERVICE, revision)
            await _check_quiet(deployment, hosts)
            await callers.wait_answered(30)


async def _serve_alone(
    deployment: cut_deployment.CutDeployment,
    callers: load_callers.LoadCallers,
    side: Collection[str],
    far: Collection[str],
) -> None:
    """Checks that one side of a cut answers callers by its own upstreams."""
    for host in far:
        await deployment.fabric.remove_host(host)
    await callers.wait_each()
    before = _count_runs(deployment)
    await callers.wait_answered(12)
    ran = _count_runs(deployment) - before
    domains = {h.domain for h in deployment.plan.hosts if h.name in side}
    (service,) = deployment.plan.services
    own = {u.id for u in service.upstreams if u.domain in domains}
    assert set(ran) == own, ran
    for planned in deployment.plan.hosts:
        if planned.name in far:
            await deployment.fabric.add_host(planned.name, planned.address)


def _count_runs(
    deployment: cut_deployment.CutDeployment,
) -> collections.Counter[str]:
    """Returns how many requests each upstream ran."""
    logs = execution_logs.read_executions(deployment.execution_logs())
    return collections.Counter(
        str(line.upstream) for line in logs if line.kind == execution_logs.RUN
    )


async def _check_quiet(
    deployment: cut_deployment.CutDeployment, hosts: Collection[str]
) -> None:
    """Checks that no host is suspected dead again once all agree."""
    before = await _count_deaths(deployment, hosts)
    await trio.sleep(_QUIET_S)
    assert await _count_deaths(deployment, hosts) == before
    for host in hosts:
        alive = host_pages.find_alive(await deployment.pages.status(host))
        assert alive == set(hosts)


async def _count_deaths(
    deployment: cut_deployment.CutDeployment, hosts: Iterable[str]
) -> dict[str, int]:
    name = "membership_deaths_total"
    return {host: await deployment.pages.count(host, name) for host in hosts}
