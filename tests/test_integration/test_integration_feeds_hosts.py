"""Feeds go on while hosts are drained, stopped and replaced."""

from __future__ import annotations

from tests.standins import plan as plans
from tests.standins import watchers
from tests.support import trios
from tests.test_integration import feed_plans
from tests.test_integration import settled

_SERVICE = feed_plans.SERVICE
_FEEDS = 30
# Feeds follow a change of hosts after a second of rest, and in some rounds.
_SETTLED_TICKS = 15


@trios.trio_test
async def test_feeds_go_on_while_a_host_is_drained_and_taken_back() -> None:
    """The price board stands still while operators empty a host.

    Operators drain a host that is home of some feeds and keeper of others,
    and take it back. All of its feeds and upstreams move away and others
    come back. Cause: a feed that is closed before its successor has it.
    """
    async with settled.run_settled(feed_plans.make_plan()) as deployment:
        async with watchers.run_watchers(
            deployment, _SERVICE, _FEEDS
        ) as callers:
            host = await feed_plans.find_busiest(deployment)
            await feed_plans.drain_host(deployment, host)
            await feed_plans.wait_feeds(deployment, host, some=False)
            await callers.wait_more(_SETTLED_TICKS)
            await feed_plans.undrain_host(deployment, host)
            await feed_plans.wait_feeds(deployment, host, some=True)
            await callers.wait_more(_SETTLED_TICKS)
    callers.check_whole()


@trios.trio_test
async def test_feeds_go_on_while_all_hosts_are_replaced() -> None:
    """Buyers bid blind on the morning of a new release.

    One host after another is replaced: a new one starts, then the former
    one gets SIGTERM. In the end no host is left that knew the feeds when
    they were opened. Cause: state that one host alone holds.
    """
    plan = feed_plans.make_plan(hosts=3)
    async with settled.run_settled(plan) as deployment:
        async with watchers.run_watchers(
            deployment, _SERVICE, _FEEDS
        ) as callers:
            for number, former in enumerate(plan.hosts, start=7):
                new = plans.HostPlan(
                    f"entry-{number}", former.domain, f"127.1.0.{number}"
                )
                await feed_plans.replace_host(deployment, former.name, new)
            await callers.wait_more(_SETTLED_TICKS)
    callers.check_whole()


@trios.trio_test
async def test_feeds_go_on_while_a_host_restarts() -> None:
    """The price board jumps when a host comes back under its address.

    A host is stopped as planned and started again at once, with the same
    name and address, so that it is successor of its own successors. Cause:
    the new process taken for the old one, or feeds handed to it too early.
    """
    async with settled.run_settled(feed_plans.make_plan()) as deployment:
        async with watchers.run_watchers(
            deployment, _SERVICE, _FEEDS
        ) as callers:
            host = await feed_plans.find_busiest(deployment)
            assert await deployment.stop_host(host) == 0
            await deployment.start_host(host)
            await callers.wait_more(_SETTLED_TICKS)
    callers.check_whole()
