"""Properties of the message layer: ids, freshness, loss, bad datagrams."""

from __future__ import annotations

import aiocoap
import hypothesis
from hypothesis import strategies
import trio

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.coap import transmission
from persimmonhinge.peers.messages import work
from persimmonhinge.policies import admission
from persimmonhinge.policies import builtin  # noqa: F401
from persimmonhinge.policies import order
from persimmonhinge.upstreams import freshness
from persimmonhinge.upstreams import message_ids
from tests.support import trios
from tests.test_upstreams import fake_upstream
from tests.test_upstreams import scene

_LIFETIME_S = transmission.EXCHANGE_LIFETIME_S


@hypothesis.settings(max_examples=10)
@hypothesis.given(
    first=strategies.integers(0, 65_535),
    bursts=strategies.lists(
        strategies.tuples(
            strategies.sampled_from((100, 20_000, 40_000)),
            strategies.sampled_from((0.1, 30.0, 200.0)),
        ),
        max_size=12,
    ),
)
def test_message_ids_are_not_reused_within_their_lifetime(
    first: int, bursts: list[tuple[int, float]]
) -> None:
    """An upstream must not take a new request for a retransmission.

    If a message id is reused within its lifetime, the upstream sends the
    answer of the older request again and does not run the new one.
    """
    now_s = 0.0
    source = message_ids.MessageIds(first, lambda: now_s)
    used_at: dict[int, float] = {}
    for count, pause_s in bursts:
        for _ in range(count):
            if source.is_exhausted():
                break
            message_id = source.next()
            if message_id in used_at:
                assert now_s - used_at[message_id] >= _LIFETIME_S
            used_at[message_id] = now_s
        now_s += pause_s


@hypothesis.given(
    start=strategies.integers(0, (1 << 24) - 1),
    offsets=strategies.lists(strategies.integers(0, 30), max_size=40),
)
def test_freshness_accepts_only_rising_numbers(
    start: int, offsets: list[int]
) -> None:
    fresh = freshness.Freshness()
    passed = [
        offset
        for offset in offsets
        if fresh.accept((start + offset) % (1 << 24), 0.0)
    ]
    assert passed == sorted(set(passed))
    if offsets:
        assert passed[-1] == max(offsets)


def test_freshness_accepts_any_number_after_128_s() -> None:
    fresh = freshness.Freshness()
    assert fresh.accept(500, 0.0)
    assert not fresh.accept(3, 100.0)
    assert fresh.accept(3, 130.0)


class LossyUpstream(fake_upstream.FakeUpstream):
    """Loses and duplicates datagrams; detects duplicates by message id.

    Attributes:
        runs: Number of requests that it ran.
    """

    def __init__(self, deliveries: list[str]) -> None:
        super().__init__(self.serve)
        self.runs = 0
        self._deliveries = iter(deliveries)
        self._seen: set[int] = set()

    def handle_message(
        self, socket: fake_upstream.FakeSocket, message: codec.Message
    ) -> None:
        """Loses, duplicates or handles a datagram of the keeper."""
        delivery = next(self._deliveries, "pass")
        if delivery == "lose":
            return
        super().handle_message(socket, message)
        if delivery == "double":
            super().handle_message(socket, message)

    def serve(
        self, socket: fake_upstream.FakeSocket, request: codec.Message
    ) -> None:
        """Runs a request once; its answer may be lost or duplicated."""
        if request.mid not in self._seen:
            self._seen.add(request.mid)
            self.runs += 1
        delivery = next(self._deliveries, "pass")
        for _ in range({"lose": 0, "pass": 1, "double": 2}[delivery]):
            fake_upstream.reply(socket, request, payload=b"answer")


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    deliveries=strategies.lists(
        strategies.sampled_from(("pass", "lose", "double")), max_size=12
    )
)
@trios.clock_test
async def test_lost_and_duplicated_datagrams_run_no_request_twice(
    deliveries: list[str],
) -> None:
    upstream = LossyUpstream(deliveries)
    async with scene.open_scene(open_socket=upstream.open) as here:
        contract = scene.make_contract(
            {"u1": 9}, limits={"upstream_timeout_s": 20}
        )
        here.store.offer(scene.make_record(contract, 1))
        dispatch = scene.make_dispatch(deadline_ms=30_000)
        result = await here.call_keeper(dispatch)
        assert upstream.runs <= 1
        if result.outcome is work.Outcome.ANSWERED:
            assert upstream.runs == 1
            assert codec.decode(result.answer).payload == b"answer"
        else:
            # Each of five transmissions or its answer was lost.
            assert result.outcome is work.Outcome.UNKNOWN
            assert deliveries.count("lose") >= 5


@hypothesis.settings(max_examples=200)
@hypothesis.given(
    data=strategies.binary(max_size=80), matched=strategies.booleans()
)
@trios.clock_test
async def test_invalid_datagrams_do_not_affect_other_requests(
    data: bytes, matched: bool
) -> None:
    """An invalid datagram of one upstream must not affect other services.

    If its handling ended a task, the host would stop for all services.
    """

    def answer(
        socket: fake_upstream.FakeSocket, request: codec.Message
    ) -> None:
        if request.opt.uri_path == ("time",):
            fake_upstream.reply(socket, request, payload=b"answer")
            return
        # Message id and token match; the other octets are random.
        head = bytes([0x68]) + data[:1] + request.mid.to_bytes(2, "big")
        whole = head + request.token + data[1:] if matched else data
        socket.deliver_data(whole)
        socket.deliver_data(whole, refused=True)

    upstream = fake_upstream.FakeUpstream(answer)
    async with scene.open_scene(open_socket=upstream.open) as here:
        here.store.offer(scene.make_record(scene.make_contract({"u1": 9}), 1))
        reads = ids.CallClassName("reads")
        for path in ("/strange", "/time"):
            request = scene.make_request(path, code=aiocoap.GET)
            dispatch = scene.make_dispatch(
                request=request, idempotent=True, call_class=reads
            )
            result = await here.call_keeper(dispatch)
        opened = scene.make_feed_open()
        async with here.network.open_call(opened) as caller:
            with trio.fail_after(60):
                await caller.from_keeper.receive()
        assert codec.decode(result.answer).payload == b"answer"
        assert not here.counts.sum("upstream_datagrams_failed_total")


def test_unknown_policies_are_replaced_by_the_default() -> None:
    assert len(order.make_queue("of a newer version")) == 0
    policy = admission.make_admission_policy("of a newer version")
    assert isinstance(policy, admission.DeadlineAdmission)
