"""Tests of how requests in flight are counted."""

from __future__ import annotations

from tests.test_forwarding import scene as scenes


def test_request_counts_from_its_opening_to_its_answer() -> None:
    scene = scenes.Scene()
    upstream = scene.add(scenes.make_upstream(1))
    scene.open(sequence=9)
    assert scene.loads.in_flight(upstream.id) == 1
    scene.continue_flow(upstream, sequence=10, acknowledged=500, data=200)
    assert scene.loads.in_flight(upstream.id) == 1
    scene.continue_flow(upstream, sequence=210, acknowledged=900)
    assert scene.loads.in_flight(upstream.id) == 0


def test_repeated_data_counts_once() -> None:
    scene = scenes.Scene()
    upstream = scene.add(scenes.make_upstream(1))
    scene.open(sequence=9)
    for _ in range(5):
        scene.continue_flow(upstream, sequence=10, acknowledged=500, data=200)
    scene.continue_flow(upstream, sequence=210, acknowledged=900)
    scene.continue_flow(upstream, sequence=10, acknowledged=500, data=200)
    assert scene.loads.in_flight(upstream.id) == 0


def test_next_request_on_a_long_flow_counts_again() -> None:
    scene = scenes.Scene()
    upstream = scene.add(scenes.make_upstream(1))
    scene.open(sequence=9)
    scene.continue_flow(upstream, sequence=10, acknowledged=500, data=200)
    scene.continue_flow(upstream, sequence=210, acknowledged=900, data=200)
    assert scene.loads.in_flight(upstream.id) == 1


def test_positions_wrap_around() -> None:
    scene = scenes.Scene()
    upstream = scene.add(scenes.make_upstream(1))
    end = 2**32
    scene.open(sequence=end - 101)
    scene.continue_flow(
        upstream, sequence=end - 100, acknowledged=end - 10, data=200
    )
    scene.continue_flow(upstream, sequence=100, acknowledged=5)
    assert scene.loads.in_flight(upstream.id) == 0
    scene.continue_flow(upstream, sequence=100, acknowledged=5, data=10)
    assert scene.loads.in_flight(upstream.id) == 1


def test_flow_that_another_host_opened_is_counted_by_its_requests() -> None:
    scene = scenes.Scene()
    upstream = scene.add(scenes.make_upstream(1))
    scene.continue_flow(upstream, sequence=10, acknowledged=500)
    assert scene.loads.in_flight(upstream.id) == 0
    scene.continue_flow(upstream, sequence=10, acknowledged=500, data=5)
    assert scene.loads.in_flight(upstream.id) == 1


def test_request_whose_end_was_not_seen_is_counted_for_some_seconds() -> None:
    """An upstream is passed over for ever though it is idle.

    Its flows went on through another host, so the end of their requests was
    never seen here. Cause: a request in flight that nothing ends.
    """
    scene = scenes.Scene()
    upstream = scene.add(scenes.make_upstream(1))
    for port in range(1000, 1010):
        scene.open(port=port)
    assert scene.loads.in_flight(upstream.id) == 10
    scene.clock.sleep(3.5)
    scene.tracker.sweep(15.0)
    assert scene.loads.in_flight(upstream.id) == 0


def test_end_of_a_flow_ends_its_request() -> None:
    scene = scenes.Scene()
    upstream = scene.add(scenes.make_upstream(1))
    scene.open()
    packet = scenes.make_packet(
        1000, scenes.RST, token=upstream.token, sequence=2
    )
    scene.receive(packet)
    assert scene.loads.in_flight(upstream.id) == 0


def test_openings_in_a_row_go_to_different_upstreams() -> None:
    scene = scenes.Scene()
    for number in range(1, 5):
        scene.add(scenes.make_upstream(number))
    chosen = {scene.open(port=port).id for port in range(1000, 1004)}
    assert len(chosen) == 4


def test_other_domain_is_used_once_the_own_is_clearly_fuller() -> None:
    """Upstreams of one site refuse requests while others are idle.

    A site has lost most of its upstreams; its hosts send all new flows to
    the rest of them. Cause: the own failure domain before everything.
    """
    scene = scenes.Scene()
    near = scene.add(scenes.make_upstream(1))
    far = scene.add(scenes.make_upstream(2, domain=scenes.OTHER_DOMAIN))
    chosen = [scene.open(port=port) for port in range(1000, 1006)]
    assert chosen[0] == near
    assert far in chosen


def test_work_of_other_hosts_counts() -> None:
    scene = scenes.Scene()
    busy = scene.add(scenes.make_upstream(1))
    idle = scene.add(scenes.make_upstream(2))
    scene.loads.add_reported(busy.token, 5, 500)
    assert {scene.open(port=port) for port in range(1000, 1004)} == {idle}
    scene.loads.add_reported(busy.token, -5, -500)
    assert scene.open(port=1010) == busy
