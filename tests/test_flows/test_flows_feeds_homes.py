"""Tests of feeds whose home or keeper changes or fails."""

from __future__ import annotations

import aiocoap
import trio

from persimmonhinge import ids
from persimmonhinge.coap import transmission
from persimmonhinge.flows.feeds import limits
from persimmonhinge.peers.messages import feeds
from tests.support import trios
from tests.test_flows import feeds_fakes
from tests.test_flows import feeds_hosts
from tests.test_flows import feeds_values
from tests.test_flows import feeds_world

_QUICK_S = 0.05
_HOSTS = ("h1", "h2", "h3")
State = feeds_values.State


async def _open(world: feeds_world.World) -> feeds_hosts.Host:
    home = world.find_home()
    home.register()
    await trio.sleep(_QUICK_S)
    return home


@trios.clock_test
async def test_feeds_are_handed_over_by_a_host_that_leaves() -> None:
    async with feeds_fakes.run_world(*_HOSTS) as world:
        home = await _open(world)
        await world.spread_member(home.name, State.LEAVING)
        await home.feeds.leave()
        assert home.feeds.count() == 0
        world.publish(1)
        await trio.sleep(_QUICK_S)
        assert world.caller.ticks == [0, 1]
        assert world.caller.senders[-1] != home.name
        assert world.count_feeds() == world.count_streams() == 1


@trios.clock_test
async def test_feeds_of_the_last_host_are_told_that_it_leaves() -> None:
    async with feeds_fakes.run_world() as world:
        home = await _open(world)
        await home.feeds.leave()
        assert (
            world.caller.get_last_message().code is aiocoap.SERVICE_UNAVAILABLE
        )
        assert home.feeds.count() == 0


@trios.clock_test
async def test_feeds_go_on_when_the_former_home_dies_half_way() -> None:
    """Guards against a feed that stops when a hand-over is not completed.

    A home dies between the two messages of a hand-over. The new home has the
    feed open but holds all answers back until the second message arrives, so
    the caller would never receive another event.
    """
    async with feeds_fakes.run_world(*_HOSTS) as world:
        home = await _open(world)
        (stream,) = [
            s for u in world.upstreams.values() for s in u.open_streams()
        ]
        new_home = next(h for h in world.list_live_hosts() if h is not home)
        assert await stream.hand_over(new_home, prepares=True)
        home.crash()
        world.publish(1)
        await trio.sleep(limits.COMMIT_TIMEOUT_S / 2)
        assert world.caller.ticks == [0]
        await trio.sleep(limits.COMMIT_TIMEOUT_S)
        assert world.caller.ticks == [0, 1]


@trios.clock_test
async def test_feeds_say_the_newest_state_again_after_a_home_died() -> None:
    """Guards against a lost event when a home dies before it sends it.

    A keeper has sent a state to the home and lists it as delivered. If the new
    home relied on that, the caller would have the older state until the next
    change.
    """
    async with feeds_fakes.run_world(*_HOSTS) as world:
        home = await _open(world)
        (stream,) = [
            s for u in world.upstreams.values() for s in u.open_streams()
        ]
        home.crash()
        stream.closed = False
        world.publish(1)
        new_home = next(h for h in world.list_live_hosts() if h is not home)
        assert await stream.hand_over(new_home)
        await trio.sleep(_QUICK_S)
        assert world.caller.ticks == [0, 1]


@trios.clock_test
async def test_feeds_are_not_replaced_by_an_offer_that_knows_less() -> None:
    """Guards against states that are sent again after a lost link.

    A host that was declared dead looks for the keeper of its feed. The keeper
    offers it the feed without the last states, whose reports were lost.
    """
    async with feeds_fakes.run_world() as world:
        home = await _open(world)
        (stream,) = [
            s for u in world.upstreams.values() for s in u.open_streams()
        ]
        first_state, first_sequence = stream.recent, stream.sequence
        for tick in (1, 2, 3):
            world.publish(tick)
            await trio.sleep(_QUICK_S)
        keepers = {u.keeper for u in world.upstreams.values()}
        world.down_hosts |= keepers
        stream.cut()
        await trio.sleep(_QUICK_S)
        stream.recent, stream.sequence = first_state, first_sequence
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream.hand_over, home)
            await trio.sleep(_QUICK_S)
            world.down_hosts -= keepers
        world.publish(4)
        await trio.sleep(_QUICK_S)
        assert world.caller.ticks == [0, 1, 2, 3, 4]
        assert world.count_feeds() == world.count_streams() == 1


