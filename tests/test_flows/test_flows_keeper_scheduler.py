"""Property tests of the scheduling of keepers for tickets."""

from __future__ import annotations

import collections
import random

import hypothesis
from hypothesis import strategies

from persimmonhinge import ids
from persimmonhinge.flows import keeper_scheduler

_SERVICE = ids.ServiceName("floor-trading")
_ROUNDS = 200
_WEIGHTS = strategies.lists(
    strategies.sampled_from([1.0, 2.0, 3.0]), min_size=3, max_size=6
)


@hypothesis.given(weights=_WEIGHTS, seed=strategies.integers(0, 9))
def test_each_keeper_is_picked_in_proportion_to_its_weight(
    weights: list[float], seed: int
) -> None:
    """Guards against keepers that random choice names twice as often."""
    scheduler = keeper_scheduler.KeeperScheduler(random.Random(seed))
    weight_by_ref = {
        ids.HostRef(n + 1): weight for n, weight in enumerate(weights)
    }
    counts: collections.Counter[ids.HostRef] = collections.Counter()
    for _ in range(_ROUNDS):
        counts.update(scheduler.pick(_SERVICE, weight_by_ref, 1))
    for ref, weight in weight_by_ref.items():
        expected = _ROUNDS * weight / sum(weights)
        assert abs(counts[ref] - expected) <= len(weights)


@hypothesis.given(weights=_WEIGHTS, count=strategies.integers(1, 4))
def test_keepers_of_a_ticket_differ(weights: list[float], count: int) -> None:
    scheduler = keeper_scheduler.KeeperScheduler(random.Random(1))
    weight_by_ref = {
        ids.HostRef(n + 1): weight for n, weight in enumerate(weights)
    }
    for _ in range(20):
        picked = scheduler.pick(_SERVICE, weight_by_ref, count)
        assert len(set(picked)) == min(count, len(weight_by_ref))
    assert not scheduler.pick(_SERVICE, {}, count)


def test_keeper_that_recovers_or_joins_gets_no_more_than_its_turn() -> None:
    """Guards against wrong shares of a keeper that recovers or joins.

    A keeper whose weight was low for a while may be left out long after its
    upstreams have recovered. A keeper that was picked less often than the
    others, or is new, may be named in all tickets.
    """
    scheduler = keeper_scheduler.KeeperScheduler(random.Random(1))
    one, two, new = ids.HostRef(1), ids.HostRef(2), ids.HostRef(3)
    for _ in range(100):
        scheduler.pick(_SERVICE, {one: 2.0, two: 0.04}, 1)
    counts: collections.Counter[ids.HostRef] = collections.Counter()
    for _ in range(30):
        counts.update(
            scheduler.pick(_SERVICE, {one: 2.0, two: 2.0, new: 2.0}, 1)
        )
    assert all(9 <= counts[ref] <= 11 for ref in (one, two, new)), counts
