"""Tests of feeds whose home fails with events that it has not sent yet.

The keepers stay alive, so the caller must not miss an event.
"""

from __future__ import annotations

import itertools
from unittest import mock

import aiocoap
import trio

from persimmonhinge.flows.feeds import limits
from persimmonhinge.upstreams import roles
from tests.support import trios
from tests.test_flows import rescue_host
from tests.test_flows import rescue_links
from tests.test_flows import rescue_world

# Time in which hosts detect that another host has died.
_DETECTION_S = 2.0
_STABILIZATION_S = 8.0
_TICK_S = 0.2
# Less than the deadline of the feed's call class, and more than homes wait
# before they try a hand-over again.
_NO_KEEPER_S = 5.0
# More than the time limit of a keeper's offer to a home that does not answer.
_OFFER_TIMEOUT_S = 5.0
# After this time a registration refreshes an answer without Max-Age.
_REFRESH_S = limits.DEFAULT_MAX_AGE_S + limits.REFRESH_GRACE_S + 1.0
WireState = rescue_links.WireState
World = rescue_world.RescueWorld


async def _publish_until_stable(world: World, seconds: float = 3.0) -> None:
    """Publishes more ticks, waits until no feed moves, publishes again."""
    await world.publish_for(seconds)
    await trio.sleep(_STABILIZATION_S)
    await world.publish_for(1.0)
    await trio.sleep(1.0)


async def _lose_power(world: World, home: str) -> None:
    """Silences a host and publishes ticks until others detect its death."""
    world.set_wires(home, WireState.SILENT)
    await world.publish_for(_DETECTION_S)
    world.end_silent_host(home)


@trios.clock_test
async def test_feed_misses_nothing_when_its_home_is_killed() -> None:
    """Guards against losing a tick that was sent to a home just killed."""
    async with rescue_world.run_world() as world:
        await world.publish_for(1.0)
        home = world.find_home().name
        world.set_wires(home, WireState.HELD)
        await world.publish_for(0.3)
        world.kill(home)
        await world.publish_for(_DETECTION_S)
        world.declare_dead(home)
        await _publish_until_stable(world)
        world.check_all_ticks_seen()


@trios.clock_test
async def test_feed_misses_nothing_when_its_home_loses_power() -> None:
    """Guards against losing ticks sent to a failed home before detection.

    Ten ticks are sent to the failed host before other hosts detect its death.
    """
    async with rescue_world.run_world() as world:
        await world.publish_for(1.0)
        home = world.find_home().name
        await _lose_power(world, home)
        await _publish_until_stable(world)
        world.check_all_ticks_seen()


@trios.clock_test
async def test_feed_is_whole_when_a_paused_home_comes_back() -> None:
    """Guards against two homes of one feed after a pause.

    A paused home was declared dead. When it resumes, it would open its feed
    again although another home has taken it over.
    """
    async with rescue_world.run_world() as world:
        await world.publish_for(1.0)
        home = world.find_home().name
        world.set_wires(home, WireState.HELD)
        await world.publish_for(_DETECTION_S)
        world.declare_dead(home)
        await world.publish_for(_DETECTION_S)
        world.resume(home)
        await world.publish_for(0.3)
        world.readmit(home)
        await _publish_until_stable(world)
        world.check_all_ticks_seen()
        assert world.hosts[home].counts.sum("feeds_closed_total") == 1


@trios.clock_test
async def test_feed_is_whole_when_two_homes_send_for_a_while() -> None:
    """Guards against lost and repeated ticks while two homes send.

    A keeper treats a home as dead that can still reach the caller.
    """
    async with rescue_world.run_world() as world:
        await world.publish_for(1.0)
        home = world.find_home().name
        world.declare_dead(home)
        await world.publish_for(1.0)
        world.readmit(home)
        await _publish_until_stable(world)
        world.check_all_ticks_seen()


@trios.clock_test
async def test_feed_goes_on_at_its_keeper_when_a_link_breaks() -> None:
    """Guards against losing ticks in flight on a link that breaks."""
    async with rescue_world.run_world() as world:
        await world.publish_for(1.0)
        home = world.find_home().name
        for keeper in ("k1", "k2"):
            world.get_wire(keeper, home).state = WireState.SILENT
        await world.publish_for(0.5)
        for keeper in ("k1", "k2"):
            world.get_wire(keeper, home).state = WireState.UP
            world.hosts[home].network.break_links(world.hosts[keeper].name)
        await _publish_until_stable(world)
        world.check_all_ticks_seen()


