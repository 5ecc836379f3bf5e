"""Tests that the views of all hosts converge after arbitrary failures."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import trio

from tests.support import trios
from tests.test_membership import hosts

_REPEATABLE = hypothesis.settings(
    deadline=None, derandomize=True, max_examples=15
)
_COUNT = 5
# Time for convergence: the longest retry delay for contacting a partitioned
# host, with jitter, and the exchange of state that follows.
_MAX_CONVERGENCE_S = 40.0

number_strategy = strategies.integers(0, _COUNT - 1)
event_strategy = strategies.one_of(
    strategies.tuples(
        strategies.sampled_from(["kill", "start", "leave", "rejoin"]),
        number_strategy,
    ),
    strategies.tuples(strategies.just("cut"), strategies.integers(0, 31)),
    strategies.tuples(strategies.just("one-way"), strategies.integers(0, 31)),
    strategies.tuples(strategies.just("heal"), strategies.just(0)),
    strategies.tuples(strategies.just("wait"), strategies.integers(1, 50)),
)


async def apply_event(fleet: hosts.Fleet, event: str, number: int) -> None:
    """Applies one event to the fleet.

    Args:
        fleet: The hosts.
        event: Kind of event.
        number: Number of the host; for partitions ("cut" and "one-way"), a
            bit set of the hosts on one side; for "wait", tenths of a second.
    """
    if event == "wait":
        await trio.sleep(number / 10)
    elif event == "cut":
        fleet.partition(lambda a, b: (number >> a & 1) != (number >> b & 1))
    elif event == "one-way":
        fleet.partition(lambda a, b: (number >> a & 1) > (number >> b & 1))
    elif event == "heal":
        fleet.heal()
    elif event == "start" and number not in fleet.hosts:
        await fleet.start_host(number)
    elif event == "kill" and number in fleet.hosts:
        fleet.kill(number)
    elif event == "leave" and number in fleet.hosts:
        await fleet.hosts[number].membership.leave()
    elif event == "rejoin" and number in fleet.hosts:
        await fleet.hosts[number].membership.rejoin()


@_REPEATABLE
@hypothesis.given(
    strategies.lists(event_strategy, max_size=12),
    strategies.integers(0, 1000),
    strategies.sampled_from([0.0, 0.1]),
)
def test_hosts_agree_in_the_end(
    events: list[tuple[str, int]], seed: int, loss: float
) -> None:
    @trios.clock_test
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            fleet = hosts.Fleet(nursery, seed, loss)
            await fleet.start(_COUNT)
            for event, number in events:
                await apply_event(fleet, event, number)
            fleet.heal()
            for number in range(_COUNT):
                await apply_event(fleet, "start", number)
                await apply_event(fleet, "rejoin", number)
            await fleet.wait_until(fleet.agrees, _MAX_CONVERGENCE_S)
            nursery.cancel_scope.cancel()

    run()
