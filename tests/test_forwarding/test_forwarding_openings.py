"""Tests of opening packets that an upstream does not answer."""

from __future__ import annotations

from persimmonhinge.forwarding.decisions.upstream_health import answer_timeout
from persimmonhinge.forwarding.decisions.upstream_health import openings
from tests.test_forwarding import scene as scenes


def test_unanswered_opening_is_sent_elsewhere_before_the_callers_copy() -> None:
    """Guards against a delay of 200 ms for each flow to a failed upstream.

    The caller retransmits its opening packet only after 200 ms, which is more
    than its latency target. An answer is due after 4 ms, so the host must not
    wait for the retransmission.
    """
    scene = scenes.Scene()
    scene.add(scenes.make_upstream(1))
    scene.add(scenes.make_upstream(2))
    first = scene.open()
    scene.clock.sleep(answer_timeout.MIN_ANSWER_TIMEOUT_S + 0.001)
    scene.handle_due_openings()
    second = scene.last_upstream()
    assert second != first
    assert scene.count_sent() == (2, 0)


def test_answered_opening_is_sent_once() -> None:
    scene = scenes.Scene()
    scene.add(scenes.make_upstream(1))
    scene.add(scenes.make_upstream(2))
    chosen = scene.open()
    scene.continue_flow(chosen)
    scene.clock.sleep(1.0)
    scene.handle_due_openings()
    assert scene.count_sent() == (2, 0)


def test_opening_of_a_caller_that_left_is_not_sent_without_end() -> None:
    """Guards against unlimited retries of an opening packet.

    If a caller leaves after its opening packet, a host without a limit would
    send the packet to one upstream after the other, every 30 ms. Hosts would
    spend all their time on such flows.
    """
    scene = scenes.Scene()
    for number in range(1, 9):
        scene.add(scenes.make_upstream(number))
    scene.open()
    for _ in range(50):
        scene.clock.sleep(answer_timeout.MIN_ANSWER_TIMEOUT_S + 0.001)
        scene.handle_due_openings()
    assert scene.count_sent() == (3, 0)


def test_copy_of_an_open_flow_goes_to_its_upstream() -> None:
    """Guards against a wrong token after a late copy of an opening packet.

    If the copy for an open flow were treated as a new flow, it would go to a
    second upstream. That upstream's answer would replace the caller's routing
    token, and the flow's feed would go to the wrong upstream.
    """
    scene = scenes.Scene()
    for number in range(1, 9):
        scene.add(scenes.make_upstream(number))
    chosen = scene.open()
    scene.continue_flow(chosen, data=10)
    for _ in range(20):
        scene.open(acknowledged=1)
        assert scene.last_upstream() == chosen


def test_copy_read_with_the_first_packet_goes_where_that_one_went() -> None:
    """Guards against flows that are opened at two upstreams after a restart.

    Packets stay in the host's socket while it starts, so it reads an opening
    packet together with the copy that its caller sent 200 ms later. If every
    copy meant that the upstream had not answered, the host would send the copy
    to a second upstream.
    """
    scene = scenes.Scene()
    for number in range(1, 9):
        scene.add(scenes.make_upstream(number))
    chosen = scene.open()
    for _ in range(20):
        scene.open(acknowledged=1)
        assert scene.last_upstream() == chosen
    scene.clock.sleep(0.2)
    scene.open(acknowledged=1)
    assert scene.last_upstream() != chosen


def test_failed_upstream_gets_few_openings_and_is_used_again() -> None:
    scene = scenes.Scene()
    failed = scene.add(scenes.make_upstream(1))
    live = scene.add(scenes.make_upstream(2))
    sent_to_failed = 0
    for port in range(1000, 1100):
        chosen = scene.open(port=port)
        if chosen == failed:
            sent_to_failed += 1
            scene.clock.sleep(answer_timeout.MIN_ANSWER_TIMEOUT_S)
            scene.handle_due_openings()
        scene.continue_flow(live, port=port)
        scene.continue_flow(live, port=port, acknowledged=1)
        scene.clock.sleep(0.02)
    assert 1 <= sent_to_failed <= 5
    scene.clock.sleep(2.0)
    scene.continue_flow(failed, port=2000)
    assert failed in {scene.open(port=port) for port in range(3000, 3010)}


def test_upstreams_whose_answers_take_longer_are_not_suspected() -> None:
    """Guards against a timeout that is too short for distant callers.

    Their next packet arrives 60 ms after the opening packet. With a fixed
    timeout of 30 ms, the host would open each of their flows at three
    upstreams, and all upstreams would become suspected.
    """
    scene = scenes.Scene()
    for number in range(1, 5):
        scene.add(scenes.make_upstream(number))
    retried_count = 0
    for port in range(1000, 1060):
        chosen = scene.open(port=port)
        sent, _ = scene.count_sent()
        scene.clock.sleep(0.031)
        scene.handle_due_openings()
        scene.clock.sleep(0.029)
        scene.handle_due_openings()
        retried_count += scene.count_sent()[0] > sent
        scene.continue_flow(chosen, port=port)
        scene.continue_flow(chosen, port=port, acknowledged=1)
    assert retried_count <= 3


def test_openings_are_not_tripled_where_all_upstreams_answer_late() -> None:
    """Guards against an overload that is prolonged by retries of openings.

    All upstreams are so busy that they answer after 0.25 s, which is more than
    the maximum timeout. Without a budget for retries, each new flow would be
    opened at three upstreams. That would slow them down further and continue
    for minutes after the original load has decreased, with hardly any request
    answered.
    """
    scene = scenes.Scene()
    for number in range(1, 7):
        scene.add(scenes.make_upstream(number))
    flows_opened = 300
    answers: list[tuple[float, int]] = []
    for port in range(1000, 1000 + flows_opened):
        scene.open(port=port)
        answers.append((scene.clock.now + 0.25, port))
        for _ in range(4):
            scene.clock.sleep(0.005)
            scene.handle_due_openings()
            while answers and answers[0][0] <= scene.clock.now:
                _, answered = answers.pop(0)
                scene.continue_flow(scene.last_upstream(), port=answered)
    openings = sum(
        octets[8:][12] == scenes.SYN for octets, _ in scene.output.to_upstreams
    )
    assert openings <= 1.5 * flows_opened, openings / flows_opened


def test_flood_of_openings_is_kept_within_bounds() -> None:
    """Guards against a host that a flood of openings ends for its memory."""
    scene = scenes.Scene()
    scene.add(scenes.make_upstream(1))
    surplus = 500
    for caller in range(openings.MAX_OPENINGS + surplus):
        scene.receive(scenes.make_packet(1000, scenes.SYN, caller=caller))
    found = scene.openings
    assert len(found._pending) == openings.MAX_OPENINGS
    assert len(found._in_send_order) == openings.MAX_OPENINGS
    assert len(found._first_attempts) == openings.MAX_OPENINGS
    assert scene.counts.get("openings_evicted_total") == surplus
