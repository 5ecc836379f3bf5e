"""Tests of block-wise transfer of requests and replies."""

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
_MAX_BODY_OCTETS = 4096


def _split(
    body: bytes, exponent: int, tag: bytes, **request: Any
) -> list[codec.Message]:
    """Returns the requests for the blocks of an upload."""
    size = 1 << (exponent + 4)
    messages = []
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
        messages.append(message)
    return messages


@home_fakes.PROPERTY
@hypothesis.given(
    body=strategies.binary(min_size=20, max_size=400),
    exponent=strategies.integers(0, 4),
    randomness=strategies.randoms(use_true_random=False),
    extra=strategies.integers(0, 6),
    swaps=strategies.integers(0, 3),
)
@trios.clock_test
async def test_any_order_of_blocks_gives_the_body_or_an_error_reply(
    body: bytes, exponent: int, randomness: Any, extra: int, swaps: int
) -> None:
    """Guards against a body that lacks, repeats or mixes up blocks.

    The network duplicates, delays and loses blocks, while the same caller
    sends another upload with its own Request-Tag, whose blocks must not get
    into the body.
    """
    receiver = uploads.Uploads(counts.Counts(), 30)
    sent = _split(body, exponent, b"a")
    for _ in range(extra):
        sent.insert(randomness.randrange(len(sent)), randomness.choice(sent))
    for _ in range(swaps):
        first, second = (randomness.randrange(len(sent)) for _ in range(2))
        sent[first], sent[second] = sent[second], sent[first]
    other = _split(bytes(reversed(body)), exponent, b"b")
    bodies = []
    for message in sent:
        if other:
            receiver.add_block(home_fakes.FLOW, other.pop(0), _MAX_BODY_OCTETS)
        result = receiver.add_block(home_fakes.FLOW, message, _MAX_BODY_OCTETS)
        if isinstance(result, upload.CompleteRequest):
            bodies.append(result.message.payload)
        else:
            assert isinstance(result, codec.Message)
            assert result.code in (
                Code.CONTINUE,
                Code.REQUEST_ENTITY_INCOMPLETE,
            )
    assert set(bodies) <= {body}
    if not extra and not swaps:
        assert bodies == [body]


@home_fakes.PROPERTY
@hypothesis.given(
    body=strategies.binary(max_size=3000),
    exponent=strategies.integers(0, 6),
)
@trios.clock_test
async def test_blocks_of_a_reply_join_to_the_complete_body(
    body: bytes, exponent: int
) -> None:
    stored_replies = large_replies.LargeReplies(30)
    key = block_params.ReplyKey(home_fakes.FLOW, b"name")
    reply = codec.Message(code=Code.CONTENT, payload=body)
    first = blocks.Block(0, False, exponent)
    part = stored_replies.extract_block(
        reply, block_params.BlockParams(None, first, (key,))
    )
    joined = part.payload
    etag = part.opt.etag
    number = 0
    while part.opt.block2 is not None and part.opt.block2.more:
        number += 1
        requested = blocks.Block(number, False, exponent)
        params = block_params.BlockParams(None, requested, (key,))
        stored = stored_replies.find_reply(params)
        assert stored is not None
        part = stored_replies.extract_block(stored, params)
        assert part.opt.etag == etag
        joined += part.payload
    assert joined == body
    beyond = blocks.Block(number + 1, False, exponent)
    end = stored_replies.extract_block(
        reply, block_params.BlockParams(None, beyond, (key,))
    )
    assert end.code is Code.BAD_REQUEST


async def _answer_done(message: base.Message) -> base.Message:
    return home_fakes.make_answered(b"done")


async def _answer_large(message: base.Message) -> base.Message:
    return home_fakes.make_answered(b"x" * 1500 + b"y" * 1500)


async def _upload(
    world: home_fakes.HomeWorld, sent: list[codec.Message], first_mid: int
) -> codec.Message:
    """Sends blocks one after another; returns the last reply."""
    for number, message in enumerate(sent):
        message.mid = first_mid + number
        before = len(world.sender.sent)
        world.home.handle(home_fakes.FLOW, message)
        while len(world.sender.sent) == before:
            await trio.sleep(0.001)
    return world.sender.sent[-1][1]


@trios.clock_test
async def test_upload_reaches_the_upstream_complete() -> None:
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer_done)
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
async def test_block_without_earlier_blocks_is_incomplete() -> None:
    world = home_fakes.HomeWorld()
    async with world.running():
        sent = _split(b"z" * 2500, 6, b"t")
        reply = await _upload(world, sent[1:2], 50)
    assert reply.code is Code.REQUEST_ENTITY_INCOMPLETE


