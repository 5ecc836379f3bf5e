"""Tests of opening packets that meet a dead upstream."""

from __future__ import annotations

from persimmonhinge.forwarding.decisions import answer_timeout
from tests.test_forwarding import scene as scenes


def test_unanswered_opening_is_sent_elsewhere_before_the_callers_copy() -> None:
    """Each new flow to a dead upstream costs its caller 200 ms.

    An upstream goes dark; a new flow is sent there; its caller sends a copy
    only after 200 ms, longer than its latency target. Cause: the host waits
    for the copy though the answer is due after 4 ms.
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
    """Hosts spend all their time on flows that nobody waits for.

    A caller leaves after its opening packet; the host sends the packet from
    one upstream to the next every 30 ms. Cause: no end to the tries.
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
    """A feed is led astray by a copy of its first packet that came late.

    The flow is open; the copy goes to a second upstream, whose answer brings
    the caller another token. Cause: the copy was taken for a new flow.
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
    """After a restart each new flow holds room at two upstreams.

    Packets wait in the host's socket while it starts, so an opening packet
    and the copy that its caller sent 200 ms later are read together; the copy
    is sent to a second upstream. Cause: each copy was taken for a sign that
    the upstream did not answer.
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


def test_dead_upstream_gets_few_openings_and_is_used_again() -> None:
    scene = scenes.Scene()
    dead = scene.add(scenes.make_upstream(1))
    live = scene.add(scenes.make_upstream(2))
    sent_to_dead = 0
    for port in range(1000, 1100):
        chosen = scene.open(port=port)
        if chosen == dead:
            sent_to_dead += 1
            scene.clock.sleep(answer_timeout.MIN_ANSWER_TIMEOUT_S)
            scene.handle_due_openings()
        scene.continue_flow(live, port=port)
        scene.continue_flow(live, port=port, acknowledged=1)
        scene.clock.sleep(0.02)
    assert 1 <= sent_to_dead <= 5
    scene.clock.sleep(2.0)
    scene.continue_flow(dead, port=2000)
    assert dead in {scene.open(port=port) for port in range(3000, 3010)}


def test_upstreams_whose_answers_take_longer_are_not_suspected() -> None:
    """Each flow of callers far away is opened at three upstreams.

    Their next packet comes 60 ms after the opening one; the host gives each
    upstream 30 ms, and then none is trusted. Cause: one fixed limit for all
    distances.
    """
    scene = scenes.Scene()
    for number in range(1, 5):
        scene.add(scenes.make_upstream(number))
    twice = 0
    for port in range(1000, 1060):
        chosen = scene.open(port=port)
        sent, _ = scene.count_sent()
        scene.clock.sleep(0.031)
        scene.handle_due_openings()
        scene.clock.sleep(0.029)
        scene.handle_due_openings()
        twice += scene.count_sent()[0] > sent
        scene.continue_flow(chosen, port=port)
        scene.continue_flow(chosen, port=port, acknowledged=1)
    assert twice <= 3


def test_openings_are_not_tripled_where_all_upstreams_answer_late() -> None:
    """A busy evening ends with hardly any request answered, for minutes.

    All upstreams are so busy that they answer after 0.25 s, more than hosts
    wait at most; each new flow is opened at three of them, which makes them
    busier still, and it does not end when the load goes back. Cause: tries
    elsewhere without a budget.
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
