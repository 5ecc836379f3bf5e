"""Properties of the policies that choose an upstream."""

from __future__ import annotations

import collections
import random

import hypothesis
from hypothesis import strategies

from persimmonhinge import ids
from persimmonhinge.policies import builtin  # noqa: F401
from persimmonhinge.policies import choice

_LOADS = strategies.integers(0, 6)
_SEEDS = strategies.integers(0, 99)


@strategies.composite
def draw_candidates(draw: strategies.DrawFn) -> list[choice.Candidate]:
    """Draws upstreams with loads and capacities."""
    candidates = []
    for number in range(draw(strategies.integers(1, 7))):
        own = draw(_LOADS)
        candidates.append(
            _make_candidate(number, draw(_LOADS) + own, own, draw(_CAPACITIES))
        )
    return candidates


_CAPACITIES = strategies.sampled_from([0.04, 0.5, 1.0, 2.0, 3.0])


def _make_candidate(
    number: int, load: float, own: float = 0, capacity: float = 2
) -> choice.Candidate:
    name = ids.UpstreamId(f"u{number}")
    return choice.Candidate(name, capacity, load, own)


def _make_policy(name: str, seed: int = 1) -> choice.ChoicePolicy:
    return choice.choice_policies.get(name)(random.Random(seed))


@hypothesis.given(
    candidates=draw_candidates(),
    name=strategies.sampled_from(choice.choice_policies.names()),
    seed=_SEEDS,
)
def test_each_policy_returns_a_candidate_and_repeats_by_its_seed(
    candidates: list[choice.Candidate], name: str, seed: int
) -> None:
    first, second = _make_policy(name, seed), _make_policy(name, seed)
    chosen = [first.choose(candidates) for _ in range(20)]
    assert chosen == [second.choose(candidates) for _ in range(20)]
    assert all(candidate in candidates for candidate in chosen)


@hypothesis.given(candidates=draw_candidates(), seed=_SEEDS)
def test_policies_that_use_load_choose_the_least_loaded(
    candidates: list[choice.Candidate], seed: int
) -> None:
    min_load = min(candidate.relative_load for candidate in candidates)
    chosen = _make_policy("least-loaded", seed).choose(candidates)
    assert chosen.relative_load == min_load
    min_round = min(candidate.slot_round for candidate in candidates)
    assert (
        _make_policy("free-slot", seed).choose(candidates).slot_round
        == min_round
    )
    min_own_load = min((c.own_load + 1) / c.capacity for c in candidates)
    chosen = _make_policy("least-connections", seed).choose(candidates)
    assert (chosen.own_load + 1) / chosen.capacity == min_own_load


@hypothesis.given(candidates=draw_candidates(), seed=_SEEDS)
def test_power_of_two_chooses_the_most_loaded_only_when_drawn_twice(
    candidates: list[choice.Candidate], seed: int
) -> None:
    hypothesis.assume(len({c.relative_load for c in candidates}) > 1)
    policy = _make_policy("power-of-two", seed)
    max_load = max(candidate.relative_load for candidate in candidates)
    chosen_count = sum(
        policy.choose(candidates).relative_load == max_load for _ in range(300)
    )
    capacity = sum(candidate.capacity for candidate in candidates)
    max_load_capacity = sum(
        c.capacity for c in candidates if c.relative_load == max_load
    )
    # The square of the probability of one draw, plus a margin for variance.
    assert chosen_count <= 300 * (max_load_capacity / capacity) ** 2 + 60


def test_round_robin_chooses_each_in_turn() -> None:
    candidates = [_make_candidate(number, number) for number in range(5)]
    policy = _make_policy("round-robin")
    chosen = collections.Counter(
        policy.choose(candidates).upstream for _ in range(50)
    )
    assert set(chosen.values()) == {10}


def test_equal_candidates_share_the_work() -> None:
    """Guards against all hosts choosing the first upstream of a contract.

    Candidates are in the order of the contract. If all upstreams are idle, a
    minimum without a random tie break is the same upstream on all hosts.
    """
    candidates = [_make_candidate(number, 0) for number in range(4)]
    for name in choice.choice_policies.names():
        policy = _make_policy(name)
        chosen = collections.Counter(
            policy.choose(candidates).upstream for _ in range(400)
        )
        assert min(chosen.get(c.upstream, 0) for c in candidates) >= 50, name


def test_low_capacity_candidate_is_chosen_only_when_all_are_low() -> None:
    good, bad = _make_candidate(1, 5), _make_candidate(2, 0, capacity=0.04)
    assert _make_policy("free-slot").choose([good, bad]) is good
    worse = _make_candidate(3, 1, capacity=0.04)
    assert _make_policy("free-slot").choose([bad, worse]) is bad
