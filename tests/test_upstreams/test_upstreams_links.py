"""Tests of a keeper with real links between two hosts."""

from __future__ import annotations

import trio

from persimmonhinge.peers import network as network_module
from persimmonhinge.peers.messages import feeds
from tests.support import trios
from tests.test_peers import pairs
from tests.test_upstreams import scene


@trios.trio_test
async def test_call_closed_by_the_home_differs_from_a_failed_link() -> None:
    """A feed must be treated differently if its home closes it or fails.

    A feed that its home closes must end at the upstream at once. A feed whose
    home fails must stay open until a new home takes it over.
    """
    seen: list[bool] = []
    ended = trio.Event()

    async def serve(
        caller: network_module.Caller, message: feeds.FeedOpen
    ) -> None:
        await caller.push(feeds.FeedEvent(1, b""))
        await caller.wait_closed()
        seen.append(caller.closed_by_caller)
        ended.set()

    opened = scene.make_feed_open()
    async with pairs.open_pair() as (keeper, home):
        keeper.network.handle(feeds.FeedOpen, serve)
        for network in (home.network, keeper.network):
            async with network.open(keeper.view.me, opened, 5.0) as stream:
                await stream.receive()
            await ended.wait()
            ended = trio.Event()
        async with home.network.open(keeper.view.me, opened, 5.0) as stream:
            await stream.receive()
            await home.network.aclose()
            await ended.wait()
    assert seen == [True, True, False]
