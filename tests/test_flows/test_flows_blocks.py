"""Tests of block-wise transfer both ways."""

from __future__ import annotations

from typing import Any
from typing import TypeAlias

from aiocoap.numbers import codes
import hypothesis
from hypothesis import strategies
import trio

from persimmonhinge.coap import codec
from persimmonhinge.flows import block_params
from persimmonhinge.flows import blocks
from persimmonhinge.flows import large_replies
from persimmonhinge.flows import upload
from persimmonhinge.flows import uploads
from persimmonhinge.metrics import counts
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_flows import home_fakes

Code: TypeAlias = codes.Code
_LIMIT = 4096


def _split(
    body: bytes, exponent: int, tag: bytes, **request: Any
) -> list[codec.Message]:
    """Returns the datagrams of an upload."""
    size = 1 << (exponent + 4)
    found = []
    for start in range(0, max(len(body), 1), size):
        message = home_fakes.make_request(
            Code.PUT,
            "/lots/1",
            payload=body[start : start + size],
            **request,
        )
        more = start + size < len(body)
        message.opt.block1 = (start // size, more, exponent)
        message.opt.request_tag = [tag]
        found.append(message)
    return found


@home_fakes.PROPERTY
@hypothesis.given(
    body=strategies.binary(min_size=20, max_size=400),
    exponent=strategies.integers(0, 4),
    disorder=strategies.randoms(use_true_random=False),
    extra=strategies.integers(0, 6),
    swaps=strategies.integers(0, 3),
)
@trios.clock_test
async def test_any_order_of_blocks_gives_the_body_or_a_clean_error(
    body: bytes, exponent: int, disorder: Any, extra: int, swaps: int
) -> None:
    """A manifest arrives with a part missing, twice, or of another one.

    The network duplicates, delays and loses blocks; another upload of the
    same caller, with its own tag, goes on at the same time.
    """
    taker = uploads.Uploads(counts.Counts(), 30)
    sent = _split(body, exponent, b"a")
    for _ in range(extra):
        sent.insert(disorder.randrange(len(sent)), disorder.choice(sent))
    for _ in range(swaps):
        first, second = (disorder.randrange(len(sent)) for _ in range(2))
        sent[first], sent[second] = sent[second], sent[first]
    other = _split(bytes(reversed(body)), exponent, b"b")
    wholes = []
    for message in sent:
        if other:
            taker.add_block(home_fakes.FLOW, other.pop(0), _LIMIT)
        taken = taker.add_block(home_fakes.FLOW, message, _LIMIT)
        if isinstance(taken, upload.CompleteRequest):
            wholes.append(taken.message.payload)
        else:
            assert isinstance(taken, codec.Message)
            assert taken.code in (
                Code.CONTINUE,
                Code.REQUEST_ENTITY_INCOMPLETE,
            )
    assert set(wholes) <= {body}
    if not extra and not swaps:
        assert wholes == [body]


@home_fakes.PROPERTY
@hypothesis.given(
    body=strategies.binary(max_size=3000),
    exponent=strategies.integers(0, 6),
)
@trios.clock_test
async def test_blocks_of_an_answer_join_to_the_whole(
    body: bytes, exponent: int
) -> None:
    cutter = large_replies.LargeReplies(30)
    key = block_params.ReplyKey(home_fakes.FLOW, b"name")
    reply = codec.Message(code=Code.CONTENT, payload=body)
    first = blocks.Block(0, False, exponent)
    part = cutter.extract_block(
        reply, block_params.BlockParams(None, first, (key,))
    )
    joined = part.payload
    etag = part.opt.etag
    number = 0
    while part.opt.block2 is not None and part.opt.block2.more:
        number += 1
        wanted = blocks.Block(number, False, exponent)
        shape = block_params.BlockParams(None, wanted, (key,))
        whole = cutter.find_reply(shape)
        assert whole is not None
        part = cutter.extract_block(whole, shape)
        assert part.opt.etag == etag
        joined += part.payload
    assert joined == body
    beyond = blocks.Block(number + 1, False, exponent)
    end = cutter.extract_block(
        reply, block_params.BlockParams(None, beyond, (key,))
    )
    assert end.code is Code.BAD_REQUEST


async def _answer(message: base.Message) -> base.Message:
    return home_fakes.make_answered(b"done")


async def _answer_large(message: base.Message) -> base.Message:
    return home_fakes.make_answered(b"x" * 1500 + b"y" * 1500)


async def _upload(
    world: home_fakes.HomeWorld, sent: list[codec.Message], first_mid: int
) -> codec.Message:
    """Sends blocks one after another; returns the last answer."""
    for number, message in enumerate(sent):
        message.mid = first_mid + number
        before = len(world.answers.sent)
        world.home.handle(home_fakes.FLOW, message)
        while len(world.answers.sent) == before:
            await trio.sleep(0.001)
    return world.answers.sent[-1][1]


@trios.clock_test
async def test_upload_reaches_the_upstream_whole() -> None:
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer)
    body = bytes(range(250)) * 10
    async with world.running():
        reply = await _upload(world, _split(body, 6, b"t"), 50)
    assert reply.payload == b"done"
    assert reply.opt.block1 == (2, False, 6)
    request = world.network.dispatches()[0].request
    decoded = codec.decode(request, limit=codec.MAX_WHOLE_OCTETS)
    assert decoded.payload == body
    assert decoded.opt.block1 is None
    assert not decoded.opt.request_tag


