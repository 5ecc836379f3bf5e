"""Tests of the outcomes that a keeper reports for requests."""

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
    answer: fake_upstream.RequestHandler | None = None,
) -> AsyncIterator[tuple[scene.Scene, fake_upstream.FakeUpstream]]:
    """Runs a keeper with a fake upstream.

    Args:
        answer: Called with each request that the upstream receives; if None,
            each request is answered at once.
    """
    upstream = fake_upstream.FakeUpstream(answer)
    async with scene.open_scene(open_socket=upstream.open) as env:
        contract = scene.make_contract({"u1": 9}, limits=_LIMITS)
        env.store.offer(scene.make_record(contract, 1))
        yield env, upstream


def on_transmission(
    number: int, act: fake_upstream.RequestHandler
) -> fake_upstream.RequestHandler:
    """Returns an upstream that reacts only to the given transmission."""
    seen = 0

    def answer(socket: fake_upstream.FakeSocket, m: codec.Message) -> None:
        nonlocal seen
        seen += 1
        if seen == number:
            act(socket, m)

    return answer


def reset(socket: fake_upstream.FakeSocket, request: codec.Message) -> None:
    """Answers a request with a reset message."""
    fake_upstream.send_empty(socket, aiocoap.RST, request.mid)


def refuse(socket: fake_upstream.FakeSocket, request: codec.Message) -> None:
    """Refuses a request with an ICMP error."""
    socket.refuse(request)


def shed(socket: fake_upstream.FakeSocket, request: codec.Message) -> None:
    """Sheds a request with 5.03."""
    fake_upstream.reply(
        socket, request, aiocoap.SERVICE_UNAVAILABLE, b"busy", max_age=7
    )


@trios.clock_test
async def test_refusal_of_the_only_transmission_means_not_run() -> None:
    for act in (reset, refuse):
        async with open_upstream(on_transmission(1, act)) as (env, _):
            result = await env.call_keeper(scene.make_dispatch())
            assert result.outcome is Outcome.NOT_RUN, act


@trios.clock_test
async def test_refusal_of_a_retransmission_leaves_the_outcome_unknown() -> None:
    """Guards against "not run" for a request that may have run.

    A reservation runs, its answer is lost, and the upstream restarts. The
    new process does not know the request and resets the retransmission. If
    that counted as not run, the caller would reserve the lot again.
    """
    for act in (reset, refuse):
        async with open_upstream(on_transmission(2, act)) as (env, _):
            result = await env.call_keeper(scene.make_dispatch())
            assert result.outcome is Outcome.UNKNOWN, act
            again = await env.call_keeper(scene.make_dispatch())
            assert again.outcome is Outcome.UNKNOWN, act


@trios.clock_test
async def test_unanswered_request_times_out_and_frees_its_slot() -> None:
    async with open_upstream(fake_upstream.ignore_request) as (env, upstream):
        started_at = trio.current_time()
        dispatch = scene.make_dispatch(deadline_ms=60_000)
        result = await env.call_keeper(dispatch)
        assert result.outcome is Outcome.UNKNOWN
        assert round(trio.current_time() - started_at, 3) == 10
        assert env.keeper.list_loads()[0].busy == 0
        assert len({m.mid for m in upstream.received}) == 1
        assert len(upstream.received) > 1
        [trust] = [load.trust for load in env.keeper.list_loads()]
        assert trust < 0.6
        # The upstream sent nothing back, so new requests get a new socket.
        upstream.handle_request = fake_upstream.reply
        result = await env.call_keeper(scene.make_dispatch(number=2))
        assert result.outcome is Outcome.ANSWERED
        assert len(upstream.sockets) == 2


@trios.clock_test
async def test_shed_request_did_not_run_and_has_a_retry_delay() -> None:
    async with open_upstream(shed) as (env, _):
        result = await env.call_keeper(scene.make_dispatch())
        assert result.outcome is Outcome.NOT_RUN
        assert result.retry_after_s == 7
        assert result.load is not None
        assert result.load.accepting