@trios.clock_test
async def test_new_home_answers_with_no_state_older_than_the_former_sent() -> (
    None
):
    """Guards against a step back after a hand-over.

    The upstream of the new home is behind the one of the former home when the
    caller registers again at the new one.
    """
    async with feeds_fakes.run_world(*_HOSTS) as world:
        home = await _open(world)
        (stream,) = [
            s for u in world.upstreams.values() for s in u.open_streams()
        ]
        heir = next(h for h in world.list_live_hosts() if h is not home)
        assert await stream.hand_over(heir, prepares=True)
        (later,) = [
            s
            for u in world.upstreams.values()
            for s in u.open_streams()
            if s is not stream
        ]
        stream.send_tick(1)
        await trio.sleep(_QUICK_S)
        heir.register()
        assert await stream.hand_over(heir)
        await trio.sleep(_QUICK_S)
        later.send_tick(1)
        await trio.sleep(_QUICK_S)
        assert world.caller.ticks == [0, 1]
        reply = world.caller.get_last_message()
        assert reply.payload == feeds_values.make_payload(1)
        assert world.caller.senders[-1] == heir.name


@trios.clock_test
async def test_feeds_of_two_homes_become_one() -> None:
    """Guards against events accepted twice and against two permanent homes.

    A keeper treats a live home as dead, as after a network failure in one
    direction, and the caller receives states from two hosts. The Observe
    numbers only increase, so the caller accepts each new state once, and only
    one home remains once the views agree.
    """
    async with feeds_fakes.run_world(*_HOSTS) as world:
        home = await _open(world)
        (stream,) = [
            s for u in world.upstreams.values() for s in u.open_streams()
        ]
        new_home = next(h for h in world.list_live_hosts() if h is not home)
        assert await stream.hand_over(new_home)
        world.publish(1)
        await trio.sleep(_QUICK_S)
        assert world.caller.ticks == [0, 0, 1]
        await trio.sleep(2 * limits.HANDOVER_RETRY_S)
        assert world.count_feeds() == world.count_streams() == 1
        world.publish(2)
        await trio.sleep(_QUICK_S)
        assert world.caller.ticks == [0, 0, 1, 2]


@trios.clock_test
async def test_feeds_move_when_their_keeper_is_dead_in_the_view() -> None:
    """Guards against a feed that stops when a dead keeper's link stays open.

    A keeper dies, and its link neither delivers messages nor fails. The caller
    would receive no further events. The stream has to end when the keeper is
    dead in the view.
    """
    async with feeds_fakes.run_world() as world:
        home = await _open(world)
        for upstream in world.upstreams.values():
            # A leaving host is in the view but can't be home.
            keeper = feeds_values.make_member(upstream.keeper, State.LEAVING)
            home.view.put(keeper)
        await trio.sleep(_QUICK_S)
        (old,) = [u for u in world.upstreams.values() if u.open_streams()]
        world.down_hosts.add(old.keeper)
        dead = feeds_values.make_member(old.keeper, State.DEAD)
        home.view.put(dead)
        await trio.sleep(1)
        assert not old.open_streams()
        world.publish(1)
        await trio.sleep(_QUICK_S)
        assert world.caller.ticks == [0, 1]


