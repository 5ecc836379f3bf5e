"""Tests of the home's message layer and of the requests that it dispatches."""

from __future__ import annotations

import logging

from aiocoap import optiontypes
from aiocoap.numbers import codes
from aiocoap.numbers import optionnumbers
from aiocoap.numbers import types
import hypothesis
from hypothesis import strategies
import trio

from persimmonhinge import errors
from persimmonhinge.coap import codec
from persimmonhinge.flows import exchanges
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_flows import home_fakes

Code = codes.Code

# A reply after this time is too late to be piggybacked on the ACK.
_LATE_REPLY_S = exchanges.PIGGYBACK_S + 0.5


async def _answer_done(message: base.Message) -> base.Message:
    return home_fakes.make_answered(b"done")


@trios.clock_test
async def test_get_is_answered_by_an_upstream() -> None:
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer_done)
    async with world.running():
        reply = await world.send_request(Code.GET, "/lots/7", token=b"tok")
    assert (reply.code, reply.payload) == (Code.CHANGED, b"done")
    assert (reply.token, reply.mtype) == (b"tok", types.NON)


@trios.clock_test
async def test_post_without_ticket_requires_one_and_is_not_run() -> None:
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer_done)
    async with world.running():
        reply = await world.send_request(Code.POST, "/reserve")
        assert reply.code == Code.UNAUTHORIZED
        assert len(reply.opt.echo) == 40
        assert not world.network.calls


@trios.clock_test
async def test_post_with_ticket_runs_and_renews_it() -> None:
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer_done)
    async with world.running():
        echo = await world.get_ticket()
        reply = await world.send_request(Code.POST, "/reserve", echo=echo)
    assert reply.payload == b"done"
    assert reply.opt.echo not in (None, echo)


@trios.clock_test
async def test_copy_of_a_datagram_gets_the_same_reply() -> None:
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer_done)
    async with world.running():
        first = await world.send_request(Code.GET, "/lots", mid=9)
        second = await world.send_request(Code.GET, "/lots", mid=9)
    assert codec.encode(first) == codec.encode(second)
    assert len(world.network.dispatches()) == 1


@trios.clock_test
async def test_reused_port_and_message_id_is_not_a_copy() -> None:
    """Guards against a caller that gets the reply to another caller's request.

    A caller ends; a new caller gets its port at once and starts with the same
    message id. If its request were treated as a copy, it would get the reply
    to the former caller's request.
    """
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer_done)
    async with world.running():
        await world.send_request(Code.GET, "/lots/1", mid=9, token=b"a")
        reply = await world.send_request(Code.GET, "/lots/2", mid=9, token=b"b")
    assert reply.token == b"b"
    assert len(world.network.dispatches()) == 2


@trios.clock_test
async def test_quick_reply_is_piggybacked_on_the_ack() -> None:
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer_done)
    async with world.running():
        reply = await world.send_request(
            Code.GET, "/lots", mid=5, mtype=types.CON
        )
    assert (reply.mtype, reply.mid) == (types.ACK, 5)


@trios.clock_test
async def test_slow_reply_is_separate_and_resent_until_acknowledged() -> None:
    world = home_fakes.HomeWorld()

    async def answer_late(message: base.Message) -> base.Message:
        await trio.sleep(_LATE_REPLY_S)
        return home_fakes.make_answered(b"late")

    world.handle_calls_with(answer_late)
    async with world.running():
        ack = await world.send_request(
            Code.GET, "/lots", mid=5, mtype=types.CON
        )
        assert (ack.code, ack.mtype, ack.mid) == (Code.EMPTY, types.ACK, 5)
        await trio.sleep(5)
        copies = [m for _, m in world.sender.sent[1:]]
        assert len(copies) == 2
        assert {m.mid for m in copies} == {copies[0].mid}
        assert copies[0].mtype is types.CON
        assert world.home.count_in_progress() == 1
        _send_empty(world, types.ACK, copies[0].mid)
        await trio.sleep(100)
        assert len(world.sender.sent) == 3
        assert world.home.count_in_progress() == 0