@trios.clock_test
async def test_registrations_before_a_death_repeat_no_event() -> None:
    """Guards against replies that repeat a tick or use up a number.

    A home answers repeated registrations. If the next ticks got the numbers
    of the replies, the caller would drop them as outdated.
    """
    async with rescue_world.run_world() as world:
        await world.publish_for(1.0)
        home = world.find_home()
        received = len(world.caller.received)
        for _ in range(5):
            home.register()
        replies = world.caller.received[received:]
        assert [m.payload for m in replies] == [world.caller.states[-1]] * 5
        await _lose_power(world, home.name)
        await _publish_until_stable(world)
        world.check_all_ticks_seen()


@trios.clock_test
async def test_refreshes_before_a_death_use_no_number_of_an_event() -> None:
    """Guards against Observe numbers that are used twice.

    Each refresh of an answer takes a number. If the next ticks got the same
    numbers, the caller would drop them as outdated.
    """
    for refreshes in (5, 20):
        async with rescue_world.run_world() as world:
            await world.publish_for(1.0)
            home = world.find_home()
            for _ in range(refreshes):
                await trio.sleep(_REFRESH_S)
                home.register()
            await _lose_power(world, home.name)
            await _publish_until_stable(world)
            states = world.list_ticks()
            assert sorted(set(states)) == list(range(states[-1] + 1))
            assert states == sorted(states)
            assert len(states) - len(set(states)) == refreshes, states


@trios.clock_test
async def test_registration_at_the_next_home_is_answered() -> None:
    """Guards against a registration that stays unanswered.

    A caller registers again at a new home that has not sent an answer yet. On
    a board that rarely changes it would wait long for its answer. The answer
    has the number under which the caller received it from the former home.
    """
    async with rescue_world.run_world() as world:
        await world.publish_for(1.0)
        former = world.find_home().name
        await trio.sleep(2 * limits.ACK_INTERVAL_S)
        world.kill(former)
        world.declare_dead(former)
        await trio.sleep(1.0)
        received = len(world.caller.received)
        world.find_home().register()
        await trio.sleep(0.1)
        (reply,) = world.caller.received[received:]
        assert reply.payload == world.caller.states[-1]
        assert reply.opt.observe == world.caller.sequences[-1]
        world.check_all_ticks_seen()


@trios.clock_test
async def test_feed_is_whole_when_its_upstream_drains_at_the_same_moment() -> (
    None
):
    """Guards against lost ticks if a home dies while its feed moves.

    The feed is moving to another upstream, because the present one drains.
    """
    for number in range(12):
        async with rescue_world.run_world(number) as world:
            await world.publish_for(1.0)
            home = world.find_home().name
            world.set_contract("u1")
            await trio.sleep(number * 0.001)
            await _lose_power(world, home)
            await _publish_until_stable(world)
            world.check_all_ticks_seen()


@trios.clock_test
async def test_feed_that_just_moved_is_given_on_under_free_numbers() -> None:
    """Guards against reuse of numbers that the former keeper assigned.

    A home dies after a move, before its reports reach the new keeper. The
    former keeper has assigned further numbers meanwhile. If the new keeper
    sent events with these numbers to the next home, the caller would drop them
    as outdated.
    """
    async with rescue_world.run_world() as world:
        await world.publish_for(1.5)
        world.lags_s["u1"] = 1.0
        world.publish()
        world.set_contract("u1")
        await trio.sleep(_TICK_S)
        home = world.find_home().name
        world.get_wire(home, "k2").state = WireState.SILENT
        # The former upstream publishes these states almost simultaneously.
        for lag_s in (0.801, 0.602, 0.403, 0.204):
            world.lags_s["u1"] = lag_s
            world.publish()
            await trio.sleep(_TICK_S)
        await world.publish_for(0.4)
        await _lose_power(world, home)
        await _publish_until_stable(world)
        world.check_all_ticks_seen()


@trios.clock_test
async def test_keeper_of_a_broken_link_is_told_that_its_feed_is_elsewhere() -> (
    None
):
    """Guards against an observation that stays open after a feed has moved.

    The link to the keeper breaks and the feed moves to another upstream. The
    keeper has to be notified, or it would keep its observation open.
    """
    async with rescue_world.run_world() as world:
        home = world.find_home()
        world.get_wire(home.name, "k1").state = WireState.HELD
        home.network.break_links(world.hosts["k1"].name)
        world.hosts["k1"].network.break_links(home.view.me)
        await world.publish_for(6.0)
        assert world.boards["u2"].count() == 1
        world.get_wire(home.name, "k1").release()
        await trio.sleep(0.1)
        assert world.boards["u1"].count() == 0


