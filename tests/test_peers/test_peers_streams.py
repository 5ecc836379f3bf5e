"""Tests of calls, messages and streams between two hosts."""

from __future__ import annotations

import contextlib
import dataclasses

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import member as members
from persimmonhinge.peers import network
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import feeds
from persimmonhinge.peers.messages import relay
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_peers import pairs

_LIMIT_S = 10.0
_HOSTS = (pairs.A, pairs.B)


def _report(name: str) -> work.LoadReport:
    load = work.UpstreamLoad(
        ids.UpstreamId(name), slots=2, busy=1, queued=0, feeds=5
    )
    return work.LoadReport((load,))


async def _answer(
    caller: network.Caller, message: work.LoadQuery
) -> work.LoadReport:
    return _report(caller.host)


async def _raise(caller: network.Caller, message: work.LoadQuery) -> None:
    raise KeyError("not there")


async def _catch(
    kind: type[Exception], host: pairs.Host, target: ids.HostId
) -> Exception:
    try:
        await host.network.call(target, work.LoadQuery(), _LIMIT_S)
    except kind as error:
        return error
    raise AssertionError("the call did not fail")


def _make_feed(last_sequence: int = 0) -> feeds.FeedOpen:
    return feeds.FeedOpen(
        service=ids.ServiceName("floor"),
        revision=ids.Revision(3),
        upstream=ids.UpstreamId("u1"),
        request=b"\x01",
        caller_host="127.0.0.1",
        caller_port=4000,
        token=b"t",
        last_sequence=last_sequence,
    )


@trios.trio_test
async def test_call_is_answered_over_a_link_and_here() -> None:
    async with pairs.open_pair() as (a, b):
        for host in (a, b):
            host.network.handle(work.LoadQuery, _answer)
        for target in _HOSTS:
            answer = await a.network.call(target, work.LoadQuery(), _LIMIT_S)
            assert answer == _report(pairs.A)


@trios.trio_test
async def test_sent_messages_arrive_in_order() -> None:
    async with pairs.open_pair() as (a, b):
        sender, receiver = trio.open_memory_channel[relay.Relay](1000)
        b.network.handle_sent(
            relay.Relay, lambda host, message: sender.send_nowait(message)
        )
        messages = [
            relay.Relay(ids.ServiceName("s"), "127.0.0.1", n, b"x" * n)
            for n in range(200)
        ]
        for message in messages:
            assert a.network.send(pairs.B, message)
        assert [await receiver.receive() for _ in messages] == messages


@trios.trio_test
async def test_stream_carries_messages_both_ways_and_closes() -> None:
    async with pairs.open_pair() as (a, b):
        closed = trio.Event()

        async def serve(caller: network.Caller, first: feeds.FeedOpen) -> None:
            event = feeds.FeedEvent(first.last_sequence + 1, b"answer")
            await caller.push(event)
            ack = await caller.receive()
            assert ack == feeds.FeedAck(8, (b"d",))
            await caller.push(feeds.FeedEvent(9, b"more"))
            await caller.wait_closed()
            closed.set()

        for host in (a, b):
            host.network.handle(feeds.FeedOpen, serve)
        for target in _HOSTS:
            closed = trio.Event()
            async with a.network.open(
                target, _make_feed(7), _LIMIT_S
            ) as stream:
                assert await stream.receive() == feeds.FeedEvent(8, b"answer")
                await stream.push(feeds.FeedAck(8, (b"d",)))
                assert await stream.receive() == feeds.FeedEvent(9, b"more")
                assert not closed.is_set()
            await closed.wait()


@trios.trio_test
async def test_failing_handler_fails_the_call_alone() -> None:
    async with pairs.open_pair() as (a, b):
        for host in (a, b):
            host.network.handle(work.LoadQuery, _raise)
        for target in _HOSTS:
            error = await _catch(errors.PeerError, a, target)
            assert type(error) is errors.PeerError
            assert "KeyError" in str(error)
        assert b.counts.get("peer_handler_errors_total") == 1
        b.network.handle(work.LoadQuery, _answer)
        await a.network.call(pairs.B, work.LoadQuery(), _LIMIT_S)
        assert a.counts.get("peer_links_opened_total", side="dialed") == 1