@trios.clock_test
async def test_unconfirmed_reply_is_abandoned() -> None:
    world = home_fakes.HomeWorld()

    async def answer_late(message: base.Message) -> base.Message:
        await trio.sleep(_LATE_REPLY_S)
        return home_fakes.make_answered(b"late")

    world.handle_calls_with(answer_late)
    async with world.running():
        await world.send_request(Code.GET, "/lots", mtype=types.CON)
        await trio.sleep(200)
        # One empty ACK, the reply and four retransmissions.
        assert len(world.sender.sent) == 6
        assert world.home.count_in_progress() == 0


@trios.clock_test
async def test_reset_of_the_empty_ack_cancels_the_request() -> None:
    world = home_fakes.HomeWorld()
    cancelled: list[base.Message] = []
    world.handle_calls_with(home_fakes.make_hanging_keeper(cancelled))
    async with world.running():
        await world.send_request(Code.GET, "/lots", mid=5, mtype=types.CON)
        _send_empty(world, types.RST, 5)
        await trio.sleep(0.1)
        assert len(cancelled) == 1
        assert world.home.count_in_progress() == 0


@trios.clock_test
async def test_ping_is_answered_by_reset() -> None:
    world = home_fakes.HomeWorld()
    async with world.running():
        _send_empty(world, types.CON, 77)
    assert world.sender.sent[0][1].mtype is types.RST
    assert world.sender.sent[0][1].mid == 77


@trios.clock_test
async def test_unknown_critical_option_is_refused() -> None:
    world = home_fakes.HomeWorld()
    message = home_fakes.make_request(Code.GET, "/lots", mtype=types.CON)
    message.opt.oscore = b"x"
    async with world.running():
        world.home.handle(home_fakes.FLOW, message)
    assert world.sender.sent[0][1].code == Code.BAD_OPTION


@trios.clock_test
async def test_feed_messages_go_to_the_feeds() -> None:
    world = home_fakes.HomeWorld()
    message = home_fakes.make_request(Code.GET, "/prices")
    message.opt.observe = 0
    async with world.running():
        world.home.handle(home_fakes.FLOW, message)
        _send_empty(world, types.ACK, 1)
        _send_empty(world, types.RST, 1)
    assert world.feeds.calls == ["open", "acknowledge", "reset"]


@trios.clock_test
async def test_observe_on_a_plain_class_is_a_plain_request() -> None:
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer_done)
    message = home_fakes.make_request(Code.GET, "/lots")
    message.opt.observe = 0
    async with world.running():
        world.home.handle(home_fakes.FLOW, message)
        await trio.sleep(0.01)
    assert world.sender.sent[0][1].payload == b"done"
    assert world.sender.sent[0][1].opt.observe is None


@trios.clock_test
async def test_unknown_path_is_not_found() -> None:
    world = home_fakes.HomeWorld()
    async with world.running():
        reply = await world.send_request(Code.GET, "/elsewhere")
    assert reply.code == Code.NOT_FOUND


@trios.clock_test
async def test_stale_keeper_is_retried_without_using_the_budget() -> None:
    world = home_fakes.HomeWorld()
    outcomes = [work.Outcome.STALE] * 14 + [work.Outcome.NOT_KEEPER]

    async def answer_stale_first(message: base.Message) -> base.Message:
        if outcomes:
            return work.Dispatched(outcomes.pop())
        return home_fakes.make_answered(b"done")

    world.handle_calls_with(answer_stale_first)
    async with world.running():
        reply = await world.send_request(Code.GET, "/lots")
    assert reply.payload == b"done"
    assert world.counts.sum("home_retries_total") == 0


_path = strategies.sampled_from([(11, b"lots"), (11, b"reserve"), (11, b"x")])
_option = strategies.one_of(
    # Block2, Block1 and Observe with at most one octet, so that most values
    # are valid.
    strategies.tuples(
        strategies.sampled_from([6, 23, 27]), strategies.binary(max_size=1)
    ),
    strategies.tuples(
        strategies.sampled_from([1, 3, 4, 9, 12, 14, 35, 60, 252, 292, 65002]),
        strategies.binary(max_size=6),
    ),
    strategies.tuples(
        strategies.just(252), strategies.binary(min_size=40, max_size=40)
    ),
)


