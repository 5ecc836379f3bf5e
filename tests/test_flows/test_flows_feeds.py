"""Tests of opening, events, moves and closing of feeds of one caller."""

from __future__ import annotations

import aiocoap
import trio

from persimmonhinge.peers.messages import feeds
from tests.support import trios
from tests.test_flows import feeds_fakes
from tests.test_flows import feeds_values

_QUICK_S = 0.05


@trios.clock_test
async def test_feeds_open_pass_events_and_close() -> None:
    async with feeds_fakes.run_world() as world:
        home = world.find_home()
        home.register()
        await trio.sleep(_QUICK_S)
        for tick in (1, 2, 3):
            world.publish(tick)
            await trio.sleep(_QUICK_S)
        assert world.caller.ticks == [0, 1, 2, 3]
        assert home.feeds.close(
            feeds_values.FLOW, world.caller.make_get(observe=1)
        )
        await trio.sleep(_QUICK_S)
        world.publish(4)
        await trio.sleep(_QUICK_S)
        assert world.caller.ticks == [0, 1, 2, 3]
        assert home.feeds.count() == world.count_streams() == 0
        assert home.chooser.open_count == 0


@trios.clock_test
async def test_feeds_answer_a_quick_confirmable_request_in_its_ack() -> None:
    async with feeds_fakes.run_world() as world:
        request = world.caller.make_get(mtype=aiocoap.CON)
        world.find_home().register(request)
        await trio.sleep(_QUICK_S)
        assert world.caller.get_last_message().mtype is aiocoap.ACK
        assert world.caller.get_last_message().mid == request.mid
        world.find_home().register(request)
        assert len(world.caller.messages) == 2
        assert world.caller.get_last_message().mid == request.mid
        assert world.caller.get_last_message().payload == b'{"tick": 0}'


@trios.clock_test
async def test_feeds_answer_a_slow_confirmable_request_apart() -> None:
    async with feeds_fakes.run_world() as world:
        for upstream in world.upstreams.values():
            upstream.sends_nothing = True
        request = world.caller.make_get(mtype=aiocoap.CON)
        world.find_home().register(request)
        await trio.sleep(1)
        acknowledgement = world.caller.get_last_message()
        assert acknowledgement.code is aiocoap.EMPTY
        assert acknowledgement.mid == request.mid
        world.publish(1)
        await trio.sleep(_QUICK_S)
        assert world.caller.get_last_message().mtype is aiocoap.CON
        assert world.caller.get_last_message().payload == b'{"tick": 1}'


@trios.clock_test
async def test_feeds_move_when_the_keeper_ends_them() -> None:
    """Guards against lost or repeated events when a keeper ends a feed.

    An upstream drains; its keeper reports this and continues to send events.
    The caller would miss an event if the feed were closed before the move, and
    receive one twice if the first state of the new upstream were forwarded
    without a comparison.
    """
    for cause in feeds.FeedEndCause:
        if cause is feeds.FeedEndCause.REFUSED:
            continue
        async with feeds_fakes.run_world() as world:
            world.find_home().register()
            await trio.sleep(_QUICK_S)
            world.publish(1)
            await trio.sleep(_QUICK_S)
            (old,) = [u for u in world.upstreams.values() if u.open_streams()]
            old.send_end(cause)
            await trio.sleep(_QUICK_S)
            world.publish(2)
            await trio.sleep(_QUICK_S)
            assert world.caller.ticks == [0, 1, 2]
            assert not old.open_streams()
            assert world.count_streams() == 1


@trios.clock_test
async def test_feeds_pass_over_a_late_event_of_the_former_upstream() -> None:
    """Guards against an older state after a newer one.

    A message of the former upstream is received while the feed switches to the
    new upstream. The caller has already received newer states from the new
    upstream, so the late message must be dropped.
    """
    async with feeds_fakes.run_world() as world:
        for upstream in world.upstreams.values():
            upstream.delivers_after_cancel = True
        world.find_home().register()
        await trio.sleep(_QUICK_S)
        (old,) = [u for u in world.upstreams.values() if u.open_streams()]
        (stream,) = old.open_streams()
        old.send_end(feeds.FeedEndCause.DRAINING)
        await trio.sleep(_QUICK_S)
        (new,) = [
            u
            for u in world.upstreams.values()
            if len(u.streams) == 1 and u is not old
        ]
        new.streams[0].delivers_after_cancel = False
        for tick in (1, 2):
            new.publish(tick)
            await trio.sleep(_QUICK_S)
        stream.send_tick(0)
        await trio.sleep(_QUICK_S)
        assert world.caller.ticks == [0, 1, 2]