@trios.clock_test
async def test_late_answer_is_stored_for_recovery_queries() -> None:
    """Guards against the loss of an answer that arrives after the deadline.

    A reservation runs past its deadline and is answered later. A recovery
    query must return that answer, so that the caller's retry does not
    reserve another lot.
    """
    waiting: list[tuple[fake_upstream.FakeSocket, codec.Message]] = []

    def answer(socket: fake_upstream.FakeSocket, m: codec.Message) -> None:
        fake_upstream.send_empty(socket, aiocoap.ACK, m.mid)
        waiting.append((socket, m))

    async with open_upstream(answer) as (env, upstream):
        dispatch = scene.make_dispatch(deadline_ms=1_000)
        result = await env.call_keeper(dispatch)
        assert result.outcome is Outcome.UNKNOWN
        assert env.keeper.list_loads()[0].busy == 1
        socket, request = waiting[0]
        fake_upstream.send_separate(socket, request, b"late")
        fake_upstream.send_separate(socket, request, b"late")
        await trio.sleep(0.01)
        assert env.keeper.list_loads()[0].busy == 0
        assert len(upstream.replies(aiocoap.ACK)) == 2
        recovered = await env.call_keeper(scene.make_recover(dispatch))
        assert recovered.outcome is Outcome.ANSWERED
        assert codec.decode(recovered.answer).payload == b"late"


@trios.clock_test
async def test_answers_with_other_tokens_are_not_accepted() -> None:
    """Guards against an answer that reaches the wrong caller.

    The answers of two callers cross, and one carries the other's message id.
    If answers were matched by message id alone, a buyer would receive the
    reservation of another buyer.
    """

    def answer(socket: fake_upstream.FakeSocket, m: codec.Message) -> None:
        wrong = m.copy(token=b"wrong")
        fake_upstream.reply(socket, wrong, payload=b"of another")
        fake_upstream.send_separate(socket, m, b"own")

    async with open_upstream(answer) as (env, _):
        result = await env.call_keeper(scene.make_dispatch())
        assert codec.decode(result.answer).payload == b"own"


@trios.clock_test
async def test_queued_request_of_an_unreachable_home_is_never_sent() -> None:
    async with open_upstream(fake_upstream.ignore_request) as (env, upstream):
        for number in (1, 2):
            env.nursery.start_soon(
                env.call_keeper, scene.make_dispatch(number=number)
            )
        await trio.sleep(0.1)
        third = scene.make_dispatch(number=3)
        async with env.network.open_call(third) as caller:
            await trio.sleep(0.1)
            assert env.keeper.list_loads()[0].queued == 1
            caller.link_lost = True
        assert env.keeper.list_loads()[0].queued == 0
        assert len({m.token for m in upstream.received}) == 2
        result = await env.call_keeper(scene.make_recover(third))
        assert result.outcome is Outcome.NOT_RUN


@trios.clock_test
async def test_cancelled_idempotent_request_keeps_its_slot_until_done() -> None:
    """Guards against more running requests than the upstream has slots.

    A caller disconnects while its request runs at the upstream. If its slot
    counted as free at once, the keeper would send one request too many.
    """
    waiting: list[tuple[fake_upstream.FakeSocket, codec.Message]] = []

    def answer(socket: fake_upstream.FakeSocket, m: codec.Message) -> None:
        fake_upstream.send_empty(socket, aiocoap.ACK, m.mid)
        waiting.append((socket, m))

    async with open_upstream(answer) as (env, upstream):
        read = scene.make_dispatch(
            request=scene.make_request("/time", code=aiocoap.GET),
            call_class=ids.CallClassName("reads"),
            idempotent=True,
        )
        async with env.network.open_call(read) as caller:
            await trio.sleep(0.1)
            await caller.to_keeper.send(
                work.CancelDispatch(read.ticket, read.token, read.digest)
            )
            await trio.sleep(0.1)
            assert env.keeper.list_loads()[0].busy == 1
            socket, request = waiting[0]
            [cancelled] = upstream.replies(aiocoap.RST)
            assert cancelled.mid == request.mid
            fake_upstream.send_separate(socket, request)
            await trio.sleep(0.1)
            assert env.keeper.list_loads()[0].busy == 0
            assert len(upstream.replies(aiocoap.RST)) == 2


