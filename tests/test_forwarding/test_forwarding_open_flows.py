"""Tests of open flows at upstreams that seem to be silent."""

from __future__ import annotations

from persimmonhinge.forwarding import route
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding.decisions import answer_timeout
from tests.test_forwarding import scene as scenes

_CALLERS = range(2000, 2004)
_REPEAT_INTERVAL_S = 0.2


def open_flows(scene: scenes.Scene) -> upstream_module.Upstream:
    """Opens long flows at one upstream; each has had an answer."""
    upstream = scene.add(scenes.make_upstream(1))
    for port in _CALLERS:
        scene.open(port=port)
        scene.continue_flow(upstream, port=port, sequence=1, data=100)
        scene.continue_flow(upstream, port=port, sequence=101, acknowledged=50)
    return upstream


def send_requests(
    scene: scenes.Scene, upstream: upstream_module.Upstream, *ports: int
) -> None:
    """Has callers send a request, or the same one again."""
    for port in ports:
        scene.continue_flow(
            upstream, port=port, sequence=101, acknowledged=50, data=100
        )


def leave_openings_unanswered(scene: scenes.Scene, count: int = 2) -> None:
    """Has opening packets to the only upstream go unanswered."""
    for port in range(3000, 3000 + count):
        scene.open(port=port)
        scene.clock.sleep(answer_timeout.MIN_ANSWER_TIMEOUT_S + 0.001)
        scene.handle_due_openings()


def make_seem_silent(
    scene: scenes.Scene, upstream: upstream_module.Upstream
) -> None:
    """Has two callers ask and ask again, and an opening be missed."""
    send_requests(scene, upstream, 2000, 2001)
    leave_openings_unanswered(scene, 1)
    scene.clock.sleep(_REPEAT_INTERVAL_S)
    send_requests(scene, upstream, 2000, 2001)
    scene.clock.sleep(2 * _REPEAT_INTERVAL_S)
    send_requests(scene, upstream, 2000, 2001)


def count_resets(scene: scenes.Scene) -> int:
    """Returns how many flows were reset."""
    return scene.count_sent()[1]


def test_host_whose_own_link_is_full_resets_no_flow() -> None:
    """A flow that is whole is reset though its upstream serves.

    Many hosts pull snapshots from one, and fill its link of 5 Mbit/s for a
    second: what it forwards comes late everywhere, so openings at all
    upstreams seem to be missed, and callers with open flows ask again.
    Cause: silence at one host was taken for proof that an upstream is gone.
    """
    scene = scenes.Scene()
    upstream = open_flows(scene)
    make_seem_silent(scene, upstream)
    send_requests(scene, upstream, *_CALLERS)
    assert count_resets(scene) == 0
    assert scene.output.to_upstreams[-1][1] == upstream.address


def test_slow_upstream_that_answers_openings_keeps_its_flows() -> None:
    """A flow that is whole is reset because its upstream is slow.

    All its callers send again, since it has much to do; but it answers
    opening packets at once.
    """
    scene = scenes.Scene()
    upstream = open_flows(scene)
    send_requests(scene, upstream, *_CALLERS)
    for _ in range(4):
        scene.clock.sleep(_REPEAT_INTERVAL_S)
        send_requests(scene, upstream, *_CALLERS)
    assert count_resets(scene) == 0


def test_openings_of_callers_that_left_prove_nothing() -> None:
    scene = scenes.Scene()
    upstream = open_flows(scene)
    leave_openings_unanswered(scene, 6)
    send_requests(scene, upstream, *_CALLERS)
    assert count_resets(scene) == 0


def test_one_answer_ends_the_suspicion() -> None:
    scene = scenes.Scene()
    upstream = open_flows(scene)
    make_seem_silent(scene, upstream)
    scene.continue_flow(upstream, port=2003, sequence=201, acknowledged=90)
    send_requests(scene, upstream, 2001, 2002)
    assert count_resets(scene) == 0


def test_one_flow_that_is_stuck_proves_nothing() -> None:
    scene = scenes.Scene()
    upstream = open_flows(scene)
    send_requests(scene, upstream, 2000)
    leave_openings_unanswered(scene)
    for _ in range(6):
        scene.clock.sleep(_REPEAT_INTERVAL_S)
        send_requests(scene, upstream, 2000)
    assert count_resets(scene) == 0


def test_packets_lost_one_by_one_do_not_add_up() -> None:
    scene = scenes.Scene()
    upstream = open_flows(scene)
    leave_openings_unanswered(scene)
    for port in _CALLERS:
        send_requests(scene, upstream, port)
        scene.clock.sleep(_REPEAT_INTERVAL_S)
        send_requests(scene, upstream, port)
        scene.clock.sleep(1.0)
    assert count_resets(scene) == 0


def test_packets_that_come_together_are_no_repetitions() -> None:
    scene = scenes.Scene()
    upstream = open_flows(scene)
    leave_openings_unanswered(scene)
    scene.clock.sleep(1.0)
    for _ in range(3):
        send_requests(scene, upstream, *_CALLERS)
    assert count_resets(scene) == 0


def test_paused_host_does_not_take_its_pause_for_silence() -> None:
    """A flow that is whole is reset by a host that has just woken.

    Callers ask; the host is paused for seconds; they ask again, and others
    miss openings at their busy upstream. The host wakes, and reads what they
    sent, before its event loop has a turn and after it. Cause: the time that
    it slept is taken for the upstream's silence (seed 5001 of the soak).
    """
    scene = scenes.Scene()
    upstream = open_flows(scene)
    send_requests(scene, upstream, *_CALLERS)
    scene.suspicions.add_reported_misses(upstream.token, 12)
    scene.clock.sleep(3.0)
    send_requests(scene, upstream, 2000, 2001)
    send_requests(scene, upstream, 2002, 2003)
    assert count_resets(scene) == 0
    scene.clock.sleep(_REPEAT_INTERVAL_S)
    send_requests(scene, upstream, 2000, 2001)
    assert count_resets(scene) == 0


def test_old_evidence_resets_nothing() -> None:
    """A flow is reset after the cut that stalled it has healed.

    Nothing came for the upstream since; the evidence is of before.
    """
    scene = scenes.Scene()
    upstream = open_flows(scene)
    make_seem_silent(scene, upstream)
    scene.clock.sleep(1.6)
    send_requests(scene, upstream, 2001)
    assert count_resets(scene) == 0


def test_request_that_may_run_once_is_left_to_its_upstream() -> None:
    """A booking fails at once that its upstream may yet have answered.

    Nobody can tell whether it ran, so its caller does not repeat it.
    """
    scene = scenes.Scene()
    scene.set_repetition(2, route.Repetition.AT_MOST_ONCE)
    upstream = open_flows(scene)
    make_seem_silent(scene, upstream)
    send_requests(scene, upstream, *_CALLERS)
    assert count_resets(scene) == 0


def test_flow_opened_at_another_host_does_not_end_the_suspicion() -> None:
    """New flows go to an upstream that is dark, as soon as hosts are restarted.

    Flows that other hosts opened come to this one, packet by packet, as the
    fabric moves them. Cause: the first packet that a host sees of a flow was
    taken for the answer to its opening, which ended the doubt.
    """
    scene = scenes.Scene()
    upstream = open_flows(scene)
    leave_openings_unanswered(scene)
    missed = scene.suspicions.count_misses(upstream.id)
    scene.continue_flow(
        upstream, port=4000, sequence=7, acknowledged=9, data=50
    )
    assert scene.suspicions.count_misses(upstream.id) == missed > 0