@trios.clock_test
async def test_later_keeper_goes_on_where_an_earlier_one_offers_too() -> None:
    """Guards against resuming a feed from outdated events.

    A keeper that lost the link to a home still buffers its feed. The home
    opened the feed at another upstream and died. The caller drops the events
    of the earlier keeper as outdated by their numbers.
    """
    for seed in range(6):
        async with rescue_world.run_world(seed) as world:
            await world.publish_for(1.5)
            home = world.find_home()
            for sender, receiver in ((home.name, "k1"), ("k1", home.name)):
                world.get_wire(sender, receiver).state = WireState.SILENT
            home.network.break_links(world.hosts["k1"].name)
            world.hosts["k1"].network.break_links(home.view.me)
            await world.publish_for(4.5)
            assert world.boards["u2"].count() == 1
            seen = world.list_ticks()[-1]
            await _lose_power(world, home.name)
            await _publish_until_stable(world)
            ticks = world.list_ticks()
            rest = ticks[ticks.index(seen) :]
            assert rest == list(range(seen, ticks[-1] + 1)), rest


@trios.clock_test
async def test_feed_that_moves_goes_back_when_its_link_breaks() -> None:
    """Guards against lost ticks when a link breaks during a move.

    The feed waits to move to an upstream that is ahead. The events that the
    former keeper has not sent yet are not available from the new one.
    """
    async with rescue_world.run_world() as world:
        world.lags_s["u1"] = 0.5
        await world.publish_for(1.5)
        world.set_contract("u1")
        await world.publish_for(0.2)
        assert world.count_observers() == 2
        home = world.find_home()
        home.network.break_links(world.hosts["k1"].name)
        await _publish_until_stable(world)
        world.check_all_ticks_seen()


@trios.clock_test
async def test_feed_is_whole_when_the_role_of_its_keeper_moves() -> None:
    """Guards against lost ticks when a home dies and its keeper changes.

    A home dies, and its keeper hands over its role before the death is
    detected. The keeper would refuse the next home, and the events that it
    buffers would be lost.
    """
    async with rescue_world.run_world() as world:
        await world.publish_for(1.0)
        home = world.find_home().name
        world.set_wires(home, WireState.SILENT)
        await world.publish_for(1.0)
        await world.move_keeper_role("u1")
        await world.publish_for(1.0)
        world.end_silent_host(home)
        await _publish_until_stable(world)
        world.check_all_ticks_seen()
        assert not world.hosts["k1"].keepers.list_loads()


@trios.clock_test
async def test_feed_moves_though_the_home_that_was_asked_died() -> None:
    """Guards against a feed that stays at a draining upstream.

    A home is notified that the upstream drains, and dies. The keeper does not
    repeat the notification to the next home, so the next home has to move the
    feed itself.
    """
    async with rescue_world.run_world() as world:
        await world.publish_for(1.0)
        home = world.find_home().name
        world.set_wires(home, WireState.SILENT)
        await world.publish_for(0.5)
        world.set_contract("u1")
        await world.publish_for(1.5)
        world.end_silent_host(home)
        await _publish_until_stable(world)
        world.check_all_ticks_seen()
        assert world.boards["u1"].count() == 0


@trios.clock_test
async def test_feed_is_whole_when_its_home_dies_during_a_planned_move() -> None:
    """Guards against lost ticks if a home dies during a hand-over.

    The home dies between the messages by which it hands its feed over.
    """
    for number in range(12):
        async with rescue_world.run_world(number) as world:
            await world.publish_for(1.0)
            home = world.find_home()
            leaving = rescue_world.make_leaving(home.view.self_member)
            for host in world.hosts.values():
                host.view.put(leaving)
            with trio.move_on_after(number * 0.001):
                await home.feeds.leave()
            await _lose_power(world, home.name)
            await _publish_until_stable(world)
            world.check_all_ticks_seen()


@trios.clock_test
async def test_states_that_come_back_are_given_again() -> None:
    """Guards against dropping a state that returns to an earlier value.

    A price goes up and down again while the home is dead. By its digest alone,
    the state would be treated as already received.
    """
    async with rescue_world.run_world() as world:
        for state in (b"10", b"11", b"10"):
            world.publish(state)
            await trio.sleep(_TICK_S)
        await trio.sleep(2 * limits.ACK_INTERVAL_S)
        home = world.find_home().name
        world.set_wires(home, WireState.SILENT)
        for state in (b"11", b"10", b"12", b"11"):
            world.publish(state)
            await trio.sleep(_TICK_S)
        world.end_silent_host(home)
        await trio.sleep(1.0)
        assert world.list_ticks() == [0, 10, 11, 10, 11, 10, 12, 11]


