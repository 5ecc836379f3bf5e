"""Property test of feeds whose home fails while other changes happen."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import hypothesis
from hypothesis import strategies
import trio

from tests.support import trios
from tests.test_flows import rescue_links
from tests.test_flows import rescue_world

# Time in which hosts detect that another host has died.
_DETECTION_S = 2.0
_STABILIZATION_S = 8.0
_INTERVALS_S = (0.02, 0.2)
_PAUSES_S = (0.0, 0.001, 0.002, 0.01, 0.3, 1.2)
# A scenario takes too long for the many repetitions of shrinking, which is
# therefore disabled.
_SETTINGS = hypothesis.settings(
    deadline=None,
    derandomize=True,
    max_examples=60,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
WireState = rescue_links.WireState
World = rescue_world.RescueWorld
Step = Callable[[World, str], Awaitable[None]]


async def _kill(world: World, home: str) -> None:
    """Kills a host; other hosts detect its death later."""
    world.kill(home)
    await trio.sleep(_DETECTION_S)
    world.declare_dead(home)


async def _lose_power(world: World, home: str) -> None:
    """Silences a host permanently; other hosts detect its death later."""
    world.set_wires(home, WireState.SILENT)
    world.hosts[home].is_up = False
    await trio.sleep(_DETECTION_S)
    world.end_silent_host(home)


async def _pause(world: World, home: str) -> None:
    """Pauses a host until it is declared dead, and then resumes it."""
    world.set_wires(home, WireState.HELD)
    await trio.sleep(_DETECTION_S)
    world.declare_dead(home)
    await trio.sleep(_DETECTION_S)
    world.resume(home)
    await trio.sleep(0.1)
    world.readmit(home)


async def _drain_upstream(world: World, home: str) -> None:
    """Drains the upstream that is chosen first."""
    world.set_contract("u1")


async def _undrain_upstreams(world: World, home: str) -> None:
    """Ends all drains."""
    world.set_contract()


async def _move_keeper_role(world: World, home: str) -> None:
    """Makes another host the keeper of the upstream that is chosen first."""
    await world.move_keeper_role("u1")


async def _break_links(world: World, home: str) -> None:
    """Breaks all links of the home's host once."""
    for other in world.hosts.values():
        other.network.break_links(world.hosts[home].name)


async def _start_planned_stop(world: World, home: str) -> None:
    """Starts a planned stop of the home's host."""
    host = world.hosts[home]
    leaving = rescue_world.make_leaving(host.view.self_member)
    for other in world.hosts.values():
        other.view.put(leaving)
    host.nursery.start_soon(host.feeds.leave)


_DEATHS: tuple[Step, ...] = (_kill, _lose_power, _pause)
_CHANGES: tuple[Step, ...] = (
    _drain_upstream,
    _undrain_upstreams,
    _move_keeper_role,
    _break_links,
    _start_planned_stop,
)


# Scenarios in which the caller once missed events: steps with pauses in
# seconds, failures of homes, interval between ticks in seconds, and seed.
_REGRESSIONS: tuple[
    tuple[list[tuple[Step, float]], list[Step], float, int], ...
] = (
    ([(_drain_upstream, 0.0), (_break_links, 0.01)], [_lose_power], 0.02, 34),
    (
        [
            (_drain_upstream, 0.001),
            (_break_links, 0.002),
            (_undrain_upstreams, 0.0),
        ],
        [_kill],
        0.02,
        44,
    ),
    ([(_break_links, 0.0)], [_pause], 0.2, 324),
    ([(_move_keeper_role, 0.001), (_break_links, 0.3)], [_kill], 0.02, 369),
    (
        [
            (_move_keeper_role, 0.001),
            (_break_links, 1.2),
            (_undrain_upstreams, 1.2),
        ],
        [_lose_power],
        0.02,
        480,
    ),
    (
        [
            (_start_planned_stop, 0.01),
            (_drain_upstream, 0.001),
            (_break_links, 0.002),
        ],
        [_kill],
        0.02,
        44,
    ),
    (
        [(_start_planned_stop, 0.01), (_move_keeper_role, 0.002)],
        [_lose_power],
        0.02,
        135,
    ),
    (
        [
            (_start_planned_stop, 0.001),
            (_move_keeper_role, 0.0),
            (_drain_upstream, 0.001),
        ],
        [_pause],
        0.2,
        504,
    ),
    (
        [
            (_start_planned_stop, 0.001),
            (_move_keeper_role, 0.0),
            (_break_links, 0.002),
        ],
        [_lose_power],
        0.2,
        643,
    ),
    (
        [(_start_planned_stop, 0.01), (_break_links, 0.002)],
        [_pause, _pause],
        0.02,
        262,
    ),
    (
        [(_break_links, 1.2), (_start_planned_stop, 0.001)],
        [_kill, _kill],
        0.2,
        579,
    ),
    (
        [(_start_planned_stop, 0.002), (_move_keeper_role, 0.001)],
        [_pause, _kill],
        0.02,
        7065,
    ),
    (
        [
            (_drain_upstream, 1.2),
            (_start_planned_stop, 0.001),
            (_break_links, 0.002),
        ],
        [_pause, _kill],
        0.2,
        674,
    ),
)


async def _run_scenario(
    steps: list[tuple[Step, float]],
    deaths: list[Step],
    interval_s: float,
    seed: int,
) -> World:
    async with rescue_world.run_world(seed) as world:
        async with trio.open_nursery() as nursery:
            publish_s = 8.0 * len(deaths)
            nursery.start_soon(world.publish_for, publish_s, interval_s)
            await trio.sleep(1.5)
            home = world.find_home().name
            for step, pause_s in steps:
                await step(world, home)
                await trio.sleep(pause_s)
            for death in deaths:
                if not world.is_keeper_of_feed(home):
                    await death(world, home)
                await trio.sleep(1.0)
                home = world.find_home().name
        await trio.sleep(_STABILIZATION_S)
        await world.publish_for(0.5)
        await trio.sleep(1.0)
        world.check_all_ticks_seen()
    return world


@_SETTINGS
@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(_CHANGES),
            strategies.sampled_from(_PAUSES_S),
        ),
        max_size=3,
        unique_by=lambda step: step[0],
    ),
    deaths=strategies.lists(
        strategies.sampled_from(_DEATHS), min_size=1, max_size=2
    ),
    interval_s=strategies.sampled_from(_INTERVALS_S),
    seed=strategies.integers(0, 99),
)
def test_feeds_are_whole_when_homes_are_lost_during_changes(
    steps: list[tuple[Step, float]],
    deaths: list[Step],
    interval_s: float,
    seed: int,
) -> None:
    """Guards against lost, repeated or reordered ticks when homes fail.

    Homes fail while upstreams drain, keeper roles move or links break. The
    keepers stay alive, so the caller must receive each tick once and in order.
    """

    @trios.clock_test
    async def run() -> None:
        await _run_scenario(steps, deaths, interval_s, seed)

    run()


def test_scenarios_that_once_lost_events_deliver_every_event() -> None:
    """Guards against the return of faults that scenarios have found."""
    for steps, deaths, interval_s, seed in _REGRESSIONS:

        @trios.clock_test
        async def run(
            steps: list[tuple[Step, float]] = steps,
            deaths: list[Step] = deaths,
            interval_s: float = interval_s,
            seed: int = seed,
        ) -> None:
            await _run_scenario(steps, deaths, interval_s, seed)

        run()
