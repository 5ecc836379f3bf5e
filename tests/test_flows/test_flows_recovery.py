"""Tests of the recovery of requests after the failure of their home."""

from __future__ import annotations

import dataclasses

from aiocoap.numbers import codes
from aiocoap.numbers import types
import hypothesis
from hypothesis import strategies
import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.flows import port
from persimmonhinge.membership import member as member_module
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_flows import home_fakes

Code = codes.Code
POST = codes.Code.POST
Outcome = work.Outcome
State = member_module.MemberState
_SUCCESSOR = ids.HostId("entry-4")
_OTHER_DOMAIN_HOST = ids.HostId("entry-9")
_outcomes = strategies.sampled_from([*Outcome, None])


async def _get_ticket_of_ended_home(flow: port.Flow = home_fakes.FLOW) -> bytes:
    """Returns a ticket of a home that has since ended."""
    world = home_fakes.HomeWorld()
    async with world.running():
        return await world.get_ticket(flow)


def _make_keeper(
    host: ids.HostId, outcome: Outcome | None
) -> home_fakes.CallHandler:
    own_ref = home_fakes.make_member(host).ref

    async def keep(message: base.Message) -> base.Message:
        assert isinstance(message, work.Recover)
        if outcome is None:
            raise errors.PeerUnreachableError("cut off", step="call")
        if message.keeper != own_ref:
            return work.Dispatched(Outcome.NOT_KEEPER)
        if outcome is Outcome.ANSWERED:
            return home_fakes.make_answered(b"kept")
        return work.Dispatched(outcome)

    return keep


def _set_keeper_outcomes(world: home_fakes.HomeWorld, outcome: Outcome) -> None:
    for host in home_fakes.KEEPERS:
        world.network.handlers[host] = _make_keeper(host, outcome)


@home_fakes.PROPERTY
@hypothesis.given(first=_outcomes, second=_outcomes)
@trios.clock_test
async def test_successor_combines_the_outcomes_of_all_keepers(
    first: Outcome | None, second: Outcome | None
) -> None:
    """Guards against a "not run" reply for a request that ran.

    The home dies after it dispatched the request. The next home queries both
    keepers of the ticket, and may reply "not run" only if both report it.
    """
    echo = await _get_ticket_of_ended_home()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    for host, outcome in zip(home_fakes.KEEPERS, (first, second), strict=True):
        world.network.handlers[host] = _make_keeper(host, outcome)
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
    if Outcome.ANSWERED in (first, second):
        assert reply.payload == b"kept"
    elif first is second is Outcome.NOT_RUN:
        assert reply.code is Code.SERVICE_UNAVAILABLE
        assert reply.opt.max_age == 0
    else:
        assert reply.code is Code.GATEWAY_TIMEOUT
    assert reply.opt.echo not in (None, echo)
    assert not world.network.dispatches()


@trios.clock_test
async def test_dead_keeper_leaves_the_outcome_unknown() -> None:
    echo = await _get_ticket_of_ended_home()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    _set_keeper_outcomes(world, Outcome.NOT_RUN)
    world.view.remove(home_fakes.KEEPERS[0])
    del world.network.handlers[home_fakes.KEEPERS[0]]
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.code is Code.GATEWAY_TIMEOUT


@trios.clock_test
async def test_keeper_that_left_is_answered_for_by_its_successor() -> None:
    """Guards against an "unknown" reply after a planned stop of a keeper.

    The home dies after the keeper has handed over its table and left. The
    host that received the table has to answer for that keeper.
    """
    echo = await _get_ticket_of_ended_home()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    left_keeper = home_fakes.make_member(home_fakes.KEEPERS[0]).ref
    world.view.remove(home_fakes.KEEPERS[0])

    async def answer_for_both(message: base.Message) -> base.Message:
        assert isinstance(message, work.Recover)
        if message.keeper == left_keeper:
            return home_fakes.make_answered(b"handed over")
        return work.Dispatched(Outcome.NOT_RUN)

    world.network.handlers[home_fakes.KEEPERS[1]] = answer_for_both
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.payload == b"handed over"


@trios.clock_test
async def test_without_recovery_the_outcome_is_unknown() -> None:
    echo = await _get_ticket_of_ended_home()
    world = home_fakes.HomeWorld(_SUCCESSOR, recovery=False)
    _set_keeper_outcomes(world, Outcome.NOT_RUN)
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.code is Code.GATEWAY_TIMEOUT
    assert not world.network.calls


