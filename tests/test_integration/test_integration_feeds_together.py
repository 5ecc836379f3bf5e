"""Feeds go on while two changes meet, or one is undone midway."""

from __future__ import annotations

import trio

from tests.standins import plan as plans
from tests.standins import watchers
from tests.support import trios
from tests.test_integration import feed_plans
from tests.test_integration import settled

_SERVICE = feed_plans.SERVICE
_FEEDS = 30
_SETTLED_TICKS = 20
# Within the time in which hosts wait for a view to rest, and just after it.
_MIDWAY_S = (0.2, 1.3)


@trios.trio_test
async def test_feeds_go_on_while_a_host_and_an_upstream_leave() -> None:
    """The price board has a gap when two pieces of planned work meet.

    A host is replaced while an upstream of the same failure domain drains,
    so that homes, keepers and upstreams of some feeds change at one moment.
    Cause: a seam that holds only if the other side of the feed rests.
    """
    new = plans.HostPlan("entry-7", "north", "127.1.0.7")
    async with settled.run_settled(feed_plans.make_plan()) as deployment:
        async with watchers.run_watchers(
            deployment, _SERVICE, _FEEDS
        ) as callers:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    feed_plans.replace_host, deployment, "entry-1", new
                )
                nursery.start_soon(
                    feed_plans.drain_upstream, deployment, "floor-north-1"
                )
            await callers.wait_more(_SETTLED_TICKS)
    callers.check_whole()


@trios.trio_test
async def test_feeds_go_on_while_two_hosts_stop_at_once() -> None:
    """Two hosts that stop at once hand feeds to each other.

    Two hosts of different failure domains get SIGTERM at one moment. Each
    must learn that the other takes no feeds. Cause: a successor that leaves
    itself and loses what it was just given.
    """
    async with settled.run_settled(feed_plans.make_plan()) as deployment:
        async with watchers.run_watchers(
            deployment, _SERVICE, _FEEDS
        ) as callers:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(deployment.stop_host, "entry-1")
                nursery.start_soon(deployment.stop_host, "entry-2")
            await callers.wait_more(_SETTLED_TICKS)
    callers.check_whole()


@trios.trio_test
async def test_feeds_go_on_while_changes_are_made_twice_and_undone() -> None:
    """The price board flickers when operators change their minds.

    The drain of a host and of an upstream is asked for twice and taken back
    midway, once before and once while feeds move. Cause: a move that is
    begun anew or given up half way leaves a feed with two sources or none.
    """
    async with settled.run_settled(feed_plans.make_plan()) as deployment:
        async with watchers.run_watchers(
            deployment, _SERVICE, _FEEDS
        ) as callers:
            for midway_s in _MIDWAY_S:
                for command in ("drain", "drain", "undrain"):
                    if command == "undrain":
                        await trio.sleep(midway_s)
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(
                            deployment.ctl, "host", command, "entry-1"
                        )
                        nursery.start_soon(
                            deployment.ctl,
                            *("upstream", command, _SERVICE, "floor-north-1"),
                        )
            await callers.wait_more(_SETTLED_TICKS)
    callers.check_whole()
