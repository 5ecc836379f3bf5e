"""Tests of recovery queries and of the handover between keepers."""

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
    """Acknowledges a request without answering it."""
    fake_upstream.send_empty(socket, aiocoap.ACK, request.mid)


def offer_contract(env: scene.Scene) -> None:
    """Adds the contract of the tests to a keeper."""
    env.store.offer(
        scene.make_record(
            scene.make_contract({"u1": 9}, limits={"upstream_timeout_s": 10}),
            1,
        )
    )


@trios.clock_test
async def test_recovery_returns_the_stored_answer() -> None:
    upstream = fake_upstream.FakeUpstream()
    async with scene.open_scene(open_socket=upstream.open) as env:
        offer_contract(env)
        dispatch = scene.make_dispatch()
        original = await env.call_keeper(dispatch)
        for digest in (dispatch.digest, b""):
            query = scene.make_recover(dispatch, digest=digest)
            found = await env.call_keeper(query)
            assert (found.outcome, found.answer) == (
                original.outcome,
                original.answer,
            )


@trios.clock_test
async def test_recovery_waits_for_a_running_request() -> None:
    upstream = fake_upstream.FakeUpstream(acknowledge)
    async with scene.open_scene(open_socket=upstream.open) as env:
        offer_contract(env)
        dispatch = scene.make_dispatch()
        async with env.network.open_call(dispatch) as caller:
            await trio.sleep(0.1)
            caller.link_lost = True
        found: list[work.Dispatched] = []

        async def recover() -> None:
            found.append(await env.call_keeper(scene.make_recover(dispatch)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(recover)
            await trio.sleep(1)
            [socket] = upstream.sockets
            fake_upstream.send_separate(socket, upstream.received[0])
        assert found[0].outcome is Outcome.ANSWERED


@trios.clock_test
async def test_fenced_request_never_runs() -> None:
    """Guards against a run of a request that was reported as not run.

    A home is paused, and its successor sends a recovery query and reports
    "not run" to the caller, which reserves elsewhere. The paused home then
    resumes and dispatches the request.
    """
    for digest in (None, b""):
        upstream = fake_upstream.FakeUpstream()
        async with scene.open_scene(open_socket=upstream.open) as env:
            offer_contract(env)
            dispatch = scene.make_dispatch()
            query = scene.make_recover(dispatch)
            if digest is not None:
                query = scene.make_recover(dispatch, digest=digest)
            assert (await env.call_keeper(query)).outcome is Outcome.NOT_RUN
            await trio.sleep(1)
            resumed = scene.make_dispatch(
                ticket_expiry_ms=dispatch.ticket_expiry_ms
            )
            assert (await env.call_keeper(resumed)).outcome is Outcome.NOT_RUN
            assert not upstream.received


@trios.clock_test
async def test_recovery_returns_unknown_after_the_ticket_has_expired() -> None:
    """Guards against a wrong "not run" after a row has been removed.

    The recovery query arrives after the ticket has expired. The row of the
    request has been removed, so the keeper can't tell whether it ran.
    """
    upstream = fake_upstream.FakeUpstream()
    async with scene.open_scene(open_socket=upstream.open) as env:
        offer_contract(env)
        dispatch = scene.make_dispatch()
        await env.call_keeper(dispatch)
        await trio.sleep(125)
        found = await env.call_keeper(scene.make_recover(dispatch))
        assert found.outcome is Outcome.UNKNOWN
        again = await env.call_keeper(dispatch)
        assert again.outcome is Outcome.UNKNOWN
        assert len(upstream.requests()) == 1


@trios.clock_test
async def test_copy_of_a_refused_dispatch_does_not_run_later() -> None:
    """Guards against a late copy of a dispatch that was refused.

    A home dispatches a reservation on a link that fails, and then again on
    a new link. The second copy is refused and the caller receives "not run".
    The first copy is read from the failed link when the upstream has free
    slots again, and must not run.
    """
    upstream = fake_upstream.FakeUpstream(acknowledge)
    async with scene.open_scene(open_socket=upstream.open) as env:
        env.store.offer(
            scene.make_record(
                scene.make_contract({"u1": 9}, limits={"queue": 0}), 1
            )
        )
        late = scene.make_dispatch(number=9)
        await trio.sleep(0.1)
        for number in (1, 2):
            env.nursery.start_soon(
                env.call_keeper, scene.make_dispatch(number=number)
            )
        await trio.sleep(0.1)
        second = scene.make_dispatch(number=9)
        assert (await env.call_keeper(second)).outcome is Outcome.NOT_RUN
        for request in tuple(upstream.received):
            fake_upstream.send_separate(upstream.sockets[0], request)
        upstream.handle_request = fake_upstream.reply
        await trio.sleep(1)
        assert env.keeper.list_loads()[0].busy == 0
        assert (await env.call_keeper(late)).outcome is Outcome.NOT_RUN
        await trio.sleep(5)
        assert (await env.call_keeper(late)).outcome is Outcome.NOT_RUN
        assert len(upstream.requests()) == 2
        retry = scene.make_dispatch(number=9)
        assert (await env.call_keeper(retry)).outcome is Outcome.ANSWERED


@trios.clock_test
async def test_other_incarnation_does_not_answer_for_a_keeper() -> None:
    """Guards against a wrong "not run" from a restarted keeper.

    A keeper restarts under the same name with an empty table. It has no
    rows of the requests that its former incarnation ran.
    """
    async with scene.open_scene() as env:
        query = scene.make_recover(scene.make_dispatch(), keeper=ids.HostRef(5))
        assert (await env.call_keeper(query)).outcome is Outcome.NOT_KEEPER
        me = env.view.self_member.ref
        own = scene.make_recover(scene.make_dispatch(), keeper=me)
        assert (await env.call_keeper(own)).outcome is Outcome.NOT_RUN


@trios.clock_test
async def test_successor_answers_for_a_keeper_that_left() -> None:
    """Guards against lost or early answers for a keeper that has left.

    A keeper leaves as planned, and soon afterwards a home fails. Only the
    rows that the keeper handed over show which reservations ran. Before the
    last part has arrived, the successor must not answer.
    """
    upstream = fake_upstream.FakeUpstream()
    parts: list[handover.KeeperHandover] = []
    dispatch = scene.make_dispatch()
    async with scene.open_scene(open_socket=upstream.open) as leaver:
        offer_contract(leaver)
        original = await leaver.call_keeper(dispatch)
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
    query = scene.make_recover(dispatch, keeper=former)
    async with scene.open_scene("east-2") as successor:
        assert [part.final for part in parts] == [False, True]
        await successor.call_keeper(parts[0])
        before = await successor.call_keeper(query)
        assert before.outcome is Outcome.NOT_KEEPER
        await successor.call_keeper(parts[1])
        found = await successor.call_keeper(query)
        assert (found.outcome, found.answer) == (
            original.outcome,
            original.answer,
        )
        other = scene.make_recover(
            dispatch, keeper=former, digest=b"other request"
        )
        assert (await successor.call_keeper(other)).outcome is Outcome.NOT_RUN


@trios.clock_test
async def test_new_incarnation_never_reports_not_run_for_the_former() -> None:
    """Guards against "not run" after the caller has received "unknown".

    A buyer received "unknown" while the keeper was paused. The keeper
    resumes as a new incarnation and is queried about the former one.
    """
    async with scene.open_scene() as env:
        offer_contract(env)
        former = env.view.self_member
        present = dataclasses.replace(
            former, incarnation=ids.Incarnation(former.incarnation + 1)
        )
        env.view.put(present)
        env.keeper.record_incarnation(former, present)
        dispatch = scene.make_dispatch()
        query = scene.make_recover(dispatch, keeper=former.ref)
        assert (await env.call_keeper(query)).outcome is Outcome.UNKNOWN
        # The request is fenced although the outcome is unknown.
        assert (await env.call_keeper(dispatch)).outcome is Outcome.NOT_RUN


def _break_link_for(seconds: float) -> Callable[[base.Message], base.Message]:
    """Returns a reply function whose first calls fail.

    Args:
        seconds: Time during which the calls fail.
    """
    restored_at = trio.current_time() + seconds

    def reply(part: base.Message) -> base.Message:
        if trio.current_time() < restored_at:
            raise errors.PeerUnreachableError("link is down", step="call")
        return handover.HandoverTaken()

    return reply


async def _leave_with_successor(
    leaver: scene.Scene, successor: member.Member
) -> list[bool]:
    """Has a keeper leave with one successor.

    Returns:
        The `final` flag of each part that the keeper sent.
    """
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
async def test_handover_survives_a_brief_link_failure() -> None:
    """Guards against rows lost when a link fails briefly during a handover.

    After a planned change of hosts, a buyer would receive "unknown" for a
    reservation that ran.
    """
    upstream = fake_upstream.FakeUpstream()
    async with scene.open_scene(open_socket=upstream.open) as leaver:
        offer_contract(leaver)
        await leaver.call_keeper(scene.make_dispatch())
        replies = leaver.network.replies
        replies[handover.KeeperHandover] = _break_link_for(1.0)
        final_flags = await _leave_with_successor(
            leaver, scene.make_member("east-2")
        )
    assert final_flags[-1]


@trios.clock_test
async def test_handover_does_not_wait_for_a_dead_successor() -> None:
    """Guards against a planned stop that waits for a failed host."""
    upstream = fake_upstream.FakeUpstream()
    async with scene.open_scene(open_socket=upstream.open) as leaver:
        offer_contract(leaver)
        await leaver.call_keeper(scene.make_dispatch())
        leaver.nursery.start_soon(_mark_dead_after, leaver, 0.5)
        started_at = trio.current_time()
        await _leave_with_successor(leaver, scene.make_member("east-2"))
        assert trio.current_time() - started_at < 1


async def _mark_dead_after(leaver: scene.Scene, seconds: float) -> None:
    await trio.sleep(seconds)
    leaver.view.put(scene.make_member("east-2", state=member.MemberState.DEAD))


@trios.clock_test
async def test_requests_of_a_former_keeper_count_against_the_slots() -> None:
    """Guards against an overloaded upstream after a change of its keeper.

    The role of keeper moves while requests of the former keeper still run.
    If the new keeper started to count at zero, it would send more requests
    than the upstream has slots, and the upstream would shed them.
    """
    upstream = fake_upstream.FakeUpstream()
    async with scene.open_scene(open_socket=upstream.open) as env:
        offer_contract(env)
        key = ids.UpstreamId("floor-trading/u1")

        def make_part(busy: int) -> handover.KeeperHandover:
            return handover.KeeperHandover(
                ids.HostRef(5), (key,), (), (busy,), False
            )

        await env.call_keeper(make_part(2))
        env.nursery.start_soon(env.call_keeper, scene.make_dispatch())
        await trio.sleep(1)
        assert not upstream.received
        await env.call_keeper(make_part(1))
        await trio.sleep(0.1)
        assert len(upstream.requests()) == 1


@trios.clock_test
async def test_leaving_keeper_waits_for_running_requests() -> None:
    upstream = fake_upstream.FakeUpstream(acknowledge)
    async with scene.open_scene(open_socket=upstream.open) as env:
        offer_contract(env)
        results: list[work.Dispatched] = []

        async def dispatch_request() -> None:
            results.append(await env.call_keeper(scene.make_dispatch()))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(dispatch_request)
            await trio.sleep(0.1)
            env.view.put(
                scene.make_member("east-1", state=member.MemberState.LEAVING)
            )
            nursery.start_soon(env.keeper.leave)
            await trio.sleep(2)
            late = await env.call_keeper(scene.make_dispatch(number=2))
            assert late.outcome is Outcome.NOT_KEEPER
            fake_upstream.send_separate(
                upstream.sockets[0], upstream.received[0]
            )
        assert results[0].outcome is Outcome.ANSWERED


@trios.clock_test
async def test_new_incarnation_answers_for_the_former_one() -> None:
    """Guards against lost outcomes after a keeper changes its incarnation.

    A keeper was paused and resumes as a new incarnation of the same process.
    A buyer would receive "unknown" for a reservation that ran.
    """
    upstream = fake_upstream.FakeUpstream()
    async with scene.open_scene(open_socket=upstream.open) as env:
        offer_contract(env)
        dispatch = scene.make_dispatch()
        original = await env.call_keeper(dispatch)
        former = env.view.self_member
        present = dataclasses.replace(
            former, incarnation=ids.Incarnation(former.incarnation + 1)
        )
        env.view.put(present)
        env.keeper.record_incarnation(former, present)
        query = scene.make_recover(dispatch, keeper=former.ref)
        found = await env.call_keeper(query)
        assert (found.outcome, found.answer) == (
            original.outcome,
            original.answer,
        )
