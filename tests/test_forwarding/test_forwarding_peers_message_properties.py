"""Properties of a host that receives any messages from other hosts."""

from __future__ import annotations

import functools
import time

import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from persimmonhinge import errors
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding.peers import codec
from persimmonhinge.forwarding.peers import pull_attempt
from persimmonhinge.forwarding.peers import snapshot_server
from tests.support import trios
from tests.test_forwarding import hostile_messages
from tests.test_forwarding import hostile_scene

_SOURCES = [
    flow.Endpoint("10.0.0.2", 7),
    flow.Endpoint("10.0.0.3", 7),
    flow.Endpoint("10.0.0.2", 0),
]
_PEER = "10.0.0.2"
# A time by which all reports have expired, seconds.
_LATER_S = 1e5
_EXAMPLES = 120


@hypothesis.settings(max_examples=_EXAMPLES)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            hostile_messages.make_message("report", "news"),
            strategies.sampled_from(_SOURCES),
        ),
        max_size=5,
    )
)
def test_no_datagram_makes_a_decision_or_a_report_fail(
    datagrams: list[tuple[bytes, flow.Endpoint]],
) -> None:
    """Guards against reported values that end the process where they are used.

    Reports that this host sends afterwards are ones that others accept.
    """
    scene = hostile_scene.HostileScene()
    for octets, source in datagrams:
        scene.service.handle_datagram(octets, source)
        scene.decide()
    scene.run_reports()
    scene.core.peers.expire_silent(time.monotonic() + _LATER_S)
    scene.decide()
    token = hostile_messages.TOKEN
    assert scene.core.loads.reported_in_flight(token) == 0
    assert scene.core.loads.reported_open_flows(token) == 0
    assert scene.core.overload is not None
    assert scene.core.overload.picture.count_hosts() == 1
    scene.check()


@hypothesis.settings(max_examples=_EXAMPLES)
@hypothesis.given(hostile_messages.make_message("snapshot"))
def test_no_snapshot_makes_a_pull_or_the_next_answer_fail(
    octets: bytes,
) -> None:
    scene = hostile_scene.HostileScene()
    attempt = pull_attempt.PullAttempt(scene.core, _PEER)
    try:
        snapshot = codec.SNAPSHOT_CODEC.decode(octets)
    except errors.MalformedMessageError as error:
        attempt.record_failure(error)
    else:
        attempt.apply_short_snapshot(snapshot)
        attempt.apply_snapshot(snapshot)
    codec.SNAPSHOT_CODEC.encode(scene.core.entries.make_snapshot(0, ()))
    scene.decide()
    scene.check()


@hypothesis.settings(max_examples=_EXAMPLES)
@hypothesis.given(
    hostile_messages.make_message("pull", "snapshot"), strategies.booleans()
)
def test_no_request_makes_an_answer_fail(octets: bytes, is_cut: bool) -> None:
    scene = hostile_scene.HostileScene()
    server = snapshot_server.SnapshotServer(scene.core)

    async def ask() -> None:
        ours, theirs = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.answer, theirs, _PEER)
            await ours.send_all(octets)
            await (ours.aclose() if is_cut else ours.send_eof())

    trios.run_in_order(1, functools.partial(ask))
    scene.check()
