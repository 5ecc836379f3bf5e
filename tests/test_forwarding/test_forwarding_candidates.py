"""Tests of the upstreams that a host compares for a new flow."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies

from benchmarks import choice as plays
from benchmarks import choice_layouts
from persimmonhinge import ids
from persimmonhinge.forwarding import directory as directories
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.forwarding.decisions import candidates
from tests.test_forwarding import scene as scenes

_LENGTH_S = 15.0
_SEED = 5


def make_pool(
    known: list[upstreams.Upstream],
) -> candidates.CandidatePool:
    """Returns the pool of a host that knows some upstreams."""
    directory = directories.Directory(60.0)
    for upstream in known:
        directory.put(upstream, 0.0)
    return candidates.CandidatePool(
        scenes.HERE, directory, random.Random(_SEED)
    )


def play(drawn: int) -> plays.Result:
    """Plays 72 hosts whose reports are a second old, before busy upstreams."""
    layout = choice_layouts.LAYOUTS["grown-full"]
    run = plays.Play(layout, "near-first", "all", drawn, _SEED)
    return run.run(_LENGTH_S)


def test_hosts_with_old_reports_do_not_rush_to_one_upstream() -> None:
    """Guards against upstreams that shed while others have nothing to do.

    Hosts that compare all upstreams by the same old reports choose the same
    one until the next reports.
    """
    of_all = play(drawn=0)
    of_few = play(drawn=candidates.COMPARED)
    assert of_few.shed < of_all.shed / 5
    assert of_few.wait_ms < of_all.wait_ms


def test_choice_looks_at_as_many_among_thousands() -> None:
    """Guards against openings that take the longer the more upstreams are."""
    looked: dict[int, int] = {}
    for count in (75, 5_000):
        pool = make_pool([scenes.make_upstream(n) for n in range(count)])
        seen: list[ids.UpstreamId] = []

        def is_usable(
            upstream: upstreams.Upstream, seen: list[ids.UpstreamId] = seen
        ) -> bool:
            seen.append(upstream.id)
            return True

        pool.draw(scenes.SERVICE, is_usable)
        looked[count] = len(seen)
    assert looked[5_000] <= looked[75]


@hypothesis.given(
    near=strategies.integers(0, 12),
    far=strategies.integers(0, 12),
    bad=strategies.sets(strategies.integers(0, 23)),
)
def test_only_usable_upstreams_of_the_service_are_drawn(
    near: int, far: int, bad: set[int]
) -> None:
    known = [scenes.make_upstream(n) for n in range(near)]
    known += [
        scenes.make_upstream(12 + n, domain=scenes.ELSEWHERE)
        for n in range(far)
    ]
    other = scenes.make_upstream(40, service=scenes.OTHER_SERVICE)
    leaving = scenes.make_upstream(41, state=upstreams.UpstreamState.DRAINING)
    pool = make_pool([*known, other, leaving])
    drawn = pool.draw(scenes.SERVICE, lambda u: u.number not in bad)
    names = [upstream.id for upstream in drawn]
    assert len(set(names)) == len(names) <= 2 * candidates.COMPARED
    assert all(upstream.number not in bad for upstream in drawn)
    assert set(names) <= {upstream.id for upstream in known}


def test_upstream_that_leaves_is_drawn_no_more() -> None:
    """Guards against new flows at an upstream that said that it leaves."""
    directory = directories.Directory(60.0)
    leaving = scenes.make_upstream(1)
    directory.put(leaving, 0.0)
    directory.put(scenes.make_upstream(2), 0.0)
    pool = candidates.CandidatePool(
        scenes.HERE, directory, random.Random(_SEED)
    )
    assert len(pool.draw(scenes.SERVICE, lambda _: True)) == 2
    directory.set_state(leaving.id, upstreams.UpstreamState.DRAINING)
    (left,) = pool.draw(scenes.SERVICE, lambda _: True)
    assert left.id != leaving.id


def test_flow_goes_to_the_one_good_upstream_among_many_in_doubt() -> None:
    """Guards against a draw that misses the only upstream that answers."""
    scene = scenes.Scene()
    for number in range(60):
        scene.add(scenes.make_upstream(number))
    good = scene.add(scenes.make_upstream(60))
    for upstream in scene.knowledge.directory.list_all():
        if upstream.id != good.id:
            scene.suspicions.record_miss(upstream.id, scene.clock.now)
    assert scene.open().id == good.id
