"""Feeds stay in order while hosts stand still after the death of a home."""

from __future__ import annotations

import trio

from tests.standins import processes
from tests.standins import watchers
from tests.support import trios
from tests.test_integration import feed_plans
from tests.test_integration import settled

_FEEDS = 40
# Ticks of 0.2 s that are watched after the hosts go on.
_TICKS = 30
_MOST_WAIT_S = 10.0


async def _pause_others(
    deployment: processes.Deployment, killed: str, for_s: float
) -> None:
    """Stops all hosts but a killed one where they stand, for a while."""
    others = [host for host in deployment.hosts if host != killed]
    for host in others:
        deployment.pause_host(host)
    await trio.sleep(for_s)
    for host in others:
        deployment.resume_host(host)


async def _check_pause(after_s: float, for_s: float) -> None:
    """Kills the busiest home and stops all other hosts for a while.

    Args:
        after_s: Time from the kill to the pause, seconds.
        for_s: Length of the pause, seconds.

    Raises:
        AssertionError: A caller saw a tick twice or an older one, or a feed
            stood still.
    """
    async with settled.run_settled(feed_plans.make_plan()) as deployment:
        async with watchers.run_watchers(
            deployment, feed_plans.SERVICE, _FEEDS, watchers.WATCHFUL
        ) as callers:
            host = await feed_plans.find_busiest(deployment)
            await deployment.kill_host(host)
            since = trio.current_time()
            await deployment.fabric.remove_host(host)
            await trio.sleep(after_s)
            await _pause_others(deployment, host, for_s)
            await callers.wait_more(_TICKS)
    assert max(callers.waits_s(since)) < _MOST_WAIT_S
    assert not callers.steps_back(), callers.steps_back()


@trios.trio_test
async def test_feeds_repeat_nothing_when_hosts_pause_as_callers_renew() -> None:
    """Guards against a reply to a registration that repeats a notification."""
    await _check_pause(0.2, 1.2)


@trios.trio_test
async def test_feeds_repeat_nothing_when_hosts_pause_right_after_a_kill() -> (
    None
):
    """Guards against the same where callers register during the pause."""
    await _check_pause(0.1, 1.0)