@trios.clock_test
async def test_request_of_an_alive_home_is_left_to_that_home() -> None:
    """Guards against an "unknown" reply shortly before the real answer.

    A copy of the request reaches a host whose link to the home is down
    temporarily, while the home still runs the request.
    """
    echo = await _get_ticket_of_ended_home()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    _set_keeper_outcomes(world, Outcome.NOT_RUN)
    world.view.put(home_fakes.make_member(home_fakes.ME))
    message = home_fakes.make_request(POST, "/reserve", echo=echo)
    async with world.running():
        world.home.handle(home_fakes.FLOW, message)
        await trio.sleep(5)
        assert not world.sender.sent
        assert not world.network.calls
        # After the home is removed from the view, the next copy is answered.
        world.view.remove(home_fakes.ME)
        reply = await world.send_request(POST, "/reserve", mid=1, echo=echo)
    assert reply.code is Code.SERVICE_UNAVAILABLE


@trios.clock_test
async def test_resumed_home_recovers_requests_that_it_did_not_start() -> None:
    """Guards against a second run of a request at a home that was paused.

    The paused home was declared dead. Its successor had the keepers fence a
    request and replied "not run". The home then resumes, refutes its death
    with a new incarnation, and receives a copy of that request.
    """
    world = home_fakes.HomeWorld()
    fenced: list[bytes] = []

    async def keep(message: base.Message) -> base.Message:
        if isinstance(message, work.Recover):
            fenced.append(message.token)
            return work.Dispatched(Outcome.NOT_RUN)
        return home_fakes.make_answered(b"done")

    world.handle_calls_with(keep)
    async with world.running():
        echo = await world.get_ticket()
        await world.send_request(POST, "/reserve", token=b"a", echo=echo)
        world.view.put(home_fakes.make_member(home_fakes.ME, 2))
        stored_reply = await world.send_request(
            POST, "/reserve", token=b"a", echo=echo
        )
        assert stored_reply.payload == b"done"
        other = await world.send_request(
            POST, "/reserve", token=b"b", echo=echo
        )
        assert other.code is Code.SERVICE_UNAVAILABLE
        assert set(fenced) == {b"b"}
        assert len(world.network.dispatches()) == 1


@trios.clock_test
async def test_ticket_under_an_unknown_key_is_not_answered_with_4_01() -> None:
    """Guards against a second run while a host lacks a ticket key.

    Another home minted the ticket under a key that this host, after a long
    partition, has not received, and ran the request. A 4.01 reply would make
    the caller send the request again.
    """
    echo = await _get_ticket_of_ended_home()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    world.keys.offer(home_fakes.make_key_record(5, key_9="current"))
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.code is Code.GATEWAY_TIMEOUT


@trios.clock_test
async def test_keeper_that_becomes_reachable_is_queried_again() -> None:
    """Guards against an "unknown" reply for a request that runs elsewhere.

    A copy of the request reaches a host that a network partition separates
    from the home and the keepers. This host does not acknowledge the copy, so
    that the caller repeats it and may reach the other side. The partition
    ends before the deadline, and the keepers are queried again.
    """
    echo = await _get_ticket_of_ended_home()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    for host in home_fakes.KEEPERS:
        world.network.handlers[host] = _make_keeper(host, None)
    message = home_fakes.make_request(
        POST, "/reserve", echo=echo, mtype=types.CON
    )
    async with world.running():
        world.home.handle(home_fakes.FLOW, message)
        await trio.sleep(3)
        assert not world.sender.sent
        _set_keeper_outcomes(world, Outcome.ANSWERED)
        await trio.sleep(2)
        ((_, reply),) = world.sender.sent
    assert reply.payload == b"kept"


@trios.clock_test
async def test_queries_of_unreachable_keepers_end_at_the_deadline() -> None:
    echo = await _get_ticket_of_ended_home()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    for host in home_fakes.KEEPERS:
        world.network.handlers[host] = _make_keeper(host, None)
    started_at = trio.current_time()
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.code is Code.GATEWAY_TIMEOUT
    assert trio.current_time() - started_at < 30


def _mark_keepers_dead(world: home_fakes.HomeWorld, domain: str) -> None:
    for host in home_fakes.KEEPERS:
        member = home_fakes.make_member(host)
        dead = dataclasses.replace(
            member,
            domain=ids.DomainId(domain),
            state=member_module.MemberState.DEAD,
        )
        world.view.put(dead)
        world.network.handlers[host] = _make_keeper(host, None)


