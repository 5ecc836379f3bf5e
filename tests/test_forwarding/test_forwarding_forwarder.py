"""Tests of the upstreams to which packets are forwarded."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies

from persimmonhinge.forwarding import upstream as upstream_module
from tests.test_forwarding import scene as scene_module


def test_first_packet_goes_to_a_ready_upstream_with_its_token() -> None:
    scene = scene_module.Scene()
    upstream = scene.add(scene_module.make_upstream(1))
    scene.add(scene_module.make_upstream(2, service=scene_module.OTHER_SERVICE))
    assert scene.open() == upstream
    octets, _ = scene.output.to_upstreams[0]
    assert octets[:8] == bytes.fromhex("0000000000000001")
    assert scene_module.read_token(octets) == upstream.token


def test_later_packets_follow_their_token_at_every_host() -> None:
    """Guards against broken flows after the fabric moves them to another host.

    One host opens the flow. Another host joins the rotation and receives the
    later packets without having seen the flow. The flow breaks if forwarding
    depends on a flow table that only the first host has.
    """
    first, second = scene_module.Scene(), scene_module.Scene()
    for number in range(1, 6):
        first.add(scene_module.make_upstream(number))
        second.add(scene_module.make_upstream(number))
    chosen = first.open()
    second.continue_flow(chosen, data=100)
    assert second.last_upstream() == chosen


def test_packet_with_an_unknown_token_is_dropped() -> None:
    scene = scene_module.Scene()
    scene.add(scene_module.make_upstream(1))
    scene.continue_flow(scene_module.make_upstream(7), data=10)
    assert scene.count_sent() == (0, 0)
    assert (
        scene.counts.get("packets_dropped_total", reason="unknown-token") == 1
    )


def test_packet_is_never_sent_by_a_token_that_two_upstreams_share() -> None:
    """Guards against resets of flows whose upstreams share a routing token.

    The ids of two live upstreams have the same hash. A host that picks one of
    them at random sends packets to the wrong upstream, which resets a flow that
    it does not have.
    """
    scene = scene_module.Scene()
    first = scene.add(scene_module.make_upstream(1, token=9))
    scene.add(scene_module.make_upstream(2, token=9))
    scene.continue_flow(first, data=10)
    assert scene.count_sent() == (0, 0)
    third = scene.add(scene_module.make_upstream(3, token=8))
    assert scene.open() == third


def test_draining_upstream_keeps_its_flows_and_gets_no_new_one() -> None:
    scene = scene_module.Scene()
    draining = scene.add(scene_module.make_upstream(1))
    scene.open()
    scene.continue_flow(draining, data=10)
    state = upstream_module.UpstreamState.DRAINING
    scene.add(scene_module.make_upstream(1, state=state))
    ready = scene.add(scene_module.make_upstream(2))
    assert scene.open(port=1001) == ready
    scene.continue_flow(draining, data=10, sequence=11)
    assert scene.last_upstream().id == draining.id
    assert scene.count_sent()[1] == 0


def test_flow_of_an_ended_upstream_is_reset_at_once() -> None:
    """Guards against a feed that stalls for a second when its upstream crashes.

    The entry of the crashed upstream has ended. If the host drops the caller's
    next request without a reset, the caller waits until its time limit.
    """
    scene = scene_module.Scene()
    upstream = scene.add(scene_module.make_upstream(1))
    scene.open()
    scene.remove_upstream(upstream)
    scene.continue_flow(upstream, data=10, acknowledged=555)
    octets, caller = scene.output.to_callers[0]
    assert caller == 0x64400007
    assert octets[12] == scene_module.RST
    assert int.from_bytes(octets[4:8]) == 555


def test_flow_is_not_reset_while_the_store_can_not_be_relied_on() -> None:
    """Guards against resets of all feeds after an outage of the store.

    The entries of live upstreams expired during the outage, and the upstreams
    write them again within two seconds. The feeds break if the host takes a
    missing entry for an upstream that has ended.
    """
    scene = scene_module.Scene()
    upstream = scene.add(scene_module.make_upstream(1))
    scene.open()
    with scene_module.failing_store(scene):
        pass
    scene.remove_upstream(upstream)
    scene.continue_flow(upstream, data=10)
    assert scene.count_sent() == (2, 0)
    assert scene.open(port=1001) == scene.last_upstream()
    scene.clock.sleep(3.0)
    scene.confirm_state()
    scene.knowledge.end_missing_upstreams(scene.clock.now)
    scene.continue_flow(upstream, data=10, sequence=11)
    assert scene.count_sent()[1] == 1


def test_opening_without_a_route_is_reset() -> None:
    scene = scene_module.Scene()
    scene.add(scene_module.make_upstream(1))
    scene.receive(
        scene_module.make_packet(1000, scene_module.SYN, service_port=99)
    )
    assert scene.count_sent() == (0, 1)
    octets, _ = scene.output.to_callers[0]
    expected = bytes.fromhex(
        "00000000 00000000 00000000 20 0000000000 00000000 0000"
        "03e8 c6120001 64400007 0063"
    )
    assert octets == expected


def test_opening_without_a_route_is_dropped_by_a_host_with_stale_state() -> (
    None
):
    """Guards against resets of flows of a new route by a host with stale state.

    The route was added while the store did not answer this host. The caller's
    next copy may reach a host that has the route, so this host must not reset
    the flow.
    """
    scene = scene_module.Scene()
    scene.add(scene_module.make_upstream(1))
    scene.clock.sleep(5.0)
    scene.receive(
        scene_module.make_packet(1000, scene_module.SYN, service_port=99)
    )
    assert scene.count_sent() == (0, 0)


def test_open_flow_of_a_dropped_route_is_reset() -> None:
    scene = scene_module.Scene()
    upstream = scene.add(scene_module.make_upstream(1))
    scene.open()
    scene.set_state(2, scene_module.OTHER_PORT)
    scene.continue_flow(upstream, data=10)
    assert scene.count_sent() == (1, 1)


def test_open_flow_of_an_unknown_route_goes_on() -> None:
    """Guards against a reset of a flow shortly after its route was added.

    A host that has the route opens the flow. The next packet reaches a host
    that has not received the route yet. That host must not treat a route that
    it never had as a removed one.
    """
    scene = scene_module.Scene()
    upstream = scene.add(scene_module.make_upstream(1))
    scene.receive(
        scene_module.make_packet(
            1000,
            scene_module.ACK,
            token=upstream.token,
            data=5,
            service_port=99,
        )
    )
    assert scene.count_sent() == (1, 0)


def test_reset_of_a_caller_is_not_answered() -> None:
    scene = scene_module.Scene()
    upstream = scene.add(scene_module.make_upstream(1))
    scene.remove_upstream(upstream)
    packet = scene_module.make_packet(
        1000, scene_module.RST, token=upstream.token
    )
    scene.receive(packet)
    assert scene.count_sent() == (0, 0)


@hypothesis.given(strategies.binary(max_size=1400))
def test_no_datagram_crashes_the_host(octets: bytes) -> None:
    scene = scene_module.Scene()
    scene.add(scene_module.make_upstream(1))
    scene.receive(octets)
    scene.open(port=1001)
    assert scene.last_upstream().number == 1


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 8),
            strategies.sampled_from(list(upstream_module.UpstreamState)),
            strategies.booleans(),
            strategies.booleans(),
        ),
        max_size=12,
    ),
    strategies.lists(strategies.integers(0, 8)),
)
def test_choice_is_always_ready_and_of_the_routes_service(
    entries: list[tuple[int, upstream_module.UpstreamState, bool, bool]],
    missed: list[int],
) -> None:
    scene = scene_module.Scene()
    for number, state, is_own, is_local in entries:
        scene.add(
            scene_module.make_upstream(
                number,
                state=state,
                service=scene_module.SERVICE
                if is_own
                else scene_module.OTHER_SERVICE,
                domain=scene_module.LOCAL_DOMAIN
                if is_local
                else scene_module.OTHER_DOMAIN,
            )
        )
    for number in missed:
        upstream_id = scene_module.make_upstream(number).id
        scene.suspicions.record_miss(upstream_id, scene.clock.now)
    scene.receive(scene_module.make_packet(1000, scene_module.SYN))
    usable = scene.knowledge.directory.list_in_state(
        scene_module.SERVICE, upstream_module.UpstreamState.READY
    ) or scene.knowledge.directory.list_in_state(
        scene_module.SERVICE, upstream_module.UpstreamState.MISSING
    )
    if usable:
        assert scene.last_upstream() in usable
    else:
        assert scene.count_sent() == (0, 1)


@hypothesis.given(
    strategies.lists(
        strategies.integers(1, 1 << 39), min_size=1, max_size=20, unique=True
    ),
    strategies.randoms(use_true_random=False),
)
def test_token_leads_to_its_upstream_at_any_host_and_after_any_restart(
    numbers: list[int], source: random.Random
) -> None:
    opening = scene_module.Scene()
    for number in numbers:
        opening.add(scene_module.make_upstream(number))
    chosen = opening.open()
    others = source.sample(numbers, len(numbers))
    restarted = scene_module.Scene()
    for number in others:
        restarted.add(scene_module.make_upstream(number))
    restarted.continue_flow(chosen, data=10)
    assert restarted.last_upstream().id == chosen.id


def test_opening_without_any_upstream_is_reset_at_once() -> None:
    """Guards against callers that wait 1.4 s for a service that is down.

    The store has just reported that all upstreams of the service have ended.
    The caller waits if its opening packets are dropped without a reset.
    """
    scene = scene_module.Scene()
    scene.remove_upstream(scene.add(scene_module.make_upstream(1)))
    scene.receive(scene_module.make_packet(1000, scene_module.SYN))
    assert scene.count_sent() == (0, 1)
    octets, _ = scene.output.to_callers[0]
    assert octets[12] == scene_module.RST
    reason = "no-upstream"
    assert scene.counts.get("flows_reset_total", reason=reason) == 1


def test_opening_waits_where_an_upstream_may_be_unknown() -> None:
    """Guards against resets of flows to a service whose upstreams are alive.

    The entries expired during an outage of the store, or the store has not
    answered this host for some time. An upstream whose entry the host lacks may
    serve the next copy of the packet.
    """
    scene = scene_module.Scene()
    with scene_module.failing_store(scene):
        scene.receive(scene_module.make_packet(1000, scene_module.SYN))
    scene.receive(scene_module.make_packet(1001, scene_module.SYN))
    scene.clock.sleep(10.0)
    scene.receive(scene_module.make_packet(1002, scene_module.SYN))
    assert scene.count_sent() == (0, 0)
    reason = "no-upstream-in-old-state"
    assert scene.counts.get("packets_dropped_total", reason=reason) == 3