@trios.clock_test
async def test_block_without_the_earlier_ones_is_incomplete() -> None:
    world = home_fakes.HomeWorld()
    async with world.running():
        sent = _split(b"z" * 2500, 6, b"t")
        reply = await _upload(world, sent[1:2], 50)
    assert reply.code is Code.REQUEST_ENTITY_INCOMPLETE


@trios.clock_test
async def test_block_that_differs_ends_the_upload() -> None:
    """A manifest is made of two: one part of it is of an older upload.

    A caller gives up an upload and sends a changed body under the same
    tag; blocks of both arrive.
    """
    taker = uploads.Uploads(counts.Counts(), 30)
    old = _split(b"o" * 3000, 6, b"t")
    new = _split(b"n" * 3000, 6, b"t")
    for message in (*new[:2], old[1]):
        taken = taker.add_block(home_fakes.FLOW, message, _LIMIT)
    assert isinstance(taken, codec.Message)
    assert taken.code is Code.REQUEST_ENTITY_INCOMPLETE
    last = taker.add_block(home_fakes.FLOW, new[2], _LIMIT)
    assert isinstance(last, codec.Message)
    assert last.code is Code.REQUEST_ENTITY_INCOMPLETE


@trios.clock_test
async def test_too_large_a_body_is_refused() -> None:
    world = home_fakes.HomeWorld()
    async with world.running():
        sent = _split(b"z" * 5000, 6, b"t")
        reply = await _upload(world, sent, 50)
    assert reply.code is Code.REQUEST_ENTITY_TOO_LARGE
    assert reply.opt.size1 == 4096


def _split_post(body: bytes, echo: bytes, token: bytes) -> list[codec.Message]:
    sent = _split(body, 6, b"t", echo=echo, token=token)
    for message in sent:
        message.code = Code.POST
        message.opt.uri_path = ("reserve",)
    return sent


@trios.clock_test
async def test_repeated_upload_runs_once() -> None:
    """A manifest is taken twice because its last answer was lost.

    The caller sends the last block again under a new token, as plain CoAP
    callers do, and then the whole upload once more.
    """
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer)
    body = b"m" * 2500
    async with world.running():
        bare = await _upload(world, _split_post(body, b"", b"a")[:1], 40)
        assert bare.code is Code.UNAUTHORIZED
        echo = bare.opt.echo
        await _upload(world, _split_post(body, echo, b"a"), 50)
        # The message layer has forgotten the first copies by now.
        await trio.sleep(20)
        last = await _upload(world, _split_post(body, echo, b"b")[2:], 60)
        assert last.payload == b"done"
        again = await _upload(world, _split_post(body, echo, b"a"), 70)
        assert again.payload == b"done"
    assert len(world.network.dispatches()) == 1


