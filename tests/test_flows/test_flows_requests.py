"""Tests of at-most-once requests."""

from __future__ import annotations

import collections

from aiocoap.numbers import codes
import hypothesis
from hypothesis import strategies
import trio

from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_flows import home_fakes

Code = codes.Code
POST = codes.Code.POST


@hypothesis.settings(home_fakes.PROPERTY, max_examples=60)
@hypothesis.given(
    sends=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.integers(0, 3),
            strategies.sampled_from([0.0, 0.001, 0.3, 2.0, 40.0]),
        ),
        min_size=2,
        max_size=12,
    ),
    delays=strategies.lists(
        strategies.sampled_from([0.0, 0.01, 1.0]), min_size=1, max_size=6
    ),
)
@trios.clock_test
async def test_no_order_of_copies_runs_a_request_twice(
    sends: list[tuple[int, int, float]], delays: list[float]
) -> None:
    """Guards against a reservation that runs twice or gets differing replies.

    Copies and retries of three requests arrive in any order and at any time,
    also after the message layer has removed the first copy, while the
    upstream is still processing them.
    """
    world = home_fakes.HomeWorld()
    count = 0

    async def count_up(message: base.Message) -> base.Message:
        nonlocal count
        count += 1
        run_number = count
        await trio.sleep(delays[run_number % len(delays)])
        return home_fakes.make_answered(b"%d" % run_number)

    world.handle_calls_with(count_up)
    async with world.running():
        echo = await world.get_ticket()
        for number, mid, pause_s in sends:
            home_fakes.send_reservation(
                world, echo, b"%d" % number, 100 + 10 * number + mid
            )
            await trio.sleep(pause_s)
        await trio.sleep(5)
    runs = collections.Counter(d.token for d in world.network.dispatches())
    assert set(runs.values()) <= {1}
    payloads = collections.defaultdict(set)
    for _, reply in world.sender.sent[1:]:
        if reply.code is Code.CHANGED:
            payloads[reply.token].add(reply.payload)
    assert all(len(found) == 1 for found in payloads.values())


@trios.clock_test
async def test_row_outlives_all_retransmissions() -> None:
    world = home_fakes.HomeWorld()
    world.handle_calls_with(home_fakes.answer_done)
    async with world.running():
        echo = await world.get_ticket()
        await trio.sleep(119)
        home_fakes.send_reservation(world, echo, b"a", 50)
        await trio.sleep(93)
        reply = await world.send_request(
            POST, "/reserve", token=b"a", payload=b"lot 7", echo=echo
        )
    assert reply.payload == b"done"
    assert len(world.network.dispatches()) == 1


@trios.clock_test
async def test_expired_ticket_starts_no_request() -> None:
    world = home_fakes.HomeWorld()
    world.handle_calls_with(home_fakes.answer_done)
    async with world.running():
        echo = await world.get_ticket()
        await trio.sleep(121)
        reply = await world.send_request(POST, "/reserve", echo=echo)
        assert reply.code is Code.UNAUTHORIZED
        assert reply.opt.echo != echo
        assert not world.network.calls


@trios.clock_test
async def test_refusal_is_stored_for_late_copies() -> None:
    world = home_fakes.HomeWorld()
    outcomes = [work.Dispatched(work.Outcome.NOT_RUN, retry_after_s=4)] * 2

    async def refuse_first(message: base.Message) -> base.Message:
        return outcomes.pop() if outcomes else home_fakes.make_answered(b"done")

    world.handle_calls_with(refuse_first)
    async with world.running():
        echo = await world.get_ticket()
        first = await world.send_request(POST, "/reserve", echo=echo)
        late = await world.send_request(POST, "/reserve", echo=echo)
    assert first.code is late.code is Code.SERVICE_UNAVAILABLE
    assert first.opt.max_age == 4


@trios.clock_test
async def test_refusal_by_a_full_table_is_final() -> None:
    """Guards against a request that runs after it was refused as not run.

    The request table is full, so the request is refused. Then rows expire,
    and a copy of its datagram arrives that the network delayed.
    """
    world = home_fakes.HomeWorld(most_flows=1, ticket_life_s=300)
    world.handle_calls_with(home_fakes.answer_done)
    async with world.running():
        echo = await world.get_ticket()
        await trio.sleep(250)
        later = await world.get_ticket()
        await world.send_request(POST, "/reserve", token=b"a", echo=echo)
        refused = await world.send_request(
            POST, "/reserve", token=b"b", echo=later
        )
        assert refused.code is Code.SERVICE_UNAVAILABLE
        # The first row is removed after 400 s of uptime.
        await trio.sleep(160)
        copy = await world.send_request(
            POST, "/reserve", token=b"b", echo=later
        )
        assert copy.code is Code.UNAUTHORIZED
        again = await world.send_request(
            POST, "/reserve", token=b"c", echo=refused.opt.echo
        )
        assert again.payload == b"done"
    assert [d.token for d in world.network.dispatches()] == [b"a", b"c"]


@trios.clock_test
async def test_changed_address_causes_no_second_run() -> None:
    """Guards against a second run after a NAT lost its entry for the caller.

    The request ran, but its reply went to the old port. The caller's next
    copy comes from a new port, for which its ticket isn't valid. After a 4.01
    the caller would send the request again with a new ticket.
    """
    world = home_fakes.HomeWorld()
    world.handle_calls_with(home_fakes.answer_done)
    async with world.running():
        echo = await world.get_ticket()
        await world.send_request(POST, "/reserve", token=b"a", echo=echo)
        moved = await world.send_request(
            POST, "/reserve", token=b"a", echo=echo, flow=home_fakes.OTHER_FLOW
        )
        assert moved.code is Code.GATEWAY_TIMEOUT
        assert moved.payload != b"done"
        fresh = await world.send_request(
            POST, "/reserve", token=b"b", echo=echo, flow=home_fakes.OTHER_FLOW
        )
        assert fresh.code is Code.UNAUTHORIZED
