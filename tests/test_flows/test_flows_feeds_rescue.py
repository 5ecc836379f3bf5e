"""Tests of feeds whose home is lost with events that it had not sent."""

from __future__ import annotations

import aiocoap
import trio

from persimmonhinge.flows.feeds import limits
from tests.support import trios
from tests.test_flows import rescue_links
from tests.test_flows import rescue_world

# Hosts take so long to find that one is dead.
_DETECTION_S = 2.0
_STABILIZATION_S = 8.0
_TICK_S = 0.2
WireState = rescue_links.WireState
World = rescue_world.RescueWorld


async def _publish_until_stable(world: World, seconds: float = 3.0) -> None:
    """Publishes for a while more, and lets what moves come to rest."""
    await world.publish_for(seconds)
    await trio.sleep(_STABILIZATION_S)
    await world.publish_for(1.0)
    await trio.sleep(1.0)


async def _lose_power(world: World, home: str) -> None:
    """Publishes while a host is silent, until others find it dead."""
    world.set_wires(home, WireState.SILENT)
    await world.publish_for(_DETECTION_S)
    world.end_silent_host(home)


@trios.clock_test
async def test_feed_misses_nothing_when_its_home_is_killed() -> None:
    """A tick that a home was just given dies with it."""
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
    """Ten ticks are given to a host that is gone before it is found dead."""
    async with rescue_world.run_world() as world:
        await world.publish_for(1.0)
        home = world.find_home().name
        await _lose_power(world, home)
        await _publish_until_stable(world)
        world.check_all_ticks_seen()


@trios.clock_test
async def test_feed_is_whole_when_a_paused_home_comes_back() -> None:
    """A home that was given up opens its feed beside the one that has it."""
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
    """A keeper takes a home for dead that still reaches its caller."""
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
    """Ticks that are on their way when a link breaks are lost with it."""
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
async def test_registrations_before_a_death_use_no_number_of_an_event() -> None:
    """A home answers registrations under numbers that the next ticks get.

    The caller would take those ticks for old ones.
    """
    async with rescue_world.run_world() as world:
        await world.publish_for(1.0)
        home = world.find_home()
        for _ in range(5):
            home.register()
        await _lose_power(world, home.name)
        await _publish_until_stable(world)
        states = world.list_ticks()
        assert sorted(set(states)) == list(range(states[-1] + 1))
        assert states == sorted(states)
        assert len(states) - len(set(states)) == 5, states


@trios.clock_test
async def test_registration_at_the_next_home_is_answered() -> None:
    """A caller registers again at a home that has sent nothing yet.

    It would wait for the next change of a quiet board.
    """
    async with rescue_world.run_world() as world:
        await world.publish_for(1.0)
        former = world.find_home().name
        await trio.sleep(2 * limits.ACK_INTERVAL_S)
        world.kill(former)
        world.declare_dead(former)
        await trio.sleep(1.0)
        seen = len(world.caller.states)
        world.find_home().register()
        await trio.sleep(0.1)
        assert (
            world.caller.states[seen:] == world.caller.states[seen - 1 : seen]
        )


@trios.clock_test
async def test_feed_is_whole_when_its_upstream_drains_at_the_same_moment() -> (
    None
):
    """A home dies while it moves its feed to another upstream."""
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
    """A home dies after a move that its new keeper heard nothing of.

    The former keeper went on meanwhile. The caller drops what the new one
    gives the next home, if that has numbers which the former one used.
    """
    async with rescue_world.run_world() as world:
        await world.publish_for(1.5)
        world.lags_s["u1"] = 1.0
        world.publish()
        world.set_contract("u1")
        await trio.sleep(_TICK_S)
        home = world.find_home().name
        world.get_wire(home, "k2").state = WireState.SILENT
        # They come almost at one moment at the former upstream.
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
    """A feed stays open at an upstream that serves it no more."""
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
    """A keeper that was cut off from a home still holds its feed.

    The home opened it elsewhere and died. What the earlier keeper offers has
    numbers that the caller takes for old ones.
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
    """A link breaks while its feed waits to move to an upstream ahead.

    What the former keeper has yet to give is missing at the new one.
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
    """A home dies, and its keeper hands its role on before that is found.

    The keeper would refuse the next home, and what it holds is lost.
    """
    async with rescue_world.run_world() as world:
        await world.publish_for(1.0)
        home = world.find_home().name
        world.set_wires(home, WireState.SILENT)
        await world.publish_for(1.0)
        await world.move_role("u1")
        await world.publish_for(1.0)
        world.end_silent_host(home)
        await _publish_until_stable(world)
        world.check_all_ticks_seen()
        assert not world.hosts["k1"].keepers.loads()


@trios.clock_test
async def test_feed_moves_though_the_home_that_was_asked_died() -> None:
    """A home is told that an upstream leaves and dies; nobody moves the feed.

    The word is not given to the next home again.
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
    """A home dies between the messages by which it hands its feed over."""
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
    """A price goes up and comes back while its home is dead.

    A digest would tell that the caller has had it.
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
    """Observe numbers have 24 bits; a caller drops what seems to be older."""
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
    """A link breaks while a keeper fetches the rest of a large state."""
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
    """A home dies that waits for an acknowledgement of its caller."""
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
    """An upstream ends an observation, and the home dies before it hears.

    No home would know of the feed any more.
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
