"""Tests of the conditions for new flows."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import desired_state as desired_states
from persimmonhinge.forwarding import upstream as upstreams
from tests.test_forwarding import scene as scenes

_COLD_S = 2.0
_FLOWS = 30
_COLD_PER_S = 4.0
# What the users allow above that: a share of it, and requests.
_EXCESS = 1.5
_SLACK = 5


def make_scene() -> scenes.Scene:
    """Returns a host with an upstream in each of two failure domains."""
    scene = scenes.Scene()
    scene.add(scenes.make_upstream(1))
    scene.add(scenes.make_upstream(2, domain=scenes.ELSEWHERE))
    return scene


def set_route(
    scene: scenes.Scene, *regions: ids.RegionId, cold_per_s: float = 0.0
) -> None:
    """Puts a version in force with one route."""
    route = records.replace(
        scenes.make_route(scenes.PORT, scenes.SERVICE),
        regions=frozenset(regions),
    )
    limits = {scenes.SERVICE: cold_per_s} if cold_per_s else {}
    state = desired_states.DesiredState(2, {route.at: route}, 15.0, limits)
    scene.knowledge.apply_state(state, "test")


def add_cold(scene: scenes.Scene, number: int) -> upstreams.Upstream:
    """Adds an upstream that has just started."""
    cold = records.replace(scenes.make_upstream(number), warm_up_s=_COLD_S)
    return scene.add(cold)


def test_flow_of_a_route_stays_in_its_regions() -> None:
    """Guards against requests that run in a region where they may not."""
    scene = make_scene()
    set_route(scene, scenes.REGION)
    near = scene.knowledge.directory.get(scenes.make_upstream(1).id)
    for port in range(1000, 1000 + _FLOWS):
        assert scene.open(port) == near


def test_flow_is_refused_where_no_upstream_is_in_its_regions() -> None:
    """Guards against a region that is left since nothing else is there."""
    scene = make_scene()
    set_route(scene, ids.RegionId("abroad"))
    scene.receive(scenes.make_packet(1000, scenes.SYN))
    assert scene.count_sent() == (0, 1)


def test_domain_whose_region_is_not_known_gets_no_bound_flow() -> None:
    """Guards against a domain that the settings do not name."""
    scene = scenes.Scene()
    scene.add(scenes.make_upstream(2, domain=scenes.ELSEWHERE))
    set_route(scene, scenes.REGION)
    scene.receive(scenes.make_packet(1000, scenes.SYN))
    assert scene.count_sent() == (0, 1)


def test_warm_upstreams_take_flows_of_a_service_that_limits_cold_ones() -> None:
    """Guards against more at a cold upstream than its service allows."""
    scene = make_scene()
    cold = add_cold(scene, 3)
    set_route(scene, cold_per_s=_COLD_PER_S)
    for port in range(1000, 1000 + _FLOWS):
        assert scene.open(port).id != cold.id
    scene.clock.sleep(_COLD_S)
    scene.confirm()
    assert cold.id in {scene.open(p).id for p in range(2000, 2000 + _FLOWS)}


def test_cold_upstreams_take_flows_of_a_service_without_a_limit() -> None:
    """Guards against upstreams that stand idle while others are busy."""
    scene = make_scene()
    cold = add_cold(scene, 3)
    set_route(scene)
    opened = {scene.open(p).id for p in range(1000, 1000 + _FLOWS)}
    assert cold.id in opened


@hypothesis.given(
    hosts=strategies.sampled_from((1, 6, 84, 195)),
    cold_per_s=strategies.floats(0.5, 20.0),
    seed=strategies.integers(0, 1000),
)
@hypothesis.settings(max_examples=12)
def test_cold_upstream_gets_no_more_than_its_limit_in_any_second(
    hosts: int, cold_per_s: float, seed: int
) -> None:
    """Guards against hosts that keep to a limit each, and not together.

    All upstreams of the service are cold, and a tenth of the hosts does not
    know another tenth.
    """
    randomness = random.Random(seed)
    clock = scenes.Clock()
    names = [f"host-{number}" for number in range(hosts)]
    fleet = []
    for name in names:
        known = [n for n in names if n != name and randomness.random() < 0.9]
        scene = scenes.Scene(
            clock, randomness=randomness, host=name, others=known
        )
        for number in range(3):
            add_cold(scene, number)
        set_route(scene, cold_per_s=cold_per_s)
        fleet.append(scene)
    sent_at: dict[ids.UpstreamId, list[float]] = {}
    for caller in range(1000, 1000 + 600):
        scene = randomness.choice(fleet)
        sent = len(scene.output.to_upstreams)
        scene.receive(scenes.make_packet(caller, scenes.SYN))
        if len(scene.output.to_upstreams) > sent:
            to = scene.last_upstream().id
            sent_at.setdefault(to, []).append(clock.now)
        clock.sleep(_COLD_S / 601)
    for times in sent_at.values():
        for first in times:
            within = sum(first <= at < first + 1.0 for at in times)
            assert within <= cold_per_s * _EXCESS + _SLACK


def test_flow_beyond_what_cold_upstreams_bear_is_refused_at_once() -> None:
    """Guards against callers that wait for what is known not to be served."""
    scene = scenes.Scene()
    add_cold(scene, 1)
    set_route(scene, cold_per_s=_COLD_PER_S)
    scene.confirm()
    scene.open(1000)
    scene.receive(scenes.make_packet(1001, scenes.SYN))
    assert scene.count_sent() == (1, 1)
