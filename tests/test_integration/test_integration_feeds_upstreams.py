"""Feeds go on while upstreams are drained and replaced."""

from __future__ import annotations

import dataclasses

import trio

from persimmonhinge.load import executions as execution_logs
from tests.standins import processes
from tests.standins import watchers
from tests.support import trios
from tests.test_integration import feed_plans
from tests.test_integration import settled

_SERVICE = feed_plans.SERVICE
_FEEDS = 30
_SETTLED_TICKS = 10
_POLL_S = 0.1
_LIMIT_S = 20.0


@trios.trio_test
async def test_feeds_go_on_while_an_upstream_is_drained() -> None:
    """A third of all buyers lose the price board by planned work.

    Operators drain an upstream, and take it back once it has no feeds.
    Each feed must be open at another upstream before it ends here, and no
    tick may be lost or doubled at the seam. Cause: a feed that is closed
    and then opened elsewhere.
    """
    async with settled.run_settled(feed_plans.make_plan()) as deployment:
        upstream = next(iter(deployment.upstreams))
        async with watchers.run_watchers(
            deployment, _SERVICE, _FEEDS
        ) as callers:
            await feed_plans.drain_upstream(deployment, upstream)
            await _wait_without_feeds(deployment, upstream)
            await callers.wait_more(_SETTLED_TICKS)
            await feed_plans.undrain_upstream(deployment, upstream)
            await callers.wait_more(_SETTLED_TICKS)
    callers.check_whole()


@trios.trio_test
async def test_feeds_go_on_while_all_upstreams_are_replaced() -> None:
    """All buyers lose the price board when its back ends are renewed.

    One upstream after another is replaced: the contract first names the new
    one as well, then the former one no more. The former one ends once its
    feeds are gone. Cause: an upstream that the contract no longer names is
    dropped together with its feeds.
    """
    plan = feed_plans.make_plan(hosts=3)
    async with settled.run_settled(plan) as deployment:
        present = plan.services[0].upstreams
        async with watchers.run_watchers(
            deployment, _SERVICE, _FEEDS
        ) as callers:
            for former in plan.services[0].upstreams:
                new = dataclasses.replace(former, id=f"{former.id}-new")
                await deployment.start_upstream(_SERVICE, new)
                await feed_plans.apply_upstreams(deployment, (*present, new))
                present = (*(u for u in present if u is not former), new)
                await feed_plans.apply_upstreams(deployment, present)
                await _wait_without_feeds(deployment, former.id)
                await deployment.upstreams[former.id].stop()
            await callers.wait_more(_SETTLED_TICKS)
    callers.check_whole()


async def _wait_without_feeds(
    deployment: processes.Deployment, upstream: str
) -> None:
    log = deployment.execution_log(upstream)
    with trio.fail_after(_LIMIT_S):
        while _count_feeds(execution_logs.read_executions([log])):
            await trio.sleep(_POLL_S)


def _count_feeds(executions: list[execution_logs.Execution]) -> int:
    counted = [e.feeds for e in executions if e.kind == execution_logs.FEEDS]
    return counted[-1] if counted else 0
