"""Tests of where packets go."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies

from persimmonhinge.forwarding import upstream as upstreams
from tests.test_forwarding import scene as scenes


def test_first_packet_goes_to_a_ready_upstream_with_its_token() -> None:
    scene = scenes.Scene()
    upstream = scene.add(scenes.make_upstream(1))
    scene.add(scenes.make_upstream(2, service=scenes.OTHER_SERVICE))
    assert scene.open() == upstream
    octets, _ = scene.output.to_upstreams[0]
    assert octets[:8] == bytes.fromhex("0000000000000001")
    assert scenes.read_token(octets) == upstream.token


def test_later_packets_follow_their_token_at_every_host() -> None:
    """A price feed breaks when the fabric hands its packets to another host.

    One host opens the flow; a host joins the rotation and gets the rest of
    its packets; it has never seen the flow. Cause: a table that only the
    first host has.
    """
    first, second = scenes.Scene(), scenes.Scene()
    for number in range(1, 6):
        first.add(scenes.make_upstream(number))
        second.add(scenes.make_upstream(number))
    chosen = first.open()
    second.go_on(chosen, data=100)
    assert second.last_upstream() == chosen


def test_packet_with_a_token_of_nobody_is_dropped() -> None:
    scene = scenes.Scene()
    scene.add(scenes.make_upstream(1))
    scene.go_on(scenes.make_upstream(7), data=10)
    assert scene.count_sent() == (0, 0)
    assert (
        scene.counts.get("packets_dropped_total", reason="unknown-token") == 1
    )


def test_packet_is_never_sent_by_a_token_that_two_upstreams_share() -> None:
    """A feed is reset though its upstream lives and nothing was disturbed.

    Two live upstreams have ids with one hash; a packet of the one's flow is
    sent to the other, which resets a flow that it does not hold. Cause: a
    guess.
    """
    scene = scenes.Scene()
    first = scene.add(scenes.make_upstream(1, token=9))
    scene.add(scenes.make_upstream(2, token=9))
    scene.go_on(first, data=10)
    assert scene.count_sent() == (0, 0)
    third = scene.add(scenes.make_upstream(3, token=8))
    assert scene.open() == third


def test_draining_upstream_keeps_its_flows_and_gets_no_new_one() -> None:
    scene = scenes.Scene()
    leaving = scene.add(scenes.make_upstream(1))
    scene.open()
    scene.go_on(leaving, data=10)
    state = upstreams.UpstreamState.DRAINING
    scene.add(scenes.make_upstream(1, state=state))
    staying = scene.add(scenes.make_upstream(2))
    assert scene.open(port=1001) == staying
    scene.go_on(leaving, data=10, sequence=11)
    assert scene.last_upstream().id == leaving.id
    assert scene.count_sent()[1] == 0


def test_flow_of_an_upstream_that_has_gone_is_reset_at_once() -> None:
    """A feed stalls for a second after its upstream has crashed.

    The entry of the upstream has ended; the caller's next request goes
    nowhere, and it gives up at its time limit. Cause: silence where the host
    knows that there will be no answer.
    """
    scene = scenes.Scene()
    upstream = scene.add(scenes.make_upstream(1))
    scene.open()
    scene.lose(upstream)
    scene.go_on(upstream, data=10, acknowledged=555)
    octets, caller = scene.output.to_callers[0]
    assert caller == 0x64400007
    assert octets[12] == scenes.RST
    assert int.from_bytes(octets[4:8]) == 555


def test_flow_is_not_reset_while_the_store_can_not_be_relied_on() -> None:
    """All feeds break when the store comes back from an outage.

    Entries of upstreams expired while the store was away; the upstreams live
    and write them again within two seconds. Cause: an entry that is not there
    was taken for an upstream that is not there.
    """
    scene = scenes.Scene()
    upstream = scene.add(scenes.make_upstream(1))
    scene.open()
    with scenes.failing_store(scene):
        pass
    scene.lose(upstream)
    scene.go_on(upstream, data=10)
    assert scene.count_sent() == (2, 0)
    assert scene.open(port=1001) == scene.last_upstream()
    scene.clock.sleep(3.0)
    scene.confirm()
    scene.knowledge.end_missing_upstreams(scene.clock.now)
    scene.go_on(upstream, data=10, sequence=11)
    assert scene.count_sent()[1] == 1


def test_opening_without_a_route_is_reset() -> None:
    scene = scenes.Scene()
    scene.add(scenes.make_upstream(1))
    scene.receive(scenes.make_packet(1000, scenes.SYN, service_port=99))
    assert scene.count_sent() == (0, 1)
    octets, _ = scene.output.to_callers[0]
    expected = bytes.fromhex(
        "00000000 00000000 00000000 20 0000000000 00000000 0000"
        "03e8 c6120001 64400007 0063"
    )
    assert octets == expected


def test_opening_without_a_route_is_dropped_by_a_host_with_old_news() -> None:
    """A caller of a new route is refused though the route is in force.

    The route was added while the store did not answer this host; the caller's
    next copy would come to a host that knows it. Cause: a host that can't know
    says that there is no route.
    """
    scene = scenes.Scene()
    scene.add(scenes.make_upstream(1))
    scene.clock.sleep(5.0)
    scene.receive(scenes.make_packet(1000, scenes.SYN, service_port=99))
    assert scene.count_sent() == (0, 0)


def test_open_flow_of_a_dropped_route_is_reset() -> None:
    scene = scenes.Scene()
    upstream = scene.add(scenes.make_upstream(1))
    scene.open()
    scene.set_state(2, scenes.OTHER_PORT)
    scene.go_on(upstream, data=10)
    assert scene.count_sent() == (1, 1)


def test_open_flow_of_a_route_not_heard_of_goes_on() -> None:
    """A flow breaks a moment after its route was added.

    A host that knows the route opens the flow; the next packet comes to a
    host that does not know it yet, which resets the flow. Cause: a route that
    is not known taken for one that was dropped.
    """
    scene = scenes.Scene()
    upstream = scene.add(scenes.make_upstream(1))
    scene.receive(
        scenes.make_packet(
            1000, scenes.ACK, token=upstream.token, data=5, service_port=99
        )
    )
    assert scene.count_sent() == (1, 0)


def test_reset_of_a_caller_is_not_answered() -> None:
    scene = scenes.Scene()
    upstream = scene.add(scenes.make_upstream(1))
    scene.lose(upstream)
    packet = scenes.make_packet(1000, scenes.RST, token=upstream.token)
    scene.receive(packet)
    assert scene.count_sent() == (0, 0)


@hypothesis.given(strategies.binary(max_size=1400))
def test_no_datagram_ends_the_host(octets: bytes) -> None:
    scene = scenes.Scene()
    scene.add(scenes.make_upstream(1))
    scene.receive(octets)
    scene.open(port=1001)
    assert scene.last_upstream().number == 1


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 8),
            strategies.sampled_from(list(upstreams.UpstreamState)),
            strategies.booleans(),
            strategies.booleans(),
        ),
        max_size=12,
    ),
    strategies.lists(strategies.integers(0, 8)),
)
def test_choice_is_always_ready_and_of_the_routes_service(
    entries: list[tuple[int, upstreams.UpstreamState, bool, bool]],
    missed: list[int],
) -> None:
    scene = scenes.Scene()
    for number, state, is_own, is_near in entries:
        scene.add(
            scenes.make_upstream(
                number,
                state=state,
                service=scenes.SERVICE if is_own else scenes.OTHER_SERVICE,
                domain=scenes.HERE if is_near else scenes.ELSEWHERE,
            )
        )
    for number in missed:
        name = scenes.make_upstream(number).id
        scene.suspicions.record_miss(name, scene.clock.now)
    scene.receive(scenes.make_packet(1000, scenes.SYN))
    usable = scene.knowledge.directory.list_in_state(
        scenes.SERVICE, upstreams.UpstreamState.READY
    ) or scene.knowledge.directory.list_in_state(
        scenes.SERVICE, upstreams.UpstreamState.MISSING
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
    opening = scenes.Scene()
    for number in numbers:
        opening.add(scenes.make_upstream(number))
    chosen = opening.open()
    others = source.sample(numbers, len(numbers))
    restarted = scenes.Scene()
    for number in others:
        restarted.add(scenes.make_upstream(number))
    restarted.go_on(chosen, data=10)
    assert restarted.last_upstream().id == chosen.id


def test_opening_without_any_upstream_is_reset_at_once() -> None:
    """A caller waits 1.4 s to learn that its service is down.

    All upstreams of a service have ended, by an answer of the store a moment
    ago. Cause: its opening packets are dropped in silence.
    """
    scene = scenes.Scene()
    scene.lose(scene.add(scenes.make_upstream(1)))
    scene.receive(scenes.make_packet(1000, scenes.SYN))
    assert scene.count_sent() == (0, 1)
    octets, _ = scene.output.to_callers[0]
    assert octets[12] == scenes.RST
    reason = "no-upstream"
    assert scene.counts.get("flows_reset_total", reason=reason) == 1


def test_opening_waits_where_an_upstream_may_be_unknown() -> None:
    """A service is refused though its upstreams live.

    The store was away, and the entries expired; or this host has not heard
    of the store for some time. An upstream that it does not know of may serve
    the next copy of the packet.
    """
    scene = scenes.Scene()
    with scenes.failing_store(scene):
        scene.receive(scenes.make_packet(1000, scenes.SYN))
    scene.receive(scenes.make_packet(1001, scenes.SYN))
    scene.clock.sleep(10.0)
    scene.receive(scenes.make_packet(1002, scenes.SYN))
    assert scene.count_sent() == (0, 0)
    reason = "no-upstream-in-old-state"
    assert scene.counts.get("packets_dropped_total", reason=reason) == 3
