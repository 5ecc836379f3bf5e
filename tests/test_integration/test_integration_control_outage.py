"""The platform down for long: hosts serve, start, and come back calmly."""

from __future__ import annotations

import collections
from collections.abc import Mapping

import trio

from tests.standins import cut_deployment
from tests.standins import load_callers
from tests.standins import plan as plans
from tests.support import trios
from tests.test_integration import control_plans

_SERVICE = control_plans.SERVICE
_HOSTS = 12
_WATCHERS = 6
# What a watcher reads when it comes back: keys, contracts, drains and hosts.
_READS = 4
_OUTAGE_S = 4.0
_CALM_S = 3.0
_ROLES_LIMIT_S = 30.0
# Longer than a host waits until it watches as the second one of its domain.
_ROLES_SETTLED_S = 6.0
_POLL_S = 0.2
_NEW_HOST = plans.HostPlan("entry-13", "north", "127.1.0.13")


@trios.trio_test
async def test_host_that_starts_in_an_outage_serves() -> None:
    """A host is replaced while the platform is down, and answers nobody.

    The platform goes down, and with it all ways to read contracts and ticket
    keys. A new host must get both from its peers, be ready, and serve flows
    that others began. Cause: a start that waits for the platform.
    """
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan()
    ) as deployment:
        hosts = deployment.names()
        async with load_callers.run_callers(deployment, _SERVICE) as callers:
            await callers.wait_answered(20)
            await deployment.platform.set_faults(down=True)
            await callers.wait_answered(50)
            await deployment.plan_host(_NEW_HOST)
            await deployment.start_unlisted(_NEW_HOST.name)
            await _check_same(deployment, hosts[0], _NEW_HOST.name)
            await deployment.pages.wait_sees(hosts, [*hosts, _NEW_HOST.name])
            await callers.wait_answered(50)
        served = await deployment.pages.count(
            _NEW_HOST.name, "datagrams_received_total"
        )
    assert served, "the new host got no packets"
    assert not callers.causes(), callers.causes()


@trios.trio_test
async def test_host_that_starts_alone_in_its_domain_asks_other_domains() -> (
    None
):
    """A failure domain lost all its hosts while the platform is down.

    The first host that starts there again finds no peer in its own domain.
    It must get contracts and ticket keys from another domain. Cause: only
    hosts of the own domain are asked.
    """
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan()
    ) as deployment:
        north = deployment.names("north")
        others = deployment.names("middle", "south")
        await deployment.platform.set_faults(down=True)
        for host in north:
            await deployment.kill_host(host)
        await deployment.pages.wait_sees(others, others)
        await deployment.start_unlisted(north[0])
        await _check_same(deployment, others[0], north[0])
        await deployment.pages.wait_sees(others, [*others, north[0]])
        async with load_callers.run_callers(deployment, _SERVICE) as callers:
            await callers.wait_answered(30)


@trios.trio_test
async def test_return_of_the_platform_meets_no_stampede() -> None:
    """The platform comes back and breaks down again under its own hosts.

    All hosts lost it at one moment. Only the watchers may call it, a bounded
    number of times, and at moments that are spread out. Cause: all hosts
    that try again at once, and each that reads all.
    """
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan(_HOSTS)
    ) as deployment:
        hosts = deployment.names()
        await deployment.pages.wait_sees(hosts, hosts)
        await _wait_roles(deployment)
        # Hosts may fail to reach a slow platform while they start.
        former = await _count_failures(deployment)
        await deployment.platform.set_faults(down=True)
        await trio.sleep(_OUTAGE_S)
        total = await _count_failures(deployment)
        # Last before the return: hosts go on trying while pages are read.
        before = await deployment.platform.get_counts()
        await deployment.platform.set_faults(down=False)
        await trio.sleep(_CALM_S)
        after = await deployment.platform.get_counts()
        contract = control_plans.make_contract(deployment, 41)
        await deployment.apply(contract)
        revision = await control_plans.find_revision(deployment)
        await deployment.pages.wait_holds(hosts, _SERVICE, revision)
    calls = {kind: after[kind] - before.get(kind, 0) for kind in after}
    assert 0 < calls["range"] <= _WATCHERS * (_READS + 1), calls
    assert 0 < calls["watch"] <= 2 * _WATCHERS, calls
    failed = [host for host in hosts if total[host] > former[host]]
    assert 0 < len(failed) <= _WATCHERS, (former, total)


async def _wait_roles(deployment: cut_deployment.CutDeployment) -> None:
    """Waits until the same two hosts of each domain have watched for long.

    Others watch as well while hosts start: until their successor has begun.
    """
    former: dict[str, set[str]] = {}
    since = trio.current_time()
    with trio.fail_after(_ROLES_LIMIT_S):
        while trio.current_time() - since < _ROLES_SETTLED_S:
            watchers = await _find_watchers(deployment)
            counts = {len(hosts) for hosts in watchers.values()}
            if watchers != former or counts != {2}:
                former, since = watchers, trio.current_time()
            await trio.sleep(_POLL_S)


async def _find_watchers(
    deployment: cut_deployment.CutDeployment,
) -> dict[str, set[str]]:
    """Returns the hosts of each domain that hold the watch."""
    watchers: dict[str, set[str]] = collections.defaultdict(set)
    for host in deployment.names():
        status = await deployment.pages.status(host)
        if status["control"]["platform"] != "idle":
            watchers[status["domain"]].add(host)
    return watchers


async def _check_same(
    deployment: cut_deployment.CutDeployment, known: str, new: str
) -> None:
    """Checks that a new host holds what another one does."""
    first = await deployment.pages.status(known)
    second = await deployment.pages.status(new)
    for member in ("contracts", "key_revision"):
        assert second[member] == first[member], (member, first, second)


async def _count_failures(
    deployment: cut_deployment.CutDeployment,
) -> Mapping[str, int]:
    """Returns how often each host failed to reach the platform."""
    name = "control_platform_failures_total"
    return {
        host: await deployment.pages.count(host, name)
        for host in deployment.names()
    }
