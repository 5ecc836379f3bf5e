"""Tests of the conditions for new flows."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import desired_state as desired_states
from persimmonhinge.forwarding import upstream as upstreams
from tests.test_forwarding import scene as scenes

_COLD_S = 2.0
_FLOWS = 30


def make_scene() -> scenes.Scene:
    """Returns a host with an upstream in each of two failure domains."""
    scene = scenes.Scene()
    scene.add(scenes.make_upstream(1))
    scene.add(scenes.make_upstream(2, domain=scenes.ELSEWHERE))
    return scene


def set_route(
    scene: scenes.Scene, *regions: ids.RegionId, cold_limited: bool = False
) -> None:
    """Puts a version in force with one route."""
    route = records.replace(
        scenes.make_route(scenes.PORT, scenes.SERVICE),
        regions=frozenset(regions),
    )
    limited = {scenes.SERVICE} if cold_limited else ()
    state = desired_states.DesiredState(
        2, {route.at: route}, 15.0, frozenset(limited)
    )
    scene.knowledge.take_state(state, "test")


def add_cold(scene: scenes.Scene, number: int) -> upstreams.Upstream:
    """Adds an upstream that has just started."""
    cold = records.replace(scenes.make_upstream(number), cold_s=_COLD_S)
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
    set_route(scene, cold_limited=True)
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