@trios.clock_test
async def test_dead_keepers_are_not_waited_for() -> None:
    """Guards against a ten-second wait for an "unknown" reply.

    The home and the keepers die while other hosts of their domain are alive,
    and a copy of the request reaches one of these. As only the dead keepers
    had the outcome, querying them until the deadline, as is done in a network
    partition, would delay the reply for nothing.
    """
    echo = await _get_ticket_of_ended_home()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    _mark_keepers_dead(world, "north")
    started_at = trio.current_time()
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
        assert reply.code is Code.GATEWAY_TIMEOUT
        assert trio.current_time() - started_at < 2


@trios.clock_test
async def test_unreachable_domain_is_queried_until_the_deadline() -> None:
    """Guards against an early "unknown" reply for a partitioned domain.

    A domain whose hosts all count as dead may only be unreachable, and its
    keepers may still run the request.
    """
    echo = await _get_ticket_of_ended_home()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    _mark_keepers_dead(world, "south")
    message = home_fakes.make_request(
        POST, "/reserve", echo=echo, mtype=types.CON
    )
    async with world.running():
        world.home.handle(home_fakes.FLOW, message)
        await trio.sleep(5)
        assert not world.sender.sent
        await trio.sleep(20)
        ((_, reply),) = world.sender.sent
    assert reply.code is Code.GATEWAY_TIMEOUT


def _set_all_states(
    world: home_fakes.HomeWorld,
    state: member_module.MemberState,
    outcome: Outcome | None,
) -> None:
    """Sets the state of all other hosts, and the outcome that they report.

    Args:
        world: Home whose view and network are changed.
        state: Membership state of the hosts.
        outcome: Outcome that they report; None if they are unreachable.
    """
    if outcome is not None:
        world.view.isolation.record_datagram(trio.current_time())
    other_host = dataclasses.replace(
        home_fakes.make_member(_OTHER_DOMAIN_HOST), domain=ids.DomainId("south")
    )
    keepers = [home_fakes.make_member(host) for host in home_fakes.KEEPERS]
    for member in (other_host, *keepers):
        world.view.put(dataclasses.replace(member, state=state))
        world.network.handlers[member.host] = _make_keeper(member.host, outcome)


def _make_connected_world() -> home_fakes.HomeWorld:
    """Returns a home that has just received a datagram of another host."""
    world = home_fakes.HomeWorld()
    world.view.isolation.max_silence_s = 0.9
    world.view.isolation.record_datagram(trio.current_time())
    return world


async def _post_reservation(
    world: home_fakes.HomeWorld, keep: home_fakes.CallHandler
) -> int:
    """Sends a reservation to the home.

    Args:
        world: Home that receives the reservation.
        keep: Function by which its keepers answer calls.

    Returns:
        Number of messages that were sent to callers before the reservation.
    """
    echo = await world.get_ticket()
    world.handle_calls_with(keep)
    sent_before = len(world.sender.sent)
    message = home_fakes.make_request(
        POST, "/reserve", echo=echo, mtype=types.CON
    )
    world.home.handle(home_fakes.FLOW, message)
    return sent_before


def _add_other_domain_host(world: home_fakes.HomeWorld) -> None:
    """Adds an alive host of another failure domain to the view."""
    other_host = home_fakes.make_member(_OTHER_DOMAIN_HOST)
    world.view.put(
        dataclasses.replace(other_host, domain=ids.DomainId("south"))
    )


@trios.clock_test
async def test_isolated_home_waits_for_the_keeper() -> None:
    """Guards against an "unknown" reply from an isolated home.

    The home is cut off from all other hosts for a few seconds. The keeper has
    the answer and is reachable again before the deadline.
    """
    world = _make_connected_world()

    async def lose_link(message: base.Message) -> base.Message:
        _set_all_states(world, State.SUSPECT, None)
        raise errors.PeerLinkLostError("cut", step="call")

    async with world.running():
        sent_before = await _post_reservation(world, lose_link)
        await trio.sleep(2)
        _set_all_states(world, State.DEAD, None)
        await trio.sleep(3)
        assert _list_replies(world, sent_before) == []
        _set_all_states(world, State.ALIVE, Outcome.ANSWERED)
        await trio.sleep(2)
        (reply,) = _list_replies(world, sent_before)
    assert reply.payload == b"kept"


