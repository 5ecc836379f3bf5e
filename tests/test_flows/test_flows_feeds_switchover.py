"""Property tests of feeds while upstreams and homes change."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import hypothesis
from hypothesis import strategies
import trio

from persimmonhinge import ids
from persimmonhinge.peers.messages import feeds
from tests.support import trios
from tests.test_flows import feeds_fakes
from tests.test_flows import feeds_upstreams
from tests.test_flows import feeds_values
from tests.test_flows import feeds_world

_HOSTS = ("h1", "h2", "h3")
_MAX_LAG_S = 0.05
_STABILIZATION_S = 12.0
_DETECTION_S = 1.0
_PAUSES_S = (0.0, 0.003, 0.05, 0.3)
_INTERVALS_S = (0.01, 0.03, 0.1)
# Homes move 1 s after the last change of the view, and at the latest 5 s after
# the first change.
_HOME_MOVE_S = 2.5
# Delay with which a host that waits for CPU time forwards events.
_SLOW_KEEPER_LAG_S = 0.9
# A scenario takes too long for the many repetitions of shrinking, which is
# therefore disabled.
_SETTINGS = hypothesis.settings(
    deadline=None,
    derandomize=True,
    max_examples=40,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
World = feeds_world.World
Step = Callable[["Scenario"], Awaitable[None]]
Steps = list[tuple[Step, float]]
Cause = feeds.FeedEndCause
State = feeds_values.State


class Scenario:
    """A sequence of changes that affect one feed.

    Attributes:
        world: World of the scenario.
        tick: Newest state published.
        ended: True to stop publishing.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.tick = 0
        self.ended = False
        for upstream in world.upstreams.values():
            upstream.lag_s = world.random.uniform(0, _MAX_LAG_S)

    async def publish(self) -> None:
        """Publishes a state at each upstream after that upstream's lag."""
        self.tick += 1
        await self.world.publish_with_lags(self.tick)

    async def publish_steadily(self) -> None:
        """Publishes states until the scenario ends."""
        interval_s = self.world.random.choice(_INTERVALS_S)
        async with trio.open_nursery() as nursery:
            while not self.ended:
                nursery.start_soon(self.publish)
                await trio.sleep(interval_s)

    async def drain_by_keeper(self) -> None:
        """Lets the keeper request a move of the feed."""
        self._find_serving_upstream().send_end(Cause.DRAINING)

    async def move_keeper(self) -> None:
        """Lets the keeper report twice that its role has moved."""
        self._find_serving_upstream().send_end(Cause.MOVED)
        self._find_serving_upstream().send_end(Cause.MOVED)

    async def drain_by_contract(self) -> None:
        """Drains one upstream and undrains the others."""
        name = self.world.random.choice(feeds_values.UPSTREAMS)
        self.world.set_contract(name)

    async def rebalance(self) -> None:
        """Requests moves that keep the upstream if no other accepts."""
        for host in self.world.hosts.values():
            for name in feeds_values.UPSTREAMS:
                upstream = ids.UpstreamId(name)
                await host.feeds.move(feeds_values.SERVICE, upstream, 1)

    async def drain_home(self) -> None:
        """Sets the home to LEAVING and all other hosts to ALIVE."""
        home = self.world.caller.senders[-1]
        for host in self.world.list_live_hosts():
            state = State.LEAVING if host.name == home else State.ALIVE
            await self.world.spread_member(host.name, state)

    async def lose_keeper(self) -> None:
        """Breaks the links to the keeper that serves the feed."""
        self._find_serving_upstream().cut()

    async def report_silent_upstream(self) -> None:
        """Lets the keeper report that its upstream has become silent."""
        self._find_serving_upstream().send_end(Cause.SILENT)

    async def lose_observation(self) -> None:
        """Lets the keeper report that the upstream ended the observation."""
        self._find_serving_upstream().send_end(Cause.LOST)

    async def kill_home(self) -> None:
        """Kills the home; its keeper hands the feed over twice."""
        home = self.world.hosts[self.world.caller.senders[-1]]
        stream = self._find_serving_upstream().find_stream()
        others = [h for h in self.world.list_live_hosts() if h is not home]
        if not others or stream is None:
            return
        home.crash()
        await trio.sleep(_DETECTION_S)
        await self.world.spread_member(home.name, State.DEAD)
        for new_home in others:
            if await stream.hand_over(new_home) and await stream.hand_over(
                new_home
            ):
                return

    def _find_serving_upstream(self) -> feeds_upstreams.FakeUpstream:
        for upstream in self.world.upstreams.values():
            if upstream.open_streams():
                return upstream
        return self.world.upstreams["u1"]


