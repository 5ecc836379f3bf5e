"""Tests of recovery: what a keeper says of a dead home's requests."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import aiocoap
import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import member
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import handover
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_upstreams import fake_upstream
from tests.test_upstreams import scene

Outcome = work.Outcome


def acknowledge(
    socket: fake_upstream.FakeSocket, request: aiocoap.Message
) -> None:
    """Acknowledges a request and leaves it running."""
    fake_upstream.send_empty(socket, aiocoap.ACK, request.mid)


def offer_contract(here: scene.Scene) -> None:
    """Gives a keeper its contract."""
    here.store.offer(
        scene.make_record(
            scene.make_contract({"u1": 9}, limits={"upstream_timeout_s": 10}),
            1,
        )
    )


@trios.clock_test
async def test_recovery_returns_the_kept_answer() -> None:
    upstream = fake_upstream.FakeUpstream()
    async with scene.open_scene(open_socket=upstream.open) as here:
        offer_contract(here)
        dispatch = scene.make_dispatch()
        ran = await here.call_keeper(dispatch)
        for digest in (dispatch.digest, b""):
            question = scene.make_recover(dispatch, digest=digest)
            found = await here.call_keeper(question)
            assert (found.outcome, found.answer) == (ran.outcome, ran.answer)


@trios.clock_test
async def test_recovery_waits_for_what_still_runs() -> None:
    upstream = fake_upstream.FakeUpstream(acknowledge)
    async with scene.open_scene(open_socket=upstream.open) as here:
        offer_contract(here)
        dispatch = scene.make_dispatch()
        async with here.network.open_call(dispatch) as caller:
            await trio.sleep(0.1)
            caller.link_lost = True
        found: list[work.Dispatched] = []

        async def recover() -> None:
            found.append(await here.call_keeper(scene.make_recover(dispatch)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(recover)
            await trio.sleep(1)
            [socket] = upstream.sockets
            fake_upstream.send_separate(socket, upstream.received[0])
        assert found[0].outcome is Outcome.ANSWERED


@trios.clock_test
async def test_fenced_request_never_runs() -> None:
    """A home is paused, its successor asks, and the paused home wakes.

    The successor has told the caller "not run" and the caller has reserved
    elsewhere. What the woken home then dispatches must not run.
    """
    for digest in (None, b""):
        upstream = fake_upstream.FakeUpstream()
        async with scene.open_scene(open_socket=upstream.open) as here:
            offer_contract(here)
            dispatch = scene.make_dispatch()
            question = scene.make_recover(dispatch)
            if digest is not None:
                question = scene.make_recover(dispatch, digest=digest)
            assert (await here.call_keeper(question)).outcome is Outcome.NOT_RUN
            await trio.sleep(1)
            woken = scene.make_dispatch(
                ticket_expiry_ms=dispatch.ticket_expiry_ms
            )
            assert (await here.call_keeper(woken)).outcome is Outcome.NOT_RUN
            assert not upstream.received


@trios.clock_test
async def test_recovery_says_unknown_once_the_ticket_has_expired() -> None:
    """A question comes so late that the keeper has forgotten the request.

    An empty place in the table then says nothing: "not run" could be wrong.
    """
    upstream = fake_upstream.FakeUpstream()
    async with scene.open_scene(open_socket=upstream.open) as here:
        offer_contract(here)
        dispatch = scene.make_dispatch()
        await here.call_keeper(dispatch)
        await trio.sleep(125)
        found = await here.call_keeper(scene.make_recover(dispatch))
        assert found.outcome is Outcome.UNKNOWN
        again = await here.call_keeper(dispatch)
        assert again.outcome is Outcome.UNKNOWN
        assert len(upstream.requests()) == 1


@trios.clock_test
async def test_copy_of_a_refused_dispatch_does_not_run_later() -> None:
    """A home hands a reservation in on a link that breaks, and once more.

    The second copy is refused and the caller told "not run". Then the first
    one is read from the broken link, when the upstream has room again.
    """
    upstream = fake_upstream.FakeUpstream(acknowledge)
    async with scene.open_scene(open_socket=upstream.open) as here:
        here.store.offer(
            scene.make_record(
                scene.make_contract({"u1": 9}, limits={"queue": 0}), 1
            )
        )
        late = scene.make_dispatch(number=9)
        await trio.sleep(0.1)
        for number in (1, 2):
            here.nursery.start_soon(
                here.call_keeper, scene.make_dispatch(number=number)
            )
        await trio.sleep(0.1)
        second = scene.make_dispatch(number=9)
        assert (await here.call_keeper(second)).outcome is Outcome.NOT_RUN
        for request in tuple(upstream.received):
            fake_upstream.send_separate(upstream.sockets[0], request)
        upstream.answer = fake_upstream.reply
        await trio.sleep(1)
        assert here.keeper.list_loads()[0].busy == 0
        assert (await here.call_keeper(late)).outcome is Outcome.NOT_RUN
        await trio.sleep(5)
        assert (await here.call_keeper(late)).outcome is Outcome.NOT_RUN
        assert len(upstream.requests()) == 2
        retry = scene.make_dispatch(number=9)
        assert (await here.call_keeper(retry)).outcome is Outcome.ANSWERED


@trios.clock_test
async def test_other_incarnation_does_not_answer_for_a_keeper() -> None:
    """A keeper restarts under its name with an empty table.

    It has no row for what its former incarnation ran, and must not call
    that not run.
    """
    async with scene.open_scene() as here:
        question = scene.make_recover(
            scene.make_dispatch(), keeper=ids.HostRef(5)
        )
        assert (await here.call_keeper(question)).outcome is Outcome.NOT_KEEPER
        me = here.view.self_member.ref
        own = scene.make_recover(scene.make_dispatch(), keeper=me)
        assert (await here.call_keeper(own)).outcome is Outcome.NOT_RUN


@trios.clock_test
async def test_successor_answers_for_a_keeper_that_left() -> None:
    """A keeper leaves as planned, and soon after a home dies.

    The reservations that ran at the former keeper are known only from what
    it handed over. Before the last part has come nobody can answer.
    """
    upstream = fake_upstream.FakeUpstream()
    parts: list[handover.KeeperHandover] = []
    dispatch = scene.make_dispatch()
    async with scene.open_scene(open_socket=upstream.open) as leaver:
        offer_contract(leaver)
        ran = await leaver.call_keeper(dispatch)
        former = leaver.view.self_member.ref
        leaver.view.put(scene.make_member("east-2"))
        leaver.view.put(
            scene.make_member("east-1", state=member.MemberState.LEAVING)
        )
        leaver.network.replies[handover.KeeperHandover] = (
            handover.HandoverTaken()
        )
        await leaver.keeper.leave()
        for host, part in leaver.network.sent:
            assert host == "east-2"
            assert isinstance(part, handover.KeeperHandover)
            parts.append(part)
    question = scene.make_recover(dispatch, keeper=former)
    async with scene.open_scene("east-2") as successor:
        assert [part.final for part in parts] == [False, True]
        await successor.call_keeper(parts[0])
        before = await successor.call_keeper(question)
        assert before.outcome is Outcome.NOT_KEEPER
        await successor.call_keeper(parts[1])
        found = await successor.call_keeper(question)
        assert (found.outcome, found.answer) == (ran.outcome, ran.answer)
        other = scene.make_recover(
            dispatch, keeper=former, digest=b"other request"
        )
        assert (await successor.call_keeper(other)).outcome is Outcome.NOT_RUN


@trios.clock_test
async def test_new_incarnation_declares_nothing_not_run_for_the_former() -> (
    None
):
    """A buyer hears "not run" of a lot after "unknown", as its keeper wakes."""
    async with scene.open_scene() as here:
        offer_contract(here)
        former = here.view.self_member
        present = dataclasses.replace(
            former, incarnation=ids.Incarnation(former.incarnation + 1)
        )
        here.view.put(present)
        here.keeper.record_incarnation(former, present)
        dispatch = scene.make_dispatch()
        question = scene.make_recover(dispatch, keeper=former.ref)
        assert (await here.call_keeper(question)).outcome is Outcome.UNKNOWN
        # It is fenced all the same.
        assert (await here.call_keeper(dispatch)).outcome is Outcome.NOT_RUN


def _break_link_for(seconds: float) -> Callable[[base.Message], base.Message]:
    """Returns replies of a successor whose link is down for a while."""
    heals_at = trio.current_time() + seconds

    def reply(part: base.Message) -> base.Message:
        if trio.current_time() < heals_at:
            raise errors.PeerUnreachableError("broken", step="call")
        return handover.HandoverTaken()

    return reply


async def _leave_with_successor(
    leaver: scene.Scene, successor: member.Member
) -> list[bool]:
    """Has a keeper leave; returns which parts its successor got."""
    leaver.view.put(successor)
    leaver.view.put(
        scene.make_member("east-1", state=member.MemberState.LEAVING)
    )
    await leaver.keeper.leave()
    parts = [part for _, part in leaver.network.sent]
    return [
        part.final
        for part in parts
        if isinstance(part, handover.KeeperHandover)
    ]


@trios.clock_test
async def test_hand_over_outlasts_a_link_that_breaks_for_a_moment() -> None:
    """A buyer hears "unknown" of a lot after a planned change of hosts."""
    upstream = fake_upstream.FakeUpstream()
    async with scene.open_scene(open_socket=upstream.open) as leaver:
        offer_contract(leaver)
        await leaver.call_keeper(scene.make_dispatch())
        replies = leaver.network.replies
        replies[handover.KeeperHandover] = _break_link_for(1.0)
        parts = await _leave_with_successor(leaver, scene.make_member("east-2"))
    assert parts[-1]


@trios.clock_test
async def test_hand_over_does_not_wait_for_a_dead_successor() -> None:
    """A planned stop waits for a host that is gone."""
    upstream = fake_upstream.FakeUpstream()
    async with scene.open_scene(open_socket=upstream.open) as leaver:
        offer_contract(leaver)
        await leaver.call_keeper(scene.make_dispatch())
        leaver.nursery.start_soon(_mark_dead_after, leaver, 0.5)
        began = trio.current_time()
        await _leave_with_successor(leaver, scene.make_member("east-2"))
        assert trio.current_time() - began < 1


async def _mark_dead_after(leaver: scene.Scene, seconds: float) -> None:
    await trio.sleep(seconds)
    leaver.view.put(scene.make_member("east-2", state=member.MemberState.DEAD))


@trios.clock_test
async def test_requests_of_a_former_keeper_count_against_the_slots() -> None:
    """The role moves while the former keeper's requests still run.

    If the new one counted from zero, the upstream would have to shed.
    """
    upstream = fake_upstream.FakeUpstream()
    async with scene.open_scene(open_socket=upstream.open) as here:
        offer_contract(here)
        key = ids.UpstreamId("floor-trading/u1")

        def make_part(busy: int) -> handover.KeeperHandover:
            return handover.KeeperHandover(
                ids.HostRef(5), (key,), (), (busy,), False
            )

        await here.call_keeper(make_part(2))
        here.nursery.start_soon(here.call_keeper, scene.make_dispatch())
        await trio.sleep(1)
        assert not upstream.received
        await here.call_keeper(make_part(1))
        await trio.sleep(0.1)
        assert len(upstream.requests()) == 1


@trios.clock_test
async def test_leaving_keeper_waits_for_what_runs() -> None:
    upstream = fake_upstream.FakeUpstream(acknowledge)
    async with scene.open_scene(open_socket=upstream.open) as here:
        offer_contract(here)
        results: list[work.Dispatched] = []

        async def ask() -> None:
            results.append(await here.call_keeper(scene.make_dispatch()))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.1)
            here.view.put(
                scene.make_member("east-1", state=member.MemberState.LEAVING)
            )
            nursery.start_soon(here.keeper.leave)
            await trio.sleep(2)
            late = await here.call_keeper(scene.make_dispatch(number=2))
            assert late.outcome is Outcome.NOT_KEEPER
            fake_upstream.send_separate(
                upstream.sockets[0], upstream.received[0]
            )
        assert results[0].outcome is Outcome.ANSWERED


@trios.clock_test
async def test_new_incarnation_answers_for_the_former_one() -> None:
    """A buyer hears "unknown" of a lot because its keeper was paused."""
    upstream = fake_upstream.FakeUpstream()
    async with scene.open_scene(open_socket=upstream.open) as here:
        offer_contract(here)
        dispatch = scene.make_dispatch()
        ran = await here.call_keeper(dispatch)
        former = here.view.self_member
        present = dataclasses.replace(
            former, incarnation=ids.Incarnation(former.incarnation + 1)
        )
        here.view.put(present)
        here.keeper.record_incarnation(former, present)
        question = scene.make_recover(dispatch, keeper=former.ref)
        found = await here.call_keeper(question)
        assert (found.outcome, found.answer) == (ran.outcome, ran.answer)
