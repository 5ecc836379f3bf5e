"""Tests of callers that use a port again for another flow."""

from __future__ import annotations

from persimmonhinge.forwarding import upstream as upstream_module
from tests.test_forwarding import scene as scenes

_DRAINING = upstream_module.UpstreamState.DRAINING
_READY = upstream_module.UpstreamState.READY


def open_again(scene: scenes.Scene, sequence: int = 77) -> None:
    """Sends the opening packet of another flow from the same port."""
    scene.receive(scenes.make_packet(1000, scenes.SYN, sequence=sequence))


def test_port_used_again_is_not_sent_to_a_draining_upstream() -> None:
    """Guards against new flows at an upstream that leaves."""
    for flags in (scenes.ACK, scenes.ACK | scenes.FIN):
        scene = scenes.Scene()
        former = scene.add(scenes.make_upstream(1))
        scene.open()
        scene.receive(
            scenes.make_packet(1000, flags, token=former.token, sequence=2)
        )
        scene.add(scenes.make_upstream(1, state=_DRAINING))
        ready = scene.add(scenes.make_upstream(2))
        open_again(scene)
        assert scene.last_upstream() == ready


def test_port_used_again_follows_a_route_that_changed() -> None:
    """Guards against new flows at the former service of a route."""
    scene = scenes.Scene()
    former = scene.add(scenes.make_upstream(1))
    scene.open()
    scene.continue_flow(former, sequence=2)
    scene.set_state(2, scenes.OTHER_PORT)
    open_again(scene)
    assert scene.count_sent() == (2, 1)


def test_port_used_again_of_a_flow_that_another_host_opened() -> None:
    scene = scenes.Scene()
    former = scene.add(scenes.make_upstream(1))
    scene.receive(
        scenes.make_packet(1000, scenes.ACK | scenes.FIN, token=former.token)
    )
    scene.add(scenes.make_upstream(1, state=_DRAINING))
    ready = scene.add(scenes.make_upstream(2))
    open_again(scene)
    assert scene.last_upstream() == ready


def test_late_copy_of_a_flow_that_another_host_opened_goes_with_it() -> None:
    """Guards against a second upstream that answers a copy of an open flow."""
    scene = scenes.Scene()
    former = scene.add(scenes.make_upstream(1))
    scene.continue_flow(former, data=10)
    scene.add(scenes.make_upstream(1, state=_DRAINING))
    scene.add(scenes.make_upstream(2))
    open_again(scene, sequence=0)
    assert scene.last_upstream().number == former.number


def test_port_used_again_before_an_answer_counts_one_request() -> None:
    """Guards against loads that grow with flows that were given up."""
    scene = scenes.Scene()
    upstream = scene.add(scenes.make_upstream(1))
    for sequence in (1, 77, 1234):
        open_again(scene, sequence)
    assert scene.loads.in_flight(upstream.id) == 1
