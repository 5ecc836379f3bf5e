"""Tests of the conditions that an upstream has to meet for a new flow."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import desired_state
from persimmonhinge.forwarding import upstream
from tests.test_forwarding import scene as scenes

_WARM_UP_S = 2.0
_FLOW_COUNT = 30
_WARM_UP_LIMIT_PER_S = 4.0
# The users allow this multiple of the limit, plus a number of requests.
_ALLOWED_FACTOR = 1.5
_ALLOWED_EXTRA_REQUESTS = 5


def make_scene() -> scenes.Scene:
    """Returns a host with one upstream in each of two failure domains."""
    scene = scenes.Scene()
    scene.add(scenes.make_upstream(1))
    scene.add(scenes.make_upstream(2, domain=scenes.OTHER_DOMAIN))
    return scene


def set_route(
    scene: scenes.Scene,
    *regions: ids.RegionId,
    warm_up_limit_per_s: float = 0.0,
) -> None:
    """Applies a desired state with one route.

    Args:
        scene: The host.
        *regions: Regions that the route is limited to; all if empty.
        warm_up_limit_per_s: Limit for upstreams that are warming up, requests
            per second; 0 for no limit.
    """
    route = records.replace(
        scenes.make_route(scenes.PORT, scenes.SERVICE),
        regions=frozenset(regions),
    )
    limits = (
        {scenes.SERVICE: warm_up_limit_per_s} if warm_up_limit_per_s else {}
    )
    state = desired_state.DesiredState(
        2, {route.virtual_address: route}, 15.0, limits
    )
    scene.knowledge.apply_state(state, "test")


def add_warming_up(scene: scenes.Scene, number: int) -> upstream.Upstream:
    """Adds an upstream that is warming up."""
    warming_up = records.replace(
        scenes.make_upstream(number), warm_up_s=_WARM_UP_S
    )
    return scene.add(warming_up)


def test_flow_of_a_route_stays_in_its_regions() -> None:
    """Guards against requests that run outside the regions of their route."""
    scene = make_scene()
    set_route(scene, scenes.REGION)
    local_upstream = scene.knowledge.directory.get(scenes.make_upstream(1).id)
    for port in range(1000, 1000 + _FLOW_COUNT):
        assert scene.open(port) == local_upstream


def test_flow_is_refused_where_no_upstream_is_in_its_regions() -> None:
    """Guards against flows that leave the regions of their route.

    No upstream of the service is in a region of the route.
    """
    scene = make_scene()
    set_route(scene, ids.RegionId("abroad"))
    scene.receive(scenes.make_packet(1000, scenes.SYN))
    assert scene.count_sent() == (0, 1)


def test_domain_of_unknown_region_gets_no_flow_with_allowed_regions() -> None:
    """Guards against use of a domain whose region the settings do not name."""
    scene = scenes.Scene()
    scene.add(scenes.make_upstream(2, domain=scenes.OTHER_DOMAIN))
    set_route(scene, scenes.REGION)
    scene.receive(scenes.make_packet(1000, scenes.SYN))
    assert scene.count_sent() == (0, 1)


def test_flows_go_to_warm_upstreams_if_the_service_limits_warm_up() -> None:
    """Guards against overload of an upstream that is warming up."""
    scene = make_scene()
    warming_up = add_warming_up(scene, 3)
    set_route(scene, warm_up_limit_per_s=_WARM_UP_LIMIT_PER_S)
    for port in range(1000, 1000 + _FLOW_COUNT):
        assert scene.open(port).id != warming_up.id
    scene.clock.sleep(_WARM_UP_S)
    scene.confirm_state()
    assert warming_up.id in {
        scene.open(p).id for p in range(2000, 2000 + _FLOW_COUNT)
    }


def test_upstream_in_warm_up_gets_flows_of_a_service_without_a_limit() -> None:
    """Guards against upstreams that are idle while others are busy."""
    scene = make_scene()
    warming_up = add_warming_up(scene, 3)
    set_route(scene)
    opened = {scene.open(p).id for p in range(1000, 1000 + _FLOW_COUNT)}
    assert warming_up.id in opened


@hypothesis.given(
    hosts=strategies.sampled_from((1, 6, 84, 195)),
    warm_up_limit_per_s=strategies.floats(0.5, 20.0),
    seed=strategies.integers(0, 1000),
)
@hypothesis.settings(max_examples=12)
def test_upstream_in_warm_up_gets_no_more_than_its_limit_in_any_second(
    hosts: int, warm_up_limit_per_s: float, seed: int
) -> None:
    """Guards against hosts that each keep to a limit but exceed it together.

    All upstreams of the service are warming up, and each host has not yet
    discovered some of the other hosts, one in ten on average.
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
            add_warming_up(scene, number)
        set_route(scene, warm_up_limit_per_s=warm_up_limit_per_s)
        fleet.append(scene)
    sent_at: dict[ids.UpstreamId, list[float]] = {}
    for caller in range(1000, 1000 + 600):
        scene = randomness.choice(fleet)
        sent = len(scene.output.to_upstreams)
        scene.receive(scenes.make_packet(caller, scenes.SYN))
        if len(scene.output.to_upstreams) > sent:
            target = scene.last_upstream().id
            sent_at.setdefault(target, []).append(clock.now)
        clock.sleep(_WARM_UP_S / 601)
    for times in sent_at.values():
        for first in times:
            sent_count = sum(
                first <= opened_at < first + 1.0 for opened_at in times
            )
            assert (
                sent_count
                <= warm_up_limit_per_s * _ALLOWED_FACTOR
                + _ALLOWED_EXTRA_REQUESTS
            )


def test_flow_beyond_the_warm_up_limit_is_refused_at_once() -> None:
    """Guards against callers that wait for a flow that can't be served."""
    scene = scenes.Scene()
    add_warming_up(scene, 1)
    set_route(scene, warm_up_limit_per_s=_WARM_UP_LIMIT_PER_S)
    scene.confirm_state()
    scene.open(1000)
    scene.receive(scenes.make_packet(1001, scenes.SYN))
    assert scene.count_sent() == (1, 1)