@trios.trio_test
async def test_call_without_handler_is_unsupported() -> None:
    async with pairs.open_pair() as (a, b):
        for target in _HOSTS:
            error = await _catch(errors.PeerError, a, target)
            assert type(error) is errors.PeerError
            assert "unsupported" in str(error)


@trios.trio_test
async def test_cancelled_call_is_closed_at_the_handler() -> None:
    async with pairs.open_pair() as (a, b):
        entered = trio.Event()
        left = trio.Event()

        async def serve(
            caller: network.Caller, message: work.LoadQuery
        ) -> base.Message | None:
            entered.set()
            await caller.wait_closed()
            left.set()
            return _report("late")

        for host in (a, b):
            host.network.handle(work.LoadQuery, serve)
        for target in _HOSTS:
            entered = trio.Event()
            left = trio.Event()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    a.network.call, target, work.LoadQuery(), _LIMIT_S
                )
                await entered.wait()
                nursery.cancel_scope.cancel()
            await left.wait()


@trios.trio_test
async def test_slow_answer_is_a_timeout() -> None:
    async with pairs.open_pair() as (a, b):

        async def serve(
            caller: network.Caller, message: work.LoadQuery
        ) -> None:
            await caller.wait_closed()

        for host in (a, b):
            host.network.handle(work.LoadQuery, serve)
        for target in _HOSTS:
            with contextlib.suppress(errors.PeerCallTimeoutError):
                await a.network.call(target, work.LoadQuery(), 0.2)
                raise AssertionError("the call was answered")


@trios.trio_test
async def test_host_that_does_not_listen_is_unreachable() -> None:
    """A caller's packet reaches a host whose home of the flow just died.

    The dial is refused, so nothing was delivered: the call says so, and for
    a while no message is taken, so that the sender passes the home over.
    """
    with trio.socket.socket() as unused:
        await unused.bind((pairs.ADDRESS, 0))
        port = unused.getsockname()[1]
        host = pairs.make_host(pairs.A, retry_interval_s=60)
        async with trio.open_nursery() as nursery:
            await nursery.start(host.network.run)
            host.learn(pairs.make_member(pairs.B, port=port))
            error = await _catch(errors.PeerUnreachableError, host, pairs.B)
            assert error.__cause__ is not None
            message = relay.Relay(ids.ServiceName("s"), "127.0.0.1", 1, b"")
            assert not host.network.send(pairs.B, message)
            assert not host.network.send(ids.HostId("nobody"), message)
            nursery.cancel_scope.cancel()


@trios.trio_test
async def test_close_writes_the_answers_that_wait() -> None:
    """A host stops as planned right after its handler has answered.

    The answer stands in the queue of the link. Were it dropped, the caller
    would be told that the outcome of its reservation is unknown.
    """
    # More than the kernel's buffers take at once.
    large = feeds.FeedEvent(1, b"x" * 6 * 1024 * 1024)
    async with pairs.open_pair() as (a, b), trio.open_nursery() as nursery:

        async def serve(
            caller: network.Caller, message: work.LoadQuery
        ) -> feeds.FeedEvent:
            nursery.start_soon(b.network.aclose)
            return large

        b.network.handle(work.LoadQuery, serve)
        answer = await a.network.call(pairs.B, work.LoadQuery(), _LIMIT_S)
        assert answer == large


@trios.trio_test
async def test_stopped_network_delivers_nothing() -> None:
    async with pairs.open_pair() as (a, b):
        b.network.handle(work.LoadQuery, _answer)
        await a.network.call(pairs.B, work.LoadQuery(), _LIMIT_S)
        await a.network.aclose()
        while a.network.is_running:
            await trio.sleep(0.001)
        for target in _HOSTS:
            await _catch(errors.PeerUnreachableError, a, target)
            assert not a.network.send(target, work.LoadQuery())


@trios.trio_test
async def test_link_of_a_host_that_was_forgotten_is_forgotten() -> None:
    async with pairs.open_pair() as (a, b):
        b.network.handle(work.LoadQuery, _answer)
        await a.network.call(pairs.B, work.LoadQuery(), _LIMIT_S)
        dead = members.MemberState.DEAD
        a.learn(dataclasses.replace(b.member, state=dead))
        while a.counts.gauges()["peer_links_open"]:
            await trio.sleep(0.001)
        a.view.remove(pairs.B)
        with trio.fail_after(_LIMIT_S):
            while a.counts.gauges()["peer_links_known"]:
                await trio.sleep(0.001)