def _list_replies(
    world: home_fakes.HomeWorld, sent_before: int
) -> list[codec.Message]:
    """Returns the messages sent to callers, without empty ones.

    Args:
        world: Home that sent the messages.
        sent_before: Number of messages to leave out at the start.
    """
    sent = [message for _, message in world.sender.sent[sent_before:]]
    return [message for message in sent if message.code is not Code.EMPTY]


@trios.clock_test
async def test_home_waits_for_the_keeper_just_after_a_partition() -> None:
    """Guards against an "unknown" reply just after a partition has ended.

    The home receives datagrams of another domain again, while it still has
    the keeper as dead.
    """
    world = _make_connected_world()

    async def lose_link(message: base.Message) -> base.Message:
        await trio.sleep(1.2)
        _set_all_states(world, State.DEAD, None)
        raise errors.PeerLinkLostError("cut", step="call")

    async with world.running():
        sent_before = await _post_reservation(world, lose_link)
        await trio.sleep(2)
        # A datagram of another domain is received first.
        world.view.isolation.record_datagram(trio.current_time())
        _add_other_domain_host(world)
        await trio.sleep(1)
        assert _list_replies(world, sent_before) == []
        _set_all_states(world, State.ALIVE, Outcome.ANSWERED)
        await trio.sleep(1)
        (reply,) = _list_replies(world, sent_before)
    assert reply.payload == b"kept"


@trios.clock_test
async def test_home_waits_for_a_keeper_that_is_declared_dead_first() -> None:
    """Guards against an "unknown" reply at the start of a partition.

    Hosts are declared dead one after the other: the keeper counts as dead
    while other unreachable hosts still count as alive.
    """
    world = _make_connected_world()

    async def lose_link(message: base.Message) -> base.Message:
        await trio.sleep(1.2)
        _set_all_states(world, State.DEAD, None)
        _add_other_domain_host(world)
        raise errors.PeerLinkLostError("cut", step="call")

    async with world.running():
        sent_before = await _post_reservation(world, lose_link)
        await trio.sleep(4)
        assert _list_replies(world, sent_before) == []
        _set_all_states(world, State.ALIVE, Outcome.ANSWERED)
        await trio.sleep(1)
        (reply,) = _list_replies(world, sent_before)
    assert reply.payload == b"kept"


@trios.clock_test
async def test_home_does_not_wait_for_a_keeper_that_died() -> None:
    """Guards against a ten-second wait for an "unknown" reply.

    The keeper dies during the call, while other hosts of its domain are
    alive. The home must not query the dead keeper until the deadline.
    """
    world = home_fakes.HomeWorld()
    async with world.running():
        echo = await world.get_ticket()

        async def die(message: base.Message) -> base.Message:
            _mark_keepers_dead(world, "north")
            raise errors.PeerLinkLostError("killed", step="call")

        world.handle_calls_with(die)
        started_at = trio.current_time()
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.code is Code.GATEWAY_TIMEOUT
    assert trio.current_time() - started_at < 2


async def _hang(message: base.Message) -> base.Message:
    await trio.sleep_forever()
    raise AssertionError


@trios.clock_test
async def test_answer_of_one_keeper_is_not_held_back_by_another() -> None:
    """Guards against an answer that is delayed by an unresponsive keeper.

    One keeper of the ticket has the answer; the other one, which did not run
    the request, does not respond to the query.
    """
    echo = await _get_ticket_of_ended_home()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    answering, silent = home_fakes.KEEPERS
    world.network.handlers[answering] = _make_keeper(
        answering, Outcome.ANSWERED
    )
    world.network.handlers[silent] = _hang
    started_at = trio.current_time()
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
        assert reply.payload == b"kept"
        assert trio.current_time() - started_at < 1


@trios.clock_test
async def test_answer_of_a_successor_is_not_held_back_by_another() -> None:
    """Guards against an answer that is delayed by an unresponsive successor.

    One successor of the keeper that left has the answer; another one does not
    respond to the query.
    """
    echo = await _get_ticket_of_ended_home()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    left_host, answering = home_fakes.KEEPERS
    world.view.remove(left_host)
    world.view.put(home_fakes.make_member(_OTHER_DOMAIN_HOST))

    async def answer_for_both(message: base.Message) -> base.Message:
        return home_fakes.make_answered(b"handed over")

    world.network.handlers[answering] = answer_for_both
    world.network.handlers[_OTHER_DOMAIN_HOST] = _hang
    world.network.handlers[_SUCCESSOR] = _hang
    started_at = trio.current_time()
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
        assert reply.payload == b"handed over"
        assert trio.current_time() - started_at < 1