@trios.clock_test
async def test_feeds_come_back_to_the_keeper_that_holds_them() -> None:
    """Guards against lost events when a feed is reopened.

    The link to a keeper breaks, or a home dies, and the keeper stays alive. It
    keeps the feed open and buffers its events. If the feed were opened at
    another upstream, the caller would miss these events.
    """
    for seed in range(6):
        dies = seed % 2 == 1
        async with feeds_fakes.run_world(*_HOSTS, seed=seed) as world:
            home = await _open(world)
            (old,) = [u for u in world.upstreams.values() if u.streams]
            keeper = feeds_values.make_member(old.keeper, State.LEAVING)
            for host in world.list_live_hosts():
                host.view.put(keeper)
            if dies:
                home.crash()
                new_home = next(
                    h for h in world.list_live_hosts() if h is not home
                )
                assert await old.streams[0].hand_over(new_home)
            else:
                old.cut()
            await trio.sleep(_QUICK_S)
            assert len(old.open_streams()) == world.count_streams() == 1


@trios.clock_test
async def test_feeds_away_from_home_ask_for_no_acknowledgement() -> None:
    """Guards against removing the feed of a reachable caller.

    The home of a flow moves to a host that is unreachable from this host. The
    caller's acknowledgements are relayed to the new home. This host would
    treat the caller as gone although it acknowledges all messages.
    """
    async with feeds_fakes.run_world() as world:
        home = await _open(world)
        world.caller.acknowledges = False
        world.publish(1)
        await trio.sleep(_QUICK_S)
        assert world.caller.get_last_message().mtype is aiocoap.CON
        for number in range(8):
            home.view.put(feeds_values.make_member(f"cut-off-{number}"))
        assert not home.is_home()
        for tick in range(2, 100):
            await trio.sleep(1)
            world.publish(tick)
        await trio.sleep(_QUICK_S)
        assert world.caller.ticks == list(range(100))
        kinds = [m.mtype for m in world.caller.messages]
        assert kinds.count(aiocoap.CON) == 1 + transmission.MAX_RETRANSMIT


@trios.clock_test
async def test_feeds_stay_where_a_view_only_flaps() -> None:
    """Guards against needless hand-overs when a view flaps.

    A host leaves the view for less than a second, as a host does that refutes
    a suspicion. If views were followed at once, its feeds would move away and
    back.
    """
    async with feeds_fakes.run_world(*_HOSTS) as world:
        home = await _open(world)
        for state in (State.LEAVING, State.ALIVE):
            await world.spread_member(home.name, state)
        await trio.sleep(2 * limits.SETTLE_S)
        assert home.feeds.count() == world.count_feeds() == 1
        assert home.counts.sum("feeds_handed_over_total") == 0


@trios.clock_test
async def test_feeds_are_reported_to_their_keeper() -> None:
    async with feeds_fakes.run_world() as world:
        await _open(world)
        (upstream,) = [u for u in world.upstreams.values() if u.streams]
        for tick in range(1, 2 * limits.EVENTS_PER_ACK):
            world.publish(tick)
            await trio.sleep(0.01)
        (stream,) = upstream.open_streams()
        assert len(stream.acks) == 2
        await trio.sleep(2 * limits.ACK_INTERVAL_S)
        assert stream.acks[-1].sequence == stream.sequence
        assert stream.acks[-1].recent[-1:] == (stream.recent[-4:],)


@trios.clock_test
async def test_feeds_rebalance_moves_no_more_than_asked() -> None:
    async with feeds_fakes.run_world() as world:
        home = await _open(world)
        (old,) = [u for u in world.upstreams if world.upstreams[u].streams]
        upstream = ids.UpstreamId(old)
        service = feeds_values.SERVICE
        assert await home.feeds.move(service, upstream, 0) == 0
        assert await home.feeds.move(service, upstream, 5) == 1
        await trio.sleep(_QUICK_S)
        assert not world.upstreams[old].open_streams()
        refused = feeds.FeedEnd(feeds.FeedEndCause.REFUSED)
        for other in world.upstreams.values():
            other.end = refused
        assert sum(
            [
                await home.feeds.move(service, ids.UpstreamId(name), 1)
                for name in world.upstreams
            ]
        )
        await trio.sleep(_QUICK_S)
        world.publish(1)
        await trio.sleep(_QUICK_S)
        assert world.caller.ticks == [0, 1]