@hypothesis.settings(home_fakes.PROPERTY, max_examples=300)
@hypothesis.given(
    header=strategies.tuples(
        strategies.integers(0, 3),
        strategies.sampled_from([1, 2, 3, 0, 9, 69, 225]),
        strategies.binary(max_size=8),
    ),
    path=_path,
    options=strategies.lists(_option, max_size=3),
    payload=strategies.binary(max_size=80),
)
@trios.clock_test
async def test_hostile_datagrams_do_not_stop_the_host(
    header: tuple[int, int, bytes],
    path: tuple[int, bytes],
    options: list[tuple[int, bytes]],
    payload: bytes,
) -> None:
    """Guards against a datagram that stops a task and thereby the host.

    Any option may contain any octets, and the CoAP library decodes invalid
    values in different ways, depending on the option.
    """
    kind, code, token = header
    data = bytes((0x40 | kind << 4 | len(token), code, 0, 9)) + token
    raw = codec.Message(code=Code.GET)
    for number, value in (path, *options):
        opaque = optionnumbers.OptionNumber(number)
        raw.opt.add_option(optiontypes.OpaqueOption(opaque, value))
    data += raw.opt.encode() + (b"\xff" + payload if payload else b"")
    try:
        message = codec.decode(data)
    except errors.MalformedDatagramError:
        return
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer_done)
    async with world.running():
        world.home.handle(home_fakes.FLOW, message)
        await trio.sleep(1)
        assert world.counts.sum("home_faults_total") == 0
        assert (await world.send_request(Code.GET, "/lots")).payload == b"done"


@trios.clock_test
async def test_fault_in_one_request_does_not_stop_others() -> None:
    """Guards against one request that stops the host and all its feeds.

    An unforeseen datagram triggers a bug, which raises an exception.
    """
    world = home_fakes.HomeWorld()

    async def raise_error(message: base.Message) -> base.Message:
        raise KeyError("a fault")

    world.handle_calls_with(raise_error)
    logging.disable(logging.CRITICAL)
    async with world.running():
        echo = await world.get_ticket()
        for code, path in ((Code.GET, "/lots"), (Code.POST, "/reserve")):
            reply = await world.send_request(code, path, echo=echo)
            assert reply.code is Code.GATEWAY_TIMEOUT
        world.home.handle(home_fakes.FLOW, None)
        world.handle_calls_with(_answer_done)
        assert (await world.send_request(Code.GET, "/lots")).payload == b"done"
    logging.disable(logging.NOTSET)
    assert world.counts.sum("home_faults_total") == 3


@trios.clock_test
async def test_failing_service_gets_no_retry_storm() -> None:
    """Guards against retries that keep an overloaded service failing.

    Each home retries a failed request at another upstream. If all upstreams
    fail, this doubles their load, which keeps them failing. The retry budget
    of the contract limits the retries.
    """
    world = home_fakes.HomeWorld()

    async def refuse(message: base.Message) -> base.Message:
        return work.Dispatched(work.Outcome.NOT_RUN, retry_after_s=3)

    world.handle_calls_with(refuse)
    async with world.running():
        for _ in range(400):
            reply = await world.send_request(Code.GET, "/lots")
            assert reply.code == Code.SERVICE_UNAVAILABLE
            assert reply.opt.max_age == 3
    assert len(world.network.dispatches()) <= 400 * 1.1 + 10


def _send_empty(
    world: home_fakes.HomeWorld, message_type: types.Type, mid: int
) -> None:
    message = codec.Message(code=Code.EMPTY)
    message.mtype, message.mid, message.token = message_type, mid, b""
    world.home.handle(home_fakes.FLOW, codec.decode(codec.encode(message)))
