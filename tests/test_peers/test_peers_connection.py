"""Tests of one link on a mock clock: silence, idleness, hostile frames."""

from __future__ import annotations

import functools

import hypothesis
import trio
import trio.testing

from persimmonhinge import errors
from persimmonhinge.peers import calls
from persimmonhinge.peers import frames
from persimmonhinge.peers import keepalive
from persimmonhinge.peers import network
from persimmonhinge.peers import outbox
from persimmonhinge.peers.messages import feeds
from persimmonhinge.peers.messages import relay
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_peers import hostile
from tests.test_peers import memory_links
from tests.test_peers import pairs

_LONG_S = 3600.0


async def _wait(caller: network.Caller, message: work.LoadQuery) -> None:
    await caller.wait_closed()


async def _answer(
    caller: network.Caller, message: work.LoadQuery
) -> work.LoadReport:
    return work.LoadReport(())


@trios.clock_test
async def test_silent_link_closes_its_calls() -> None:
    """A feed stands still for good while new connections work.

    A middle box between two hosts forgets the connection and drops its
    packets. No side gets an error, so that the call would wait for ever.
    """
    async with trio.open_nursery() as nursery:
        link = memory_links.make_link(nursery)
        link.table.set(work.LoadQuery, _wait)
        link.start(nursery)
        call = await link.dialed.open_call(work.LoadQuery())
        await trio.sleep(_LONG_S)
        assert not call.closed
        link.lose_octets()
        began = trio.current_time()
        try:
            with trio.fail_after(_LONG_S):
                await call.receive()
        except errors.PeerLinkLostError as error:
            assert "no sign of life" in str(error)
        assert trio.current_time() - began < 5
        await trio.sleep(5)
        assert link.accepted.closed
    assert link.counts.get("peer_links_closed_total", cause="silent") == 2


@trios.clock_test
async def test_healthy_link_stays_open_with_a_short_suspicion() -> None:
    """Settings ask for a suspicion no longer than the heartbeat.

    Two suspicion times are then less than a round, and each quiet link would
    be closed after its first round without a ping.
    """
    async with trio.open_nursery() as nursery:
        link = memory_links.make_link(
            nursery, heartbeat_interval_s=1.0, suspicion_s=0.5
        )
        link.table.set(work.LoadQuery, _wait)
        link.start(nursery)
        call = await link.dialed.open_call(work.LoadQuery())
        await trio.sleep(_LONG_S)
        assert not call.closed
        nursery.cancel_scope.cancel()


@trios.clock_test
async def test_link_without_calls_is_closed_after_a_while() -> None:
    async with trio.open_nursery() as nursery:
        link = memory_links.make_link(nursery)
        link.table.set(work.LoadQuery, _answer)
        link.start(nursery)
        call = await link.dialed.open_call(work.LoadQuery())
        assert await call.receive() == work.LoadReport(())
        await trio.sleep(30)
        assert not link.dialed.closed
        await trio.sleep(60)
        assert link.accepted.closed
    assert link.counts.get("peer_links_closed_total", cause="idle") == 1
    assert link.counts.get("peer_links_closed_total", cause="closed") == 1


@trios.clock_test
async def test_many_links_are_kept_alive_at_a_slower_pace() -> None:
    """A host of a fleet of 610 has feeds at each other host.

    At full pace its pings alone would cost more than a host may spend on
    control. A slower pace must reach both ends, or the accepting end would
    take the link for silent.
    """
    async with trio.open_nursery() as nursery:
        link = memory_links.make_link(nursery, links=609)
        link.table.set(work.LoadQuery, _wait)
        link.start(nursery)
        await link.dialed.open_call(work.LoadQuery())
        writes = link.count_writes()
        await trio.sleep(_LONG_S)
        assert 200 < len(writes) < 400
        assert not link.dialed.closed
        assert not link.accepted.closed
        nursery.cancel_scope.cancel()


