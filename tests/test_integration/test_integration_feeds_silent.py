"""Feeds that went silent are found and moved; quiet ones are left alone."""

from __future__ import annotations

import time

import trio

from persimmonhinge.contracts import contract as contracts
from persimmonhinge.load import executions as execution_logs
from tests.standins import load_callers
from tests.standins import processes
from tests.standins import upstream_control
from tests.standins import watchers
from tests.support import trios
from tests.test_integration import feed_plans
from tests.test_integration import settled

_SERVICE = feed_plans.SERVICE
_FEEDS = 30
_SILENT_FEED_S = 1.0
# The silence, a check that gets no answer, and the move; twice that.
_MOST_WAIT_S = 6.0
_QUIET_INTERVAL_MS = 2500


@trios.trio_test
async def test_feeds_that_went_silent_are_moved() -> None:
    """Buyers look at a board that has stood still for minutes.

    All open feeds of one upstream go silent for good, while it still runs
    reservations and opens new feeds. The feeds must be found within the
    contract's time, moved without a word from their callers, and counted.
    Cause: an upstream taken for healthy by its answers to new work.
    """
    limits = contracts.Limits(silent_feed_s=_SILENT_FEED_S)
    plan = feed_plans.make_plan(limits=limits)
    async with (
        settled.run_settled(plan) as deployment,
        load_callers.run_callers(deployment, _SERVICE) as callers,
        watchers.run_watchers(deployment, _SERVICE, _FEEDS) as watching,
    ):
        upstream = "floor-north-1"
        feeds = _read(deployment, upstream)[-1].feeds
        await upstream_control.set_faults(
            deployment, upstream, silent_feeds=True
        )
        since = trio.current_time()
        silent_at = time.time()
        await watching.wait_more(20)
        await callers.wait_answered(30)
        assert await _count(deployment, "feeds_silent_total") == feeds > 0
        assert await _count(deployment, "feeds_moved_total") >= feeds
        assert any(
            e.kind == execution_logs.RUN and e.t > silent_at
            for e in _read(deployment, upstream, execution_logs.RUN)
        ), "the upstream ran nothing more"
    assert not any(watching.renewals), watching.breaks()
    assert not watching.steps_back(), watching.steps_back()
    assert max(watching.waits_s(since)) < _MOST_WAIT_S


@trios.trio_test
async def test_quiet_feeds_stay_where_they_are() -> None:
    """All buyers change upstreams each time the market is calm.

    Prices change more seldom than the contract's limit of silence. Each
    feed is asked on its own token, answers, and must stay at its upstream.
    Cause: quiet taken for silent.
    """
    limits = contracts.Limits(silent_feed_s=0.5)
    plan = feed_plans.make_plan(
        limits=limits,
        upstream_options=("--feed-interval-ms", str(_QUIET_INTERVAL_MS)),
    )
    async with (
        settled.run_settled(plan) as deployment,
        watchers.run_watchers(
            deployment, _SERVICE, _FEEDS, first_ticks=1
        ) as watching,
    ):
        await watching.wait_more(3)
        assert await _count(deployment, "feed_checks_total") >= _FEEDS
        assert await _count(deployment, "feeds_silent_total") == 0
        assert await _count(deployment, "feeds_moved_total") == 0
    watching.check_whole()


def _read(
    deployment: processes.Deployment,
    upstream: str,
    kind: str = execution_logs.FEEDS,
) -> list[execution_logs.Execution]:
    log = deployment.execution_log(upstream)
    return [e for e in execution_logs.read_executions([log]) if e.kind == kind]


async def _count(deployment: processes.Deployment, name: str) -> int:
    pages = deployment.pages
    return sum([await pages.count(host, name) for host in deployment.hosts])