_PLANNED_STEPS: tuple[Step, ...] = (
    Scenario.drain_by_keeper,
    Scenario.move_keeper,
    Scenario.drain_by_contract,
    Scenario.rebalance,
    Scenario.drain_home,
)
_ALL_STEPS = (
    *_PLANNED_STEPS,
    Scenario.lose_keeper,
    Scenario.report_silent_upstream,
    Scenario.lose_observation,
    Scenario.kill_home,
)


def _draw_steps(steps: tuple[Step, ...]) -> strategies.SearchStrategy[Steps]:
    pause = strategies.sampled_from(_PAUSES_S)
    step = strategies.sampled_from(steps)
    return strategies.lists(strategies.tuples(step, pause), max_size=8)


async def _run_scenario(steps: Steps, seed: int) -> World:
    async with feeds_fakes.run_world(*_HOSTS, seed=seed) as world:
        scenario = Scenario(world)
        world.find_home().register()
        await trio.sleep(0.1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scenario.publish_steadily)
            for step, pause_s in steps:
                nursery.start_soon(step, scenario)
                await trio.sleep(pause_s)
            await trio.sleep(_HOME_MOVE_S)
            scenario.ended = True
        for _ in range(2):
            await trio.sleep(_STABILIZATION_S)
            await scenario.publish()
        await trio.sleep(_STABILIZATION_S)
        assert world.caller.ticks[-1] == scenario.tick, "feed has stopped"
        assert world.count_feeds() == 1
        assert world.count_streams() == 1
        assert sum(h.chooser.open_count for h in world.list_live_hosts()) == 1
    return world


@trios.clock_test
async def test_feeds_wait_for_a_keeper_that_is_slow() -> None:
    """Guards against a lost event in a planned move from a slow keeper.

    A feed moves because an operator replaces a host. The former keeper is
    alive but gets CPU time 0.9 s late, while the new keeper is already ahead
    by more than one state. A home that switches to the new keeper after half a
    second loses the states in between.
    """
    async with feeds_fakes.run_world(*_HOSTS) as world:
        scenario = Scenario(world)
        for upstream in world.upstreams.values():
            upstream.lag_s = 0.0
        world.find_home().register()
        await trio.sleep(0.1)
        former = scenario._find_serving_upstream()
        former.lag_s = _SLOW_KEEPER_LAG_S
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(scenario.publish)
                await trio.sleep(0.2)
            await scenario.drain_by_keeper()
            for _ in range(12):
                nursery.start_soon(scenario.publish)
                await trio.sleep(0.2)
        await trio.sleep(_STABILIZATION_S)
        assert former.find_stream() is None
        ticks = world.caller.ticks
        assert ticks == list(range(scenario.tick + 1)), ticks


@_SETTINGS
@hypothesis.given(
    steps=_draw_steps(_PLANNED_STEPS), seed=strategies.integers(0, 99)
)
def test_feeds_lose_and_repeat_nothing_at_planned_changes(
    steps: Steps, seed: int
) -> None:
    """Guards against lost, repeated or reordered events at planned changes.

    Drains, undrains, rebalances and moves of the home happen at any time and
    overlap. Upstreams publish a state up to 50 ms apart, and the views of the
    hosts change at different times.
    """

    @trios.clock_test
    async def run() -> None:
        world = await _run_scenario(steps, seed)
        ticks = world.caller.ticks
        assert ticks == list(range(len(ticks))), ticks

    run()


@_SETTINGS
@hypothesis.given(
    steps=_draw_steps(_ALL_STEPS), seed=strategies.integers(0, 99)
)
def test_feeds_never_step_back_and_live_on_through_failures(
    steps: Steps, seed: int
) -> None:
    """Guards against reordered events and stopped feeds after failures.

    A keeper or home dies, or an upstream becomes silent. States published
    while no upstream serves the feed are lost, but the caller must not receive
    an older state after a newer one and must receive the newest state in the
    end. A home that adopts a feed sends the newest state again, because the
    former home may have died before it sent it.
    """

    @trios.clock_test
    async def run() -> None:
        world = await _run_scenario(steps, seed)
        ticks = world.caller.ticks
        assert ticks == sorted(ticks), ticks
        deaths = [step for step, _ in steps if step is Scenario.kill_home]
        assert len(ticks) - len(set(ticks)) <= len(deaths), ticks

    run()