@trios.clock_test
async def test_block_that_differs_ends_the_upload() -> None:
    """Guards against a body that contains a block of an older upload.

    A caller abandons an upload and sends a changed body with the same
    Request-Tag; blocks of both uploads arrive.
    """
    receiver = uploads.Uploads(counts.Counts(), 30)
    old = _split(b"o" * 3000, 6, b"t")
    new = _split(b"n" * 3000, 6, b"t")
    for message in (*new[:2], old[1]):
        result = receiver.add_block(home_fakes.FLOW, message, _MAX_BODY_OCTETS)
    assert isinstance(result, codec.Message)
    assert result.code is Code.REQUEST_ENTITY_INCOMPLETE
    last = receiver.add_block(home_fakes.FLOW, new[2], _MAX_BODY_OCTETS)
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
    """Guards against a second run after the reply to an upload was lost.

    The caller sends the final block again with a new token, as plain CoAP
    clients do, and then the complete upload again.
    """
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer_done)
    body = b"m" * 2500
    async with world.running():
        unauthorized = await _upload(
            world, _split_post(body, b"", b"a")[:1], 40
        )
        assert unauthorized.code is Code.UNAUTHORIZED
        echo = unauthorized.opt.echo
        await _upload(world, _split_post(body, echo, b"a"), 50)
        # By now the message layer has removed the exchanges of the first
        # copies.
        await trio.sleep(20)
        last = await _upload(world, _split_post(body, echo, b"b")[2:], 60)
        assert last.payload == b"done"
        again = await _upload(world, _split_post(body, echo, b"a"), 70)
        assert again.payload == b"done"
    assert len(world.network.dispatches()) == 1


@trios.clock_test
async def test_later_blocks_need_no_second_dispatch() -> None:
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
        # The home has removed the reply by now, so it fetches it again, as a
        # new home would.
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
    before = len(world.sender.sent)
    world.home.handle(home_fakes.FLOW, message)
    while len(world.sender.sent) == before:
        await trio.sleep(0.001)
    payload: bytes = world.sender.sent[before][1].payload
    return payload


@trios.clock_test
async def test_later_blocks_of_a_reply_survive_its_home() -> None:
    """Guards against a large reply whose later blocks can't be read.

    The home fails between two blocks. The next home queries the keepers by
    ticket and token for the complete reply; the request doesn't run again.
    """
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_answer_large)
    async with world.running():
        echo = await world.get_ticket()
        first = await world.send_request(
            Code.POST, "/reserve", token=b"n", echo=echo
        )
        first_home_block = await _request_block(world, Code.POST, 1, echo)
    successor = home_fakes.HomeWorld(home_fakes.ids.HostId("entry-4"))
    successor.handle_calls_with(_answer_large)
    async with successor.running():
        next_home_block = await _request_block(successor, Code.POST, 1, echo)
        assert next_home_block == first_home_block
        rest = await _request_block(successor, Code.POST, 2, echo)
    assert first.payload + next_home_block + rest == b"x" * 1500 + b"y" * 1500
    assert not successor.network.dispatches()
    (_, query), *_ = successor.network.calls
    assert isinstance(query, work.Recover)
    assert (query.token, query.digest) == (b"n", b"")


@trios.clock_test
async def test_missing_later_block_is_not_reported_as_not_run() -> None:
    """Guards against "not run" for a request that ran, which invites a repeat.

    A plain CoAP client requests the second block of a reply with a new token
    from a new home. No keeper has a row for that token, so each answers "not
    run".
    """
    world = home_fakes.HomeWorld()
    async with world.running():
        echo = await world.get_ticket()
    successor = home_fakes.HomeWorld(home_fakes.ids.HostId("entry-4"))

    async def answer_not_run(message: base.Message) -> base.Message:
        return work.Dispatched(work.Outcome.NOT_RUN)

    successor.handle_calls_with(answer_not_run)
    async with successor.running():
        await _request_block(successor, Code.POST, 1, echo)
    assert successor.sender.sent[-1][1].code is Code.GATEWAY_TIMEOUT


@trios.clock_test
async def test_later_block_of_a_notification_comes_from_its_feed() -> None:
    world = home_fakes.HomeWorld()
    message = home_fakes.make_request(Code.GET, "/prices")
    message.opt.block2 = (2, False, 6)
    async with world.running():
        world.home.handle(home_fakes.FLOW, message)
    reply = world.sender.sent[0][1]
    assert (reply.code, len(reply.payload)) == (Code.CONTENT, 952)