@trios.clock_test
async def test_later_blocks_cost_no_second_call() -> None:
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer_large)
    async with world.running():
        first = await world.send_request(Code.GET, "/lots")
        assert first.opt.block2 == (0, True, 6)
        body = first.payload
        for number in (1, 2):
            body += await _request_block(world, Code.GET, number, b"")
        assert body == b"x" * 1500 + b"y" * 1500
        assert len(world.network.dispatches()) == 1
        # A new home, or one that forgot it, fetches it again.
        await trio.sleep(40)
        assert await _request_block(world, Code.GET, 2, b"") == b"y" * 952
        assert len(world.network.dispatches()) == 2


async def _request_block(
    world: home_fakes.HomeWorld, code: Code, number: int, echo: bytes
) -> bytes:
    path = "/lots" if code is Code.GET else "/reserve"
    message = home_fakes.make_request(
        code, path, mid=500 + number, token=b"n", echo=echo or None
    )
    message.opt.block2 = (number, False, 6)
    before = len(world.answers.sent)
    world.home.handle(home_fakes.FLOW, message)
    while len(world.answers.sent) == before:
        await trio.sleep(0.001)
    payload: bytes = world.answers.sent[before][1].payload
    return payload


@trios.clock_test
async def test_rest_of_an_answer_survives_its_home() -> None:
    """A buyer gets the first part of an answer and never the rest.

    The home dies between two blocks. The next home asks the keepers by
    ticket and token for the whole answer; nothing runs.
    """
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer_large)
    async with world.running():
        echo = await world.get_ticket()
        first = await world.send_request(
            Code.POST, "/reserve", token=b"n", echo=echo
        )
        here = await _request_block(world, Code.POST, 1, echo)
    successor = home_fakes.HomeWorld(home_fakes.ids.HostId("entry-4"))
    successor.handle_calls_with(_answer_large)
    async with successor.running():
        there = await _request_block(successor, Code.POST, 1, echo)
        assert there == here
        rest = await _request_block(successor, Code.POST, 2, echo)
    assert first.payload + there + rest == b"x" * 1500 + b"y" * 1500
    assert not successor.network.dispatches()
    (_, question), *_ = successor.network.calls
    assert isinstance(question, work.Recover)
    assert (question.token, question.digest) == (b"n", b"")


@trios.clock_test
async def test_missing_rest_of_an_answer_is_never_called_not_run() -> None:
    """A buyer reserves again because the rest of an answer is gone.

    A plain CoAP caller asks for the second block under a new token, at a
    new home; no keeper knows that token and each says "not run".
    """
    world = home_fakes.HomeWorld()
    async with world.running():
        echo = await world.get_ticket()
    successor = home_fakes.HomeWorld(home_fakes.ids.HostId("entry-4"))

    async def deny(message: base.Message) -> base.Message:
        return work.Dispatched(work.Outcome.NOT_RUN)

    successor.handle_calls_with(deny)
    async with successor.running():
        await _request_block(successor, Code.POST, 1, echo)
    assert successor.answers.sent[-1][1].code is Code.GATEWAY_TIMEOUT


@trios.clock_test
async def test_rest_of_a_notification_comes_from_its_feed() -> None:
    world = home_fakes.HomeWorld()
    message = home_fakes.make_request(Code.GET, "/prices")
    message.opt.block2 = (2, False, 6)
    async with world.running():
        world.home.handle(home_fakes.FLOW, message)
    reply = world.answers.sent[0][1]
    assert (reply.code, len(reply.payload)) == (Code.CONTENT, 952)
