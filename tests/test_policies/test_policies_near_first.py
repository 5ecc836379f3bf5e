"""Tests of the policy that rather stays in the own failure domain."""

from __future__ import annotations

import random

from benchmarks import choice as plays
from benchmarks import choice_layouts
from persimmonhinge import ids
from persimmonhinge.forwarding.decisions import candidates
from persimmonhinge.policies import choice
from persimmonhinge.policies import choice_near_first

_LENGTH_S = 15.0
# Long against the time in which all long flows are opened at first, seconds.
_LONG_S = 40.0
_SEED = 5
_FLOWS = 40


def make(number: int, load: float, near: bool) -> choice.Candidate:
    """Returns a candidate of two slots."""
    name = ids.UpstreamId(f"u{number}")
    return choice.Candidate(name, 2, load, 0, recent=load, near=near)


def make_policy() -> choice_near_first.NearFirstChoice:
    """Returns the policy of a host that has just started."""
    return choice_near_first.NearFirstChoice(random.Random(1))


def play(
    layout: str, sight: str = "all", length_s: float = _LENGTH_S
) -> plays.Result:
    """Plays hosts before busy upstreams."""
    run = plays.Play(
        choice_layouts.LAYOUTS[layout],
        "near-first",
        sight,
        candidates.COMPARED,
        _SEED,
    )
    return run.run(length_s)


def test_flow_stays_where_both_near_candidates_are_full_by_chance() -> None:
    """Guards against flows elsewhere that a cut between domains breaks."""
    policy = make_policy()
    for _ in range(_FLOWS):
        policy.choose([make(1, 0.5, near=True), make(2, 0, near=False)])
    full = [make(1, 2, near=True), make(2, 2, near=True)]
    assert policy.choose([*full, make(3, 0, near=False)]).near


def test_flows_leave_a_domain_that_is_full() -> None:
    """Guards against a domain that sheds while others have nothing to do."""
    policy = make_policy()
    offered = [make(1, 2.2, near=True), make(2, 0.2, near=False)]
    chosen = [policy.choose(offered).near for _ in range(_FLOWS)]
    assert chosen[0]
    assert not chosen[-1]


def test_hardly_any_flow_leaves_its_domain_in_an_even_burst() -> None:
    """Guards against octets and flows between domains that help nobody."""
    assert play("shifted-burst", length_s=_LONG_S).far < 0.02


def test_flows_leave_a_domain_to_which_callers_have_moved() -> None:
    """Guards against callers that share a third of the upstreams."""
    moved = play("shifted-moved")
    staying = play("shifted-moved", sight="own")
    assert moved.far > 0.1
    assert moved.shed < staying.shed / 2