def test_stopped_process_does_not_take_its_links_for_silent() -> None:
    """A host is stopped for ten seconds and goes on.

    By the clock no octet came for ten seconds on any link, though its peers
    went on sending; all links and their feeds would be closed at once.
    """
    settings = pairs.make_settings(pairs.A).peers
    keep_alive = keepalive.KeepAlive(settings)
    keep_alive.end_round()
    # The process is stopped here: one round passes, however long it takes.
    keep_alive.end_round()
    assert not keep_alive.is_silent
    keep_alive.received = True
    keep_alive.end_round()
    assert not keep_alive.is_silent
    for _ in range(10):
        keep_alive.end_round()
    assert keep_alive.is_silent


@trios.clock_test
async def test_call_that_was_not_written_did_not_arrive() -> None:
    async with trio.open_nursery() as nursery:
        link = memory_links.make_link(nursery)
        call = await link.dialed.open_call(work.LoadQuery())
        assert call.frame.state is outbox.FrameState.WAITING
        call.leave()
        assert call.frame.state is outbox.FrameState.DROPPED
        link.start(nursery)
        await trio.sleep(5)
        # A withdrawn call must not be written later: it was reported as not
        # delivered, and its caller may have gone elsewhere.
        assert link.counts.get("peer_calls_unsupported_total") == 0
        nursery.cancel_scope.cancel()


@trios.clock_test
async def test_handler_that_takes_no_messages_stops_no_other_call() -> None:
    async with trio.open_nursery() as nursery:
        link = memory_links.make_link(nursery)
        link.table.set(work.LoadQuery, _wait)
        link.start(nursery)
        slow = await link.dialed.open_call(work.LoadQuery())
        other = await link.dialed.open_call(work.LoadQuery())
        try:
            for _ in range(2 * calls.MOST_WAITING_MESSAGES):
                await slow.push(feeds.FeedAck(1, ()))
                await trio.sleep(0.001)
            raise AssertionError("all messages were taken")
        except errors.PeerLinkLostError as error:
            assert "not taken" in str(error)
        assert not other.closed
        assert link.counts.get("peer_calls_overrun_total") == 1
        nursery.cancel_scope.cancel()


def test_oldest_messages_are_dropped_when_the_queue_is_full() -> None:
    counts = memory_links.metrics.Counts()
    queue = outbox.Outbox(counts, most_sends=3)
    messages = [
        relay.Relay(relay.ids.ServiceName("s"), "127.0.0.1", port, b"")
        for port in range(5)
    ]
    for message in messages:
        queue.put_send(message)
    octets = queue.take(frames.FrameWriter())
    found = frames.FrameReader("peer").read(octets)
    assert [frames.read_message(f, "peer") for f in found] == messages[2:]
    assert counts.get("peer_sends_dropped_total", cause="full") == 2


@hypothesis.settings(max_examples=200)
@hypothesis.given(octets=hostile.octets)
def test_hostile_octets_end_at_most_their_own_link(octets: bytes) -> None:
    """Any failure of a reading task would end all tasks of the host."""
    _run_hostile(octets, towards_dialed=False)


@hypothesis.settings(max_examples=100)
@hypothesis.given(octets=hostile.octets)
def test_hostile_answers_end_at_most_their_own_link(octets: bytes) -> None:
    _run_hostile(octets, towards_dialed=True)


def _run_hostile(octets: bytes, *, towards_dialed: bool) -> None:
    trio.run(
        functools.partial(_feed, octets, towards_dialed=towards_dialed),
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


async def _feed(octets: bytes, *, towards_dialed: bool) -> None:
    async with trio.open_nursery() as nursery:
        link = memory_links.make_link(nursery)
        link.table.set(work.LoadQuery, _answer)
        if towards_dialed:
            opened = [
                await link.dialed.open_call(work.LoadQuery()) for _ in range(3)
            ]
            nursery.start_soon(link.dialed.run)
            await link.streams[1].send_all(octets)
            await trio.sleep(_LONG_S)
            assert link.dialed.closed
            assert all(call.closed for call in opened)
        else:
            nursery.start_soon(link.accepted.run)
            await link.streams[0].send_all(octets)
            await trio.sleep(_LONG_S)
            assert link.accepted.closed
