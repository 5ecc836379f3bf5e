"""Tests of the messages that feeds send, and of callers that disappear."""

from __future__ import annotations

import aiocoap
import trio

from persimmonhinge.coap import codec
from persimmonhinge.coap import transmission
from persimmonhinge.flows.feeds import limits
from persimmonhinge.peers.messages import feeds
from tests.support import trios
from tests.test_flows import feeds_fakes
from tests.test_flows import feeds_values
from tests.test_flows import feeds_world

_QUICK_S = 0.05
FLOW = feeds_values.FLOW


def _set_end(world: feeds_world.World, end: feeds.FeedEnd | None) -> None:
    for upstream in world.upstreams.values():
        upstream.end = end


@trios.clock_test
async def test_feeds_remove_a_caller_that_acknowledges_nothing() -> None:
    """Guards against a feed that stays open after its caller disappeared.

    A caller's device loses power without a message to the home, and its feed
    would occupy a connection of an upstream forever. The first notification is
    confirmable. Its four retransmissions, which carry the newest state, stay
    unacknowledged, and the feed is removed (RFC 7641, 4.5).
    """
    async with feeds_fakes.run_world() as world:
        world.caller.acknowledges = False
        world.find_home().register()
        await trio.sleep(_QUICK_S)
        for tick in range(1, 101):
            world.publish(tick)
            await trio.sleep(1)
        confirmable = [
            m for m in world.caller.messages if m.mtype is aiocoap.CON
        ]
        assert len(confirmable) == 1 + transmission.MAX_RETRANSMIT
        assert len({m.mid for m in confirmable}) == len(confirmable)
        observed = [m.opt.observe for m in confirmable]
        assert observed == sorted(set(observed))
        assert world.count_feeds() == world.count_streams() == 0
        assert world.find_home().chooser.open_count == 0


@trios.clock_test
async def test_feeds_keep_a_caller_that_acknowledges() -> None:
    async with feeds_fakes.run_world() as world:
        world.find_home().register()
        for tick in range(1, 101):
            await trio.sleep(1)
            world.publish(tick)
        kinds = [m.mtype for m in world.caller.messages]
        assert kinds.count(aiocoap.CON) == 5
        assert world.count_feeds() == 1


@trios.clock_test
async def test_feeds_end_by_reset_and_renew_by_token() -> None:
    async with feeds_fakes.run_world() as world:
        home = world.find_home()
        home.register()
        await trio.sleep(_QUICK_S)
        home.register()
        assert world.caller.get_last_message().payload == b'{"tick": 0}'
        assert world.count_feeds() == world.count_streams() == 1
        assert not home.feeds.reset(FLOW, 60_000)
        assert home.feeds.reset(FLOW, world.caller.get_last_message().mid)
        await trio.sleep(_QUICK_S)
        assert world.count_feeds() == world.count_streams() == 0


@trios.clock_test
async def test_feeds_pass_on_a_price_that_comes_back() -> None:
    """Guards against dropping a state that returns to an earlier value.

    A price goes up and down again. Its digest is among the recent ones. If the
    event were dropped as a repeat, the caller would have the wrong price until
    the next change.
    """
    async with feeds_fakes.run_world() as world:
        world.find_home().register()
        await trio.sleep(_QUICK_S)
        for tick in (1, 2, 1, 2, 2, 1):
            world.publish(tick)
            await trio.sleep(_QUICK_S)
        assert world.caller.ticks == [0, 1, 2, 1, 2, 1]
        await trio.sleep(31)
        world.publish(1)
        await trio.sleep(_QUICK_S)
        assert world.caller.ticks[-2:] == [1, 1], (
            "no repeat before the copy is stale"
        )


@trios.clock_test
async def test_feeds_refuse_at_once_when_all_upstreams_refuse() -> None:
    async with feeds_fakes.run_world() as world:
        refused = feeds.FeedEnd(feeds.FeedEndCause.REFUSED)
        _set_end(world, refused)
        world.find_home().register()
        await trio.sleep(_QUICK_S)
        answer = world.caller.get_last_message()
        assert answer.code is aiocoap.SERVICE_UNAVAILABLE
        assert answer.opt.observe is None
        assert answer.opt.max_age >= limits.MIN_REFUSED_RETRY_S
        assert len(world.caller.messages) == 1
        assert world.count_feeds() == 0


@trios.clock_test
async def test_feeds_tell_the_caller_when_no_upstream_is_left() -> None:
    """Guards against a feed that stays open without events.

    All upstreams of a service are unreachable for less and for more than 8 s,
    the deadline of the call class. Within the deadline the feed resumes
    without an action of the caller; after it the caller receives a final
    answer.
    """
    for outage_s in (6, 10):
        async with feeds_fakes.run_world() as world:
            world.find_home().register()
            await trio.sleep(_QUICK_S)
            keepers = {u.keeper for u in world.upstreams.values()}
            world.down_hosts |= keepers
            for upstream in world.upstreams.values():
                upstream.cut()
            await trio.sleep(outage_s)
            world.down_hosts -= keepers
            world.publish(1)
            await trio.sleep(3)
            if outage_s < 8:
                assert world.caller.ticks == [0, 1]
                continue
            answer = world.caller.get_last_message()
            assert answer.code is aiocoap.SERVICE_UNAVAILABLE
            assert answer.opt.observe is None and answer.opt.max_age
            assert world.count_feeds() == world.count_streams() == 0


@trios.clock_test
async def test_feeds_pass_on_an_answer_that_is_final() -> None:
    async with feeds_fakes.run_world() as world:
        missing = codec.Message(code=aiocoap.NOT_FOUND)
        missing.mtype, missing.mid = aiocoap.NON, 0
        cause = feeds.FeedEndCause.REFUSED
        _set_end(world, feeds.FeedEnd(cause, codec.encode(missing)))
        world.find_home().register()
        await trio.sleep(_QUICK_S)
        assert world.caller.get_last_message().code is aiocoap.NOT_FOUND
        opened = [s for u in world.upstreams.values() for s in u.streams]
        assert len(opened) == 1


@trios.clock_test
async def test_feeds_end_with_their_contract() -> None:
    async with feeds_fakes.run_world() as world:
        world.find_home().register()
        await trio.sleep(_QUICK_S)
        world.delete_contract()
        await trio.sleep(_QUICK_S)
        assert (
            world.caller.get_last_message().code is aiocoap.SERVICE_UNAVAILABLE
        )
        assert world.caller.get_last_message().opt.observe is None
        assert world.count_feeds() == world.count_streams() == 0


@trios.clock_test
async def test_feeds_cut_large_states_into_blocks() -> None:
    async with feeds_fakes.run_world() as world:
        world.publish(10**3000)
        world.find_home().register()
        await trio.sleep(_QUICK_S)
        first = world.caller.get_last_message()
        assert len(first.payload) == limits.BLOCK_OCTETS
        assert first.opt.block2.more and first.opt.etag
        request = world.caller.make_get(observe=None)
        whole = world.find_home().feeds.read_state(FLOW, request)
        assert whole is not None and len(whole.payload) > 3000
        assert whole.opt.etag == first.opt.etag