@trios.clock_test
async def test_numbers_come_round_while_a_home_dies() -> None:
    """Guards against lost ticks when Observe numbers wrap around.

    Observe numbers have 24 bits, and a caller drops a notification whose
    number appears older.
    """
    for number in range(4):
        async with rescue_world.run_world(
            first=limits.SEQUENCE_MASK - 16 * (5 + 4 * number)
        ) as world:
            await world.publish_for(1.0)
            home = world.find_home().name
            await _lose_power(world, home)
            await _publish_until_stable(world)
            world.check_all_ticks_seen()
            assert min(world.caller.sequences) < 4096


@trios.clock_test
async def test_bodies_in_blocks_are_given_again() -> None:
    """Guards against lost large states.

    A link breaks while a keeper fetches the later blocks of a large state.
    """
    for number in range(6):
        async with rescue_world.run_world(number) as world:
            home = world.find_home().name
            for _ in range(3):
                world.publish(padding=3000)
                await trio.sleep(_TICK_S)
            world.set_wires(home, WireState.SILENT)
            for _ in range(4):
                world.publish(padding=3000)
                await trio.sleep(_TICK_S)
            world.publish(padding=3000)
            await trio.sleep(number * 0.001)
            world.end_silent_host(home)
            await trio.sleep(_TICK_S)
            for _ in range(4):
                world.publish(padding=3000)
                await trio.sleep(_TICK_S)
            await trio.sleep(_STABILIZATION_S)
            world.check_all_ticks_seen()


@trios.clock_test
async def test_feed_goes_on_while_a_confirmable_message_waits() -> None:
    """Guards against lost ticks if a home dies that awaits an acknowledgement.

    The home has sent a confirmable message that the caller has not
    acknowledged.
    """
    async with rescue_world.run_world() as world:
        world.caller.acknowledges = False
        home = world.find_home()
        home.register(world.caller.make_get(aiocoap.CON))
        await world.publish_for(1.0)
        await _lose_power(world, home.name)
        world.caller.acknowledges = True
        await _publish_until_stable(world)
        ticks = world.list_ticks()
        assert ticks == sorted(ticks)
        assert set(ticks) == set(range(ticks[-1] + 1))


@trios.clock_test
async def test_feed_that_ends_with_its_home_is_opened_again() -> None:
    """Guards against a feed that ends without a home.

    An upstream ends an observation, and the home dies before the keeper's
    message arrives. No other home would have the feed.
    """
    async with rescue_world.run_world() as world:
        await world.publish_for(1.0)
        home = world.find_home().name
        world.set_wires(home, WireState.SILENT)
        await world.publish_for(0.5)
        world.boards["u1"].ends = True
        world.publish()
        world.boards["u1"].ends = False
        await trio.sleep(1.0)
        world.end_silent_host(home)
        await _publish_until_stable(world)
        world.check_all_ticks_seen()


def _find_next_home(world: World) -> rescue_host.RescueHost:
    """Returns the host that becomes home when the present one dies."""
    home = world.find_home()
    flow = world.caller.flow
    ranked = home.placement.rank_homes(flow.service, flow.caller)
    return world.hosts[ranked[1].host]


@trios.clock_test
async def test_registration_and_offer_of_a_keeper_make_one_feed() -> None:
    """Guards against two homes of one feed, which both send each tick.

    The caller of a killed home registers again at the next one, which no
    keeper accepts for a while. Then a keeper offers the former home's feed.
    """
    for number, mtype in itertools.product(
        range(12), (aiocoap.NON, aiocoap.CON)
    ):
        async with rescue_world.run_world(number) as world:
            await world.publish_for(1.0)
            former, heir = world.find_home(), _find_next_home(world)
            with mock.patch.object(roles.Roles, "is_kept_here") as is_kept:
                is_kept.return_value = False
                world.kill(former.name)
                heir.register(world.caller.make_get(mtype))
                await world.publish_for(0.5)
                world.declare_dead(former.name)
                await world.publish_for(_NO_KEEPER_S)
            await _publish_until_stable(world)
            world.check_all_ticks_seen()
            assert world.caller.hosts[-1] == heir.name


@trios.clock_test
async def test_registration_and_hand_over_make_one_feed() -> None:
    """Guards against the same where another home has taken the feed over."""
    for number in range(12):
        async with rescue_world.run_world(number) as world:
            await world.publish_for(1.0)
            former, heir = world.find_home(), _find_next_home(world)
            world.kill(former.name)
            world.set_wires(heir.name, WireState.SILENT)
            world.declare_dead(former.name)
            await world.publish_for(_OFFER_TIMEOUT_S)
            with mock.patch.object(roles.Roles, "is_kept_here") as is_kept:
                is_kept.return_value = False
                world.resume(heir.name)
                heir.register(world.caller.make_get(aiocoap.CON))
                await world.publish_for(_NO_KEEPER_S)
            await _publish_until_stable(world)
            world.check_all_ticks_seen()
            assert world.caller.hosts[-1] == heir.name
