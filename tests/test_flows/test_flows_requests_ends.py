"""Tests of requests whose home leaves, or whose caller cancels or repeats."""

from __future__ import annotations

from aiocoap.numbers import codes
from aiocoap.numbers import types
import trio

from persimmonhinge.coap import codec
from persimmonhinge.flows import replies
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_flows import home_fakes

Code = codes.Code
POST = codes.Code.POST


@trios.clock_test
async def test_leaving_home_finishes_running_requests_and_starts_none() -> None:
    world = home_fakes.HomeWorld()

    async def answer_late(message: base.Message) -> base.Message:
        await trio.sleep(3)
        return home_fakes.make_answered(b"late")

    world.handle_calls_with(answer_late)
    async with world.running():
        echo = await world.get_ticket()
        home_fakes.send_reservation(world, echo, b"a", 60)
        await trio.sleep(0.5)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.home.leave)
            await trio.sleep(0.5)
            reply = await world.send_request(
                POST, "/reserve", token=b"b", echo=echo
            )
            assert reply.code is Code.SERVICE_UNAVAILABLE
            assert reply.opt.echo is None
            assert world.home.count_in_progress() == 1
        late = world.sender.sent[-1][1]
    assert (late.token, late.payload) == (b"a", b"late")
    assert late.opt.echo is None


@trios.clock_test
async def test_request_is_cancelled_when_its_last_copy_is_reset() -> None:
    world = home_fakes.HomeWorld()
    cancelled: list[base.Message] = []
    world.handle_calls_with(home_fakes.make_hanging_keeper(cancelled))
    async with world.running():
        echo = await world.get_ticket()
        for mid in (70, 71):
            message = home_fakes.make_request(
                POST, "/reserve", mid=mid, mtype=types.CON, echo=echo
            )
            world.home.handle(home_fakes.FLOW, message)
        await trio.sleep(1)
        _send_reset(world, 70)
        await trio.sleep(1)
        assert not cancelled
        _send_reset(world, 71)
        await trio.sleep(1)
        assert len(cancelled) == 1


def _send_reset(world: home_fakes.HomeWorld, mid: int) -> None:
    message = replies.make_reply(Code.EMPTY)
    message.mtype, message.mid, message.token = types.RST, mid, b""
    world.home.handle(home_fakes.FLOW, codec.decode(codec.encode(message)))


def _list_payloads(
    world: home_fakes.HomeWorld, sent_before: int
) -> list[bytes]:
    return [message.payload for _, message in world.sender.sent[sent_before:]]


@trios.clock_test
async def test_late_copy_is_not_answered_once_its_token_is_used_again() -> None:
    """Guards against the answer to an earlier request with the same token.

    A late copy of the first request arrives after the caller has used its
    token for a second one, and would be answered with the first answer.
    """
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer_body)
    async with world.running():
        echo = await world.get_ticket()
        for mid, lot in ((1, b"lot 1"), (2, b"lot 2")):
            home_fakes.send_reservation(world, echo, b"a", mid, lot)
            await trio.sleep(0.1)
        sent_before = len(world.sender.sent)
        home_fakes.send_reservation(world, echo, b"a", 1, b"lot 1")
        await trio.sleep(0.1)
        assert _list_payloads(world, sent_before) == []
        home_fakes.send_reservation(world, echo, b"a", 2, b"lot 2")
        await trio.sleep(0.1)
        assert _list_payloads(world, sent_before) == [b"lot 2"]


@trios.clock_test
async def test_answer_is_not_repeated_once_its_token_is_used_again() -> None:
    """Guards against repeating an answer after its token was used again.

    The caller's acknowledgement of the first answer was lost. A repetition
    would reach the caller as the answer to its second request.
    """
    world = home_fakes.HomeWorld()

    async def answer_late(message: base.Message) -> base.Message:
        await trio.sleep(2)
        return await _answer_body(message)

    world.handle_calls_with(answer_late)
    async with world.running():
        echo = await world.get_ticket()
        _post_confirmable(world, echo, 1, b"lot 1")
        await trio.sleep(2.5)
        sent_before = len(world.sender.sent)
        _post_confirmable(world, echo, 2, b"lot 2")
        await trio.sleep(30)
        later = _list_payloads(world, sent_before)
        assert b"lot 1" not in later
        # The second answer is retransmitted until it is acknowledged.
        assert later.count(b"lot 2") > 1


@trios.clock_test
async def test_late_retry_does_not_end_the_answer_to_the_next_request() -> None:
    """Guards against a second request that stays without an answer.

    A late retry of the first request, with the same token, would end the
    exchange of the second request.
    """
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer_body)
    async with world.running():
        echo = await world.get_ticket()
        for mid, lot in ((1, b"lot 1"), (2, b"lot 2"), (3, b"lot 1")):
            home_fakes.send_reservation(world, echo, b"a", mid, lot)
            await trio.sleep(0.1)
        sent_before = len(world.sender.sent)
        home_fakes.send_reservation(world, echo, b"a", 2, b"lot 2")
        await trio.sleep(0.1)
        assert _list_payloads(world, sent_before) == [b"lot 2"]


async def _answer_body(message: base.Message) -> base.Message:
    """Answers a dispatch with the body of its request."""
    assert isinstance(message, work.Dispatch)
    return home_fakes.make_answered(codec.decode(message.request).payload)


def _post_confirmable(
    world: home_fakes.HomeWorld, echo: bytes, mid: int, lot: bytes
) -> None:
    message = home_fakes.make_request(
        POST,
        "/reserve",
        token=b"a",
        mid=mid,
        mtype=types.CON,
        payload=lot,
        echo=echo,
    )
    world.home.handle(home_fakes.FLOW, message)
