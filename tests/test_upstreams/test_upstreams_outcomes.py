"""Tests of what a keeper says became of a request."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib

import aiocoap
from aiocoap import optiontypes
import trio

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_upstreams import fake_upstream
from tests.test_upstreams import scene

Outcome = work.Outcome
Block = optiontypes.BlockOption.BlockwiseTuple
_LIMITS = {"upstream_timeout_s": 10.0}


@contextlib.asynccontextmanager
async def open_upstream(
    answer: fake_upstream.Answer | None = None,
) -> AsyncIterator[tuple[scene.Scene, fake_upstream.FakeUpstream]]:
    """Runs a keeper with an upstream that answers by a function."""
    upstream = fake_upstream.FakeUpstream(answer)
    async with scene.open_scene(open_socket=upstream.open) as here:
        contract = scene.make_contract({"u1": 9}, limits=_LIMITS)
        here.store.offer(scene.make_record(contract, 1))
        yield here, upstream


def on_transmission(
    number: int, act: fake_upstream.Answer
) -> fake_upstream.Answer:
    """Returns an upstream that acts on one transmission and is else silent."""
    seen = 0

    def answer(socket: fake_upstream.FakeSocket, m: codec.Message) -> None:
        nonlocal seen
        seen += 1
        if seen == number:
            act(socket, m)

    return answer


def reset(socket: fake_upstream.FakeSocket, request: codec.Message) -> None:
    """Resets a request."""
    fake_upstream.send_empty(socket, aiocoap.RST, request.mid)


def refuse(socket: fake_upstream.FakeSocket, request: codec.Message) -> None:
    """Refuses a request by ICMP."""
    socket.refuse(request)


def shed(socket: fake_upstream.FakeSocket, request: codec.Message) -> None:
    """Sheds a request."""
    fake_upstream.reply(
        socket, request, aiocoap.SERVICE_UNAVAILABLE, b"busy", max_age=7
    )


@trios.clock_test
async def test_refusal_of_the_only_transmission_means_not_run() -> None:
    for act in (reset, refuse):
        async with open_upstream(on_transmission(1, act)) as (here, _):
            result = await here.call_keeper(scene.make_dispatch())
            assert result.outcome is Outcome.NOT_RUN, act


@trios.clock_test
async def test_refusal_of_a_retransmission_leaves_the_outcome_unknown() -> None:
    """A reservation runs, its answer is lost, and the upstream restarts.

    The retransmission meets a program that knows nothing and resets it. If
    that counted as not run, the caller would reserve the lot once more.
    """
    for act in (reset, refuse):
        async with open_upstream(on_transmission(2, act)) as (here, _):
            result = await here.call_keeper(scene.make_dispatch())
            assert result.outcome is Outcome.UNKNOWN, act
            again = await here.call_keeper(scene.make_dispatch())
            assert again.outcome is Outcome.UNKNOWN, act


@trios.clock_test
async def test_silence_ends_at_the_limit_and_frees_the_slot() -> None:
    async with open_upstream(fake_upstream.swallow) as (here, upstream):
        began_at = trio.current_time()
        dispatch = scene.make_dispatch(deadline_ms=60_000)
        result = await here.call_keeper(dispatch)
        assert result.outcome is Outcome.UNKNOWN
        assert round(trio.current_time() - began_at, 3) == 10
        assert here.keeper.list_loads()[0].busy == 0
        assert len({m.mid for m in upstream.received}) == 1
        assert len(upstream.received) > 1
        [trust] = [load.trust for load in here.keeper.list_loads()]
        assert trust < 0.6
        # Nothing came back, so new work gets a socket of its own.
        upstream.answer = fake_upstream.reply
        result = await here.call_keeper(scene.make_dispatch(number=2))
        assert result.outcome is Outcome.ANSWERED
        assert len(upstream.sockets) == 2


@trios.clock_test
async def test_shed_request_did_not_run_and_says_when_to_return() -> None:
    async with open_upstream(shed) as (here, _):
        result = await here.call_keeper(scene.make_dispatch())
        assert result.outcome is Outcome.NOT_RUN
        assert result.retry_after_s == 7
        assert result.load is not None
        assert result.load.accepting


@trios.clock_test
async def test_answer_that_comes_late_is_kept_for_who_asks_again() -> None:
    """A reservation runs past its deadline, and its answer comes later.

    Whoever asks then gets it, so that the caller's second try does not
    reserve another lot.
    """
    waiting: list[tuple[fake_upstream.FakeSocket, codec.Message]] = []

    def answer(socket: fake_upstream.FakeSocket, m: codec.Message) -> None:
        fake_upstream.send_empty(socket, aiocoap.ACK, m.mid)
        waiting.append((socket, m))

    async with open_upstream(answer) as (here, upstream):
        dispatch = scene.make_dispatch(deadline_ms=1_000)
        result = await here.call_keeper(dispatch)
        assert result.outcome is Outcome.UNKNOWN
        assert here.keeper.list_loads()[0].busy == 1
        socket, request = waiting[0]
        fake_upstream.send_separate(socket, request, b"late")
        fake_upstream.send_separate(socket, request, b"late")
        await trio.sleep(0.01)
        assert here.keeper.list_loads()[0].busy == 0
        assert len(upstream.replies(aiocoap.ACK)) == 2
        recovered = await here.call_keeper(scene.make_recover(dispatch))
        assert recovered.outcome is Outcome.ANSWERED
        assert codec.decode(recovered.answer).payload == b"late"


@trios.clock_test
async def test_answers_of_other_tokens_are_not_taken() -> None:
    """Two callers' answers cross; one carries the other's message id.

    Matched by message id alone, a buyer would get another's reservation.
    """

    def answer(socket: fake_upstream.FakeSocket, m: codec.Message) -> None:
        wrong = m.copy(token=b"wrong")
        fake_upstream.reply(socket, wrong, payload=b"of another")
        fake_upstream.send_separate(socket, m, b"own")

    async with open_upstream(answer) as (here, _):
        result = await here.call_keeper(scene.make_dispatch())
        assert codec.decode(result.answer).payload == b"own"


@trios.clock_test
async def test_queued_work_of_a_home_that_is_gone_is_never_sent() -> None:
    async with open_upstream(fake_upstream.swallow) as (here, upstream):
        for number in (1, 2):
            here.nursery.start_soon(
                here.call_keeper, scene.make_dispatch(number=number)
            )
        await trio.sleep(0.1)
        third = scene.make_dispatch(number=3)
        async with here.network.open_call(third) as caller:
            await trio.sleep(0.1)
            assert here.keeper.list_loads()[0].queued == 1
            caller.link_lost = True
        assert here.keeper.list_loads()[0].queued == 0
        assert len({m.token for m in upstream.received}) == 2
        result = await here.call_keeper(scene.make_recover(third))
        assert result.outcome is Outcome.NOT_RUN


@trios.clock_test
async def test_cancelled_idempotent_work_keeps_its_slot_until_it_ends() -> None:
    """A caller goes away while its request runs at the upstream.

    A slot that counted as free at once would let one request too many in.
    """
    waiting: list[tuple[fake_upstream.FakeSocket, codec.Message]] = []

    def answer(socket: fake_upstream.FakeSocket, m: codec.Message) -> None:
        fake_upstream.send_empty(socket, aiocoap.ACK, m.mid)
        waiting.append((socket, m))

    async with open_upstream(answer) as (here, upstream):
        read = scene.make_dispatch(
            request=scene.make_request("/time", code=aiocoap.GET),
            call_class=ids.CallClassName("reads"),
            idempotent=True,
        )
        async with here.network.open_call(read) as caller:
            await trio.sleep(0.1)
            await caller.to_keeper.send(
                work.CancelDispatch(read.ticket, read.token, read.digest)
            )
            await trio.sleep(0.1)
            assert here.keeper.list_loads()[0].busy == 1
            socket, request = waiting[0]
            [cancelled] = upstream.replies(aiocoap.RST)
            assert cancelled.mid == request.mid
            fake_upstream.send_separate(socket, request)
            await trio.sleep(0.1)
            assert here.keeper.list_loads()[0].busy == 0
            assert len(upstream.replies(aiocoap.RST)) == 2


@trios.clock_test
async def test_no_more_requests_run_than_there_are_slots() -> None:
    running = 0
    most = 0
    done = 0

    async with open_upstream() as (here, upstream):

        async def finish(
            socket: fake_upstream.FakeSocket, request: codec.Message
        ) -> None:
            nonlocal running, done
            await trio.sleep(0.1)
            running -= 1
            done += 1
            fake_upstream.reply(socket, request)

        def answer(
            socket: fake_upstream.FakeSocket, request: codec.Message
        ) -> None:
            nonlocal running, most
            running += 1
            most = max(most, running)
            here.nursery.start_soon(finish, socket, request)

        upstream.answer = answer
        async with trio.open_nursery() as nursery:
            for number in range(12):
                dispatch = scene.make_dispatch(number=number)
                nursery.start_soon(here.call_keeper, dispatch)
        assert (most, done) == (2, 12)


@trios.clock_test
async def test_large_answer_of_a_changing_resource_is_whole() -> None:
    """A list changes while it is fetched in blocks.

    Blocks of two versions put together would be an answer that never was.
    """
    versions = {b"1": b"a" * 2500, b"2": b"b" * 2500}
    fetched: list[int] = []

    def answer(socket: fake_upstream.FakeSocket, m: codec.Message) -> None:
        number = m.opt.block2.block_number if m.opt.block2 else 0
        fetched.append(number)
        tag = b"1" if len(fetched) < 3 else b"2"
        body = versions[tag]
        more = (number + 1) * 1024 < len(body)
        fake_upstream.reply(
            socket,
            m,
            payload=body[number * 1024 : (number + 1) * 1024],
            block2=Block(number, more, 6),
            etag=tag,
        )

    async with open_upstream(answer) as (here, _):
        read = scene.make_dispatch(
            request=scene.make_request("/list", code=aiocoap.GET),
            call_class=ids.CallClassName("reads"),
            idempotent=True,
        )
        result = await here.call_keeper(read)
        whole = codec.decode(result.answer, limit=codec.MAX_WHOLE_OCTETS)
        assert whole.payload == versions[b"2"]
        assert fetched == [0, 1, 2, 0, 1, 2]


@trios.clock_test
async def test_upload_that_is_cut_off_did_not_run() -> None:
    def answer(socket: fake_upstream.FakeSocket, m: codec.Message) -> None:
        if m.opt.block1.block_number == 0:
            fake_upstream.reply(
                socket, m, aiocoap.CONTINUE, block1=m.opt.block1
            )

    async with open_upstream(answer) as (here, upstream):
        request = scene.make_request("/lots/berries", b"x" * 5000)
        dispatch = scene.make_dispatch(request=request)
        result = await here.call_keeper(dispatch)
        assert result.outcome is Outcome.NOT_RUN
        await trio.sleep(20)
        assert max(m.opt.block1.block_number for m in upstream.received) == 1
        recovered = await here.call_keeper(scene.make_recover(dispatch))
        assert recovered.outcome is Outcome.NOT_RUN


@trios.clock_test
async def test_address_that_moves_to_another_service_gets_nothing() -> None:
    """An address moves to another service while a request is sent again.

    The retransmission would reach an upstream of the other service, which
    could take it for one of its own.
    """
    async with open_upstream(fake_upstream.swallow) as (here, upstream):
        here.nursery.start_soon(here.call_keeper, scene.make_dispatch())
        await trio.sleep(0.1)
        other = scene.make_contract({"v1": 9}, service="grower-intake")
        here.store.offer(scene.make_record(other, 2))
        sent = len(upstream.received)
        await trio.sleep(20)
        assert len(upstream.received) == sent
        result = await here.call_keeper(scene.make_dispatch(number=2))
        assert result.outcome is Outcome.STALE


@trios.clock_test
async def test_upstream_that_says_it_drains_gets_no_new_work() -> None:
    def drain(socket: fake_upstream.FakeSocket, m: codec.Message) -> None:
        fake_upstream.reply(
            socket, m, aiocoap.SERVICE_UNAVAILABLE, b"draining", max_age=30
        )

    async with open_upstream(drain) as (here, upstream):
        await here.call_keeper(scene.make_dispatch())
        await trio.sleep(20)
        result = await here.call_keeper(scene.make_dispatch(number=2))
        assert result.outcome is Outcome.NOT_RUN
        assert result.load is not None
        assert not result.load.accepting
        assert len(upstream.requests()) == 1
