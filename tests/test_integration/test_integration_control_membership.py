"""Hosts find out who lives, with processes that stop, start and are cut."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Iterable
import contextlib

import trio

from tests.standins import cut_deployment
from tests.standins import host_pages
from tests.standins import load_callers
from tests.standins import plan as plans
from tests.support import trios
from tests.test_integration import control_plans

_SERVICE = control_plans.SERVICE
_LOSS = 0.1
# Several times as long as a host takes to give up one that is silent.
_LONG_S = 8.0
_NEW_HOST = plans.HostPlan("entry-7", "north", "127.1.0.7")


@contextlib.asynccontextmanager
async def _run_settled() -> AsyncIterator[cut_deployment.CutDeployment]:
    """Runs a deployment in which each host sees all others."""
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan()
    ) as deployment:
        hosts = deployment.names()
        await deployment.pages.wait_sees(hosts, hosts)
        yield deployment


@trios.trio_test
async def test_paused_host_is_given_up_and_comes_back_as_another() -> None:
    """Lots are sold twice after a host was paused and woke up.

    A host stands still under load for longer than its peers wait, while they
    take its roles over. When it runs on, it must be a new incarnation, known
    to all as such, and nothing that it still held may run a second time.
    Cause: a host that believes to be what it was before the pause.
    """
    async with _run_settled() as deployment:
        hosts = deployment.names()
        paused, *others = hosts
        former = (await deployment.pages.status(paused))["incarnation"]
        async with load_callers.run_callers(deployment, _SERVICE) as callers:
            await callers.wait_answered(30)
            deployment.pause_host(paused)
            await deployment.pages.wait_sees(others, others)
            await callers.wait_answered(30)
            deployment.resume_host(paused)
            await deployment.pages.wait_sees(hosts, hosts)
            await callers.wait_answered(30)
        later = (await deployment.pages.status(paused))["incarnation"]
        assert later > former
        await _wait_incarnation(deployment, others, paused, later)


@trios.trio_test
async def test_host_that_restarts_under_its_address_is_a_new_one() -> None:
    """A host is restarted at once, and its peers go on as if it had not.

    It is killed and started again under the same name, address and ports,
    faster than its peers notice. All must learn the new incarnation, so that
    nothing that the former one knew is taken for known. Cause: a host told
    by its name or address alone.
    """
    async with _run_settled() as deployment:
        hosts = deployment.names()
        host, *others = hosts
        former = (await deployment.pages.status(host))["incarnation"]
        async with load_callers.run_callers(deployment, _SERVICE) as callers:
            await callers.wait_answered(30)
            await deployment.kill_host(host)
            await deployment.start_host(host)
            later = (await deployment.pages.status(host))["incarnation"]
            assert later > former
            await _wait_incarnation(deployment, others, host, later)
            await deployment.pages.wait_sees(hosts, hosts)
            await callers.wait_answered(30)


@trios.trio_test
async def test_cut_one_way_between_domains_kills_nobody() -> None:
    """Half of a deployment is given up though all of it runs.

    Hosts of one failure domain hear those of another, which do not hear
    them, and a new host joins meanwhile. As the third domain reaches both,
    nobody may be declared dead. Cause: one way of asking taken for all.
    """
    async with _run_settled() as deployment:
        hosts = deployment.names()
        before = await _count_deaths(deployment, hosts)
        await deployment.cut_hosts(
            deployment.names("north"), deployment.names("middle")
        )
        await trio.sleep(_LONG_S)
        await deployment.plan_host(_NEW_HOST)
        await deployment.start_unlisted(_NEW_HOST.name)
        everyone = [*hosts, _NEW_HOST.name]
        await deployment.pages.wait_sees(everyone, everyone)
        assert await _count_deaths(deployment, hosts) == before


@trios.trio_test
async def test_loss_of_a_tenth_of_all_datagrams_kills_nobody() -> None:
    """Hosts come and go in the view of others on a network that loses some.

    A tenth of all heartbeats are lost, and streams are late as often. While
    one host is stopped and another one joins, no other may be declared dead.
    Cause: one lost datagram taken for a dead host.
    """
    async with _run_settled() as deployment:
        hosts = deployment.names()
        await deployment.lose_datagrams(_LOSS)
        await trio.sleep(_LONG_S)
        assert not any((await _count_deaths(deployment, hosts)).values())
        stopped, *others = hosts
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deployment.stop_host, stopped)
            nursery.start_soon(deployment.add_host, _NEW_HOST)
        everyone = [*others, _NEW_HOST.name]
        await deployment.pages.wait_sees(everyone, everyone)


@trios.trio_test
async def test_host_without_seeds_joins_by_a_list_that_lags() -> None:
    """A new host serves alone, beside a deployment that it never meets.

    Its settings name no other host. The platform's list does, and it lags:
    one of the listed hosts is long gone. The host must find the others by
    the list, and none of them may believe in the one that is gone. Cause: a
    list that nobody reads, or one that is believed.
    """
    async with _run_settled() as deployment:
        gone, *others = deployment.names()
        await deployment.kill_host(gone)
        await deployment.pages.wait_sees(others, others)
        deployment.layout.seedless.add(_NEW_HOST.name)
        await deployment.add_host(_NEW_HOST)
        everyone = [*others, _NEW_HOST.name]
        await deployment.pages.wait_sees(everyone, everyone)


async def _wait_incarnation(
    deployment: cut_deployment.CutDeployment,
    hosts: Iterable[str],
    about: str,
    incarnation: int,
) -> None:
    await deployment.pages.wait(
        hosts,
        lambda status: (
            host_pages.find_incarnations(status).get(about) == incarnation
        ),
        f"knowing {about} as {incarnation}",
    )


async def _count_deaths(
    deployment: cut_deployment.CutDeployment, hosts: Iterable[str]
) -> dict[str, int]:
    name = "membership_deaths_total"
    return {host: await deployment.pages.count(host, name) for host in hosts}
