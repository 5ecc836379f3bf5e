"""Tests of packets for upstreams whose entries lapsed while they run."""

from __future__ import annotations

import contextlib

from persimmonhinge import records
from persimmonhinge.forwarding import upstream as upstream_module
from tests.test_forwarding import scene as scenes
from tests.test_forwarding import test_forwarding_entry_replica as replicas

_DRAINING = upstream_module.UpstreamState.DRAINING
_READY = upstream_module.UpstreamState.READY
_SUSPENDED_S = 3.0


def make_scene() -> tuple[scenes.Scene, upstream_module.Upstream]:
    """Returns a host with one upstream, and an open flow there."""
    scene = scenes.Scene()
    upstream = scene.add(scenes.make_upstream(1))
    scene.open()
    answer(scene, upstream, 1)
    return scene, upstream


def answer(
    scene: scenes.Scene, upstream: upstream_module.Upstream, number: int
) -> None:
    """Acknowledges the answer to the last request, and sends the next one."""
    scene.continue_flow(
        upstream, data=10, sequence=1 + 10 * number, acknowledged=100 * number
    )


def test_flows_of_an_upstream_that_answers_survive_its_entry() -> None:
    """Guards against resets of flows at upstreams cut off from the store."""
    scene, upstream = make_scene()
    scene.remove_upstream(upstream)
    for number in range(2, 9):
        scene.clock.sleep(0.8)
        answer(scene, upstream, number)
    assert scene.count_sent() == (9, 0)


def test_flows_of_an_upstream_that_stopped_answering_are_reset() -> None:
    """Guards against silence after the entry of a dead upstream lapsed."""
    scene, upstream = make_scene()
    scene.clock.sleep(1.5)
    scene.remove_upstream(upstream)
    answer(scene, upstream, 2)
    assert scene.count_sent() == (2, 1)


def test_repeated_requests_do_not_make_an_upstream_count_as_running() -> None:
    """Guards against flows at a dead upstream that are never reset."""
    scene, upstream = make_scene()
    scene.remove_upstream(upstream)
    for _ in range(6):
        scene.clock.sleep(0.4)
        scene.continue_flow(upstream, data=10, sequence=11, acknowledged=100)
    assert scene.count_sent()[1] >= 1


def test_upstream_that_announced_to_leave_keeps_no_flow() -> None:
    """Guards against silence after an upstream left as planned."""
    scene, upstream = make_scene()
    scene.add(scenes.make_upstream(1, state=_DRAINING))
    answer(scene, upstream, 2)
    scene.remove_upstream(upstream)
    answer(scene, upstream, 3)
    assert scene.count_sent() == (3, 1)


def test_address_that_is_used_again_gets_no_packet_of_a_lapsed_entry() -> None:
    """Guards against packets of flows that reach another service."""
    for is_entered_before in (False, True):
        scene, upstream = make_scene()
        other = records.replace(
            scenes.make_upstream(2, service=scenes.OTHER_SERVICE),
            address=upstream.address,
        )
        if is_entered_before:
            scene.add(other)
        scene.remove_upstream(upstream)
        if not is_entered_before:
            scene.add(other)
        answer(scene, upstream, 2)
        assert scene.count_sent() == (2, 1)


def test_upstream_without_an_entry_gets_no_new_flow() -> None:
    scene, upstream = make_scene()
    scene.remove_upstream(upstream)
    scene.receive(scenes.make_packet(1001, scenes.SYN))
    assert scene.count_sent() == (2, 1)


def test_flows_survive_an_entry_that_stays_away_after_an_outage() -> None:
    """Guards against resets where the store is back before the upstream."""
    scene, upstream = make_scene()
    with contextlib.ExitStack() as stack:
        stack.enter_context(scenes.failing_store(scene))
    scene.remove_upstream(upstream)
    for number in range(2, 8):
        scene.clock.sleep(0.8)
        scene.confirm_state()
        scene.knowledge.end_missing_upstreams(scene.clock.now)
        answer(scene, upstream, number)
    ended = scene.knowledge.directory.get(upstream.id)
    assert ended is not None
    assert ended.state is upstream_module.UpstreamState.ENDED
    assert scene.count_sent() == (8, 0)


def test_host_that_was_suspended_in_an_outage_ends_no_upstream() -> None:
    """Guards against resets of flows whose entries expired in the outage."""
    replica = replicas.HostReplica()
    key = replicas.make_key("1")
    replica.entries.apply("op/config", replicas.make_state(3), 1)
    replica.entries.apply(key, replicas.make_entry(), 2)
    replica.entries.record_answer()
    assert replica.knowledge.confirmed_at is not None
    replica.knowledge.confirmed_at -= _SUSPENDED_S
    replica.entries.record_answer()
    replica.entries.apply(key, None, 3)
    missing = upstream_module.UpstreamState.MISSING
    assert replica.find_upstream_state("1") is missing
    replica.entries.apply(key, replicas.make_entry(), 4)
    assert replica.find_upstream_state("1") is _READY