@trios.clock_test
async def test_no_more_requests_run_than_there_are_slots() -> None:
    running = 0
    max_running = 0
    done = 0

    async with open_upstream() as (env, upstream):

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
            nonlocal running, max_running
            running += 1
            max_running = max(max_running, running)
            env.nursery.start_soon(finish, socket, request)

        upstream.handle_request = answer
        async with trio.open_nursery() as nursery:
            for number in range(12):
                dispatch = scene.make_dispatch(number=number)
                nursery.start_soon(env.call_keeper, dispatch)
        assert (max_running, done) == (2, 12)


@trios.clock_test
async def test_large_answer_of_a_changing_resource_is_whole() -> None:
    """Guards against an answer assembled from blocks of two versions.

    A list changes while the keeper fetches it in blocks. The keeper must
    fetch the new version from its first block.
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

    async with open_upstream(answer) as (env, _):
        read = scene.make_dispatch(
            request=scene.make_request("/list", code=aiocoap.GET),
            call_class=ids.CallClassName("reads"),
            idempotent=True,
        )
        result = await env.call_keeper(read)
        whole = codec.decode(result.answer, limit=codec.MAX_WHOLE_OCTETS)
        assert whole.payload == versions[b"2"]
        assert fetched == [0, 1, 2, 0, 1, 2]


@trios.clock_test
async def test_incomplete_upload_did_not_run() -> None:
    def answer(socket: fake_upstream.FakeSocket, m: codec.Message) -> None:
        if m.opt.block1.block_number == 0:
            fake_upstream.reply(
                socket, m, aiocoap.CONTINUE, block1=m.opt.block1
            )

    async with open_upstream(answer) as (env, upstream):
        request = scene.make_request("/lots/berries", b"x" * 5000)
        dispatch = scene.make_dispatch(request=request)
        result = await env.call_keeper(dispatch)
        assert result.outcome is Outcome.NOT_RUN
        await trio.sleep(20)
        assert max(m.opt.block1.block_number for m in upstream.received) == 1
        recovered = await env.call_keeper(scene.make_recover(dispatch))
        assert recovered.outcome is Outcome.NOT_RUN


@trios.clock_test
async def test_address_moved_to_another_service_receives_nothing() -> None:
    """Guards against retransmissions to an upstream of another service.

    An address moves to another service while a request is retransmitted.
    The upstream of the other service could accept the request as its own.
    """
    async with open_upstream(fake_upstream.ignore_request) as (env, upstream):
        env.nursery.start_soon(env.call_keeper, scene.make_dispatch())
        await trio.sleep(0.1)
        other = scene.make_contract({"v1": 9}, service="grower-intake")
        env.store.offer(scene.make_record(other, 2))
        sent = len(upstream.received)
        await trio.sleep(20)
        assert len(upstream.received) == sent
        result = await env.call_keeper(scene.make_dispatch(number=2))
        assert result.outcome is Outcome.STALE


@trios.clock_test
async def test_draining_upstream_receives_no_new_requests() -> None:
    def drain(socket: fake_upstream.FakeSocket, m: codec.Message) -> None:
        fake_upstream.reply(
            socket, m, aiocoap.SERVICE_UNAVAILABLE, b"draining", max_age=30
        )

    async with open_upstream(drain) as (env, upstream):
        await env.call_keeper(scene.make_dispatch())
        await trio.sleep(20)
        result = await env.call_keeper(scene.make_dispatch(number=2))
        assert result.outcome is Outcome.NOT_RUN
        assert result.load is not None
        assert not result.load.accepting
        assert len(upstream.requests()) == 1
