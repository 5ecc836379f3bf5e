"""Properties of the message layer: ids, freshness, loss, strange datagrams."""

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
def test_message_ids_are_not_used_again_within_their_lifetime(
    first: int, bursts: list[tuple[int, float]]
) -> None:
    """An upstream answers a new reservation with the answer to an old one.

    It took the new one for a retransmission, since the ids came round.
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
    places=strategies.lists(strategies.integers(0, 30), max_size=40),
)
def test_freshness_lets_numbers_only_rise(
    start: int, places: list[int]
) -> None:
    fresh = freshness.Freshness()
    passed = [
        place
        for place in places
        if fresh.admit((start + place) % (1 << 24), 0.0)
    ]
    assert passed == sorted(set(passed))
    if places:
        assert passed[-1] == max(places)


def test_freshness_begins_anew_after_a_long_time() -> None:
    fresh = freshness.Freshness()
    assert fresh.admit(500, 0.0)
    assert not fresh.admit(3, 100.0)
    assert fresh.admit(3, 130.0)


class LossyUpstream(fake_upstream.FakeUpstream):
    """Loses and doubles datagrams, and tells copies by message id.

    Attributes:
        runs: Requests that it ran.
    """

    def __init__(self, fates: list[str]) -> None:
        super().__init__(self.serve)
        self.runs = 0
        self._fates = iter(fates)
        self._seen: set[int] = set()

    def take(
        self, socket: fake_upstream.FakeSocket, message: codec.Message
    ) -> None:
        """Loses a datagram of the keeper, doubles it, or takes it in."""
        fate = next(self._fates, "pass")
        if fate == "lose":
            return
        super().take(socket, message)
        if fate == "double":
            super().take(socket, message)

    def serve(
        self, socket: fake_upstream.FakeSocket, request: codec.Message
    ) -> None:
        """Runs a request once; its answer may be lost or doubled."""
        if request.mid not in self._seen:
            self._seen.add(request.mid)
            self.runs += 1
        fate = next(self._fates, "pass")
        for _ in range({"lose": 0, "pass": 1, "double": 2}[fate]):
            fake_upstream.reply(socket, request, payload=b"answer")


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    fates=strategies.lists(
        strategies.sampled_from(("pass", "lose", "double")), max_size=12
    )
)
@trios.clock_test
async def test_lost_and_doubled_datagrams_run_nothing_twice(
    fates: list[str],
) -> None:
    upstream = LossyUpstream(fates)
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
            # Five transmissions were lost, on one way or the other.
            assert result.outcome is work.Outcome.UNKNOWN
            assert fates.count("lose") >= 5


@hypothesis.settings(max_examples=200)
@hypothesis.given(
    data=strategies.binary(max_size=80), matched=strategies.booleans()
)
@trios.clock_test
async def test_strange_datagrams_end_no_task_and_stop_no_other_work(
    data: bytes, matched: bool
) -> None:
    """An upstream of one service sends what is no answer.

    If that ended a task, the host would stop for all services.
    """

    def answer(
        socket: fake_upstream.FakeSocket, request: codec.Message
    ) -> None:
        if request.opt.uri_path == ("time",):
            fake_upstream.reply(socket, request, payload=b"answer")
            return
        # The token is right and the rest may be anything.
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


def test_policies_of_a_newer_version_give_way_to_the_default() -> None:
    assert len(order.make_order("of a newer version")) == 0
    policy = admission.make_admission("of a newer version")
    assert isinstance(policy, admission.DeadlineAdmission)
