"""Tests of requests whose home died, and of hosts that wake."""

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
from persimmonhinge.membership import member as members
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_flows import home_fakes

Code = codes.Code
POST = codes.Code.POST
Outcome = work.Outcome
State = members.MemberState
_SUCCESSOR = ids.HostId("entry-4")
_FAR = ids.HostId("entry-9")
_outcomes = strategies.sampled_from([*Outcome, None])


async def _get_ticket(flow: port.Flow = home_fakes.FLOW) -> bytes:
    """Returns a ticket of a home that is then no more."""
    world = home_fakes.HomeWorld()
    async with world.running():
        return await world.get_ticket(flow)


def _make_keeper(
    host: ids.HostId, outcome: Outcome | None
) -> home_fakes.CallHandler:
    me = home_fakes.make_member(host).ref

    async def keep(message: base.Message) -> base.Message:
        assert isinstance(message, work.Recover)
        if outcome is None:
            raise errors.PeerUnreachableError("cut off", step="call")
        if message.keeper != me:
            return work.Dispatched(Outcome.NOT_KEEPER)
        if outcome is Outcome.ANSWERED:
            return home_fakes.make_answered(b"kept")
        return work.Dispatched(outcome)

    return keep


def _keep_all(world: home_fakes.HomeWorld, outcome: Outcome) -> None:
    for host in home_fakes.KEEPERS:
        world.network.handlers[host] = _make_keeper(host, outcome)


@home_fakes.PROPERTY
@hypothesis.given(first=_outcomes, second=_outcomes)
@trios.clock_test
async def test_successor_tells_what_the_keepers_know_together(
    first: Outcome | None, second: Outcome | None
) -> None:
    """A buyer hears "not run" of a reservation that ran.

    The home dies with the request dispatched. The next home asks both
    keepers of the ticket; "not run" takes the word of both of them.
    """
    echo = await _get_ticket()
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
    echo = await _get_ticket()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    _keep_all(world, Outcome.NOT_RUN)
    world.view.remove(home_fakes.KEEPERS[0])
    del world.network.handlers[home_fakes.KEEPERS[0]]
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.code is Code.GATEWAY_TIMEOUT


@trios.clock_test
async def test_keeper_that_left_is_answered_for_by_its_successor() -> None:
    """A reservation is "unknown" after a planned stop of its keeper.

    The home died after the keeper had handed its table over and left.
    """
    echo = await _get_ticket()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    left = home_fakes.make_member(home_fakes.KEEPERS[0]).ref
    world.view.remove(home_fakes.KEEPERS[0])

    async def answer_for_both(message: base.Message) -> base.Message:
        assert isinstance(message, work.Recover)
        if message.keeper == left:
            return home_fakes.make_answered(b"handed over")
        return work.Dispatched(Outcome.NOT_RUN)

    world.network.handlers[home_fakes.KEEPERS[1]] = answer_for_both
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.payload == b"handed over"


@trios.clock_test
async def test_without_recovery_the_outcome_is_unknown() -> None:
    echo = await _get_ticket()
    world = home_fakes.HomeWorld(_SUCCESSOR, recovery=False)
    _keep_all(world, Outcome.NOT_RUN)
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.code is Code.GATEWAY_TIMEOUT
    assert not world.network.calls


@trios.clock_test
async def test_request_of_a_living_home_is_left_to_it() -> None:
    """A buyer hears "unknown" a moment before the true answer comes.

    A copy of the request meets a host whose link to the home is down for
    the moment, while the home is at work on it.
    """
    echo = await _get_ticket()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    _keep_all(world, Outcome.NOT_RUN)
    world.view.put(home_fakes.make_member(home_fakes.ME))
    message = home_fakes.make_request(POST, "/reserve", echo=echo)
    async with world.running():
        world.home.handle(home_fakes.FLOW, message)
        await trio.sleep(5)
        assert not world.sender.sent
        assert not world.network.calls
        # Once the home is known to be dead, the next copy is answered.
        world.view.remove(home_fakes.ME)
        reply = await world.send_request(POST, "/reserve", mid=1, echo=echo)
    assert reply.code is Code.SERVICE_UNAVAILABLE


@trios.clock_test
async def test_woken_home_knows_what_it_began_and_asks_for_the_rest() -> None:
    """A reservation runs again at a home that was paused.

    The home was taken for dead; its successor had the keepers fence a
    request and told the caller "not run". The home wakes, refutes its
    death with a new incarnation, and a copy of that request arrives.
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
        begun = await world.send_request(
            POST, "/reserve", token=b"a", echo=echo
        )
        assert begun.payload == b"done"
        other = await world.send_request(
            POST, "/reserve", token=b"b", echo=echo
        )
        assert other.code is Code.SERVICE_UNAVAILABLE
        assert set(fenced) == {b"b"}
        assert len(world.network.dispatches()) == 1


@trios.clock_test
async def test_ticket_under_an_unknown_key_is_no_invitation() -> None:
    """A coach is sent twice while a host lags behind in ticket keys.

    Another home minted the ticket under a key that this host, long cut
    off, has not learned, and ran the request. With 4.01 the caller would
    send it again.
    """
    echo = await _get_ticket()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    world.keys.offer(home_fakes.make_key_record(5, key_9="current"))
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.code is Code.GATEWAY_TIMEOUT


@trios.clock_test
async def test_keeper_that_can_be_reached_again_is_asked_again() -> None:
    """A buyer hears "unknown" of a lot which the other side of a cut books.

    A copy comes to a host for which home and keepers are beyond a cut. It
    acknowledges nothing, so that the caller repeats and may find the other
    side. The cut heals before the deadline, and the keepers are asked again.
    """
    echo = await _get_ticket()
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
        _keep_all(world, Outcome.ANSWERED)
        await trio.sleep(2)
        ((_, reply),) = world.sender.sent
    assert reply.payload == b"kept"


@trios.clock_test
async def test_keeper_that_is_never_reached_ends_at_the_deadline() -> None:
    echo = await _get_ticket()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    for host in home_fakes.KEEPERS:
        world.network.handlers[host] = _make_keeper(host, None)
    began = trio.current_time()
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.code is Code.GATEWAY_TIMEOUT
    assert trio.current_time() - began < 30


def _bury(world: home_fakes.HomeWorld, domain: str) -> None:
    for host in home_fakes.KEEPERS:
        member = home_fakes.make_member(host)
        dead = dataclasses.replace(
            member,
            domain=ids.DomainId(domain),
            state=members.MemberState.DEAD,
        )
        world.view.put(dead)
        world.network.handlers[host] = _make_keeper(host, None)


@trios.clock_test
async def test_dead_keepers_are_not_waited_for() -> None:
    """A buyer waits ten seconds to be told that an outcome is unknown.

    Home and keepers die, other hosts of their domain live. A copy comes to
    one of these. Cause: it asked the dead until the deadline, as in a cut,
    although nobody but they could have told.
    """
    echo = await _get_ticket()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    _bury(world, "north")
    began = trio.current_time()
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
        assert reply.code is Code.GATEWAY_TIMEOUT
        assert trio.current_time() - began < 2


@trios.clock_test
async def test_keepers_of_a_dark_domain_are_asked_until_the_deadline() -> None:
    """A domain without a sign of life may be cut off and run the request."""
    echo = await _get_ticket()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    _bury(world, "south")
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


def _show_all(
    world: home_fakes.HomeWorld,
    state: members.MemberState,
    outcome: Outcome | None,
) -> None:
    """Shows all hosts in a state; keepers tell an outcome, None if cut off."""
    if outcome is not None:
        world.view.silence.note_heard(trio.current_time())
    far = dataclasses.replace(
        home_fakes.make_member(_FAR), domain=ids.DomainId("south")
    )
    keepers = [home_fakes.make_member(host) for host in home_fakes.KEEPERS]
    for member in (far, *keepers):
        world.view.put(dataclasses.replace(member, state=state))
        world.network.handlers[member.host] = _make_keeper(member.host, outcome)


def _make_world_that_hears() -> home_fakes.HomeWorld:
    """Returns a home that hears other hosts until now."""
    world = home_fakes.HomeWorld()
    world.view.silence.limit_s = 0.9
    world.view.silence.note_heard(trio.current_time())
    return world


async def _post_over(
    world: home_fakes.HomeWorld, keep: home_fakes.CallHandler
) -> int:
    """Sends a reservation to the home, whose keepers do as told.

    Returns:
        How many messages callers had been sent before.
    """
    echo = await world.get_ticket()
    world.handle_calls_with(keep)
    before = len(world.sender.sent)
    message = home_fakes.make_request(
        POST, "/reserve", echo=echo, mtype=types.CON
    )
    world.home.handle(home_fakes.FLOW, message)
    return before


def _show_far(world: home_fakes.HomeWorld) -> None:
    """Shows a host of another domain as alive."""
    far = home_fakes.make_member(_FAR)
    world.view.put(dataclasses.replace(far, domain=ids.DomainId("south")))


@trios.clock_test
async def test_home_that_is_cut_off_waits_for_the_keeper() -> None:
    """A buyer hears "unknown" of a lot from a home whose cut soon heals."""
    world = _make_world_that_hears()

    async def lose_link(message: base.Message) -> base.Message:
        _show_all(world, State.SUSPECT, None)
        raise errors.PeerLinkLostError("cut", step="call")

    async with world.running():
        before = await _post_over(world, lose_link)
        await trio.sleep(2)
        _show_all(world, State.DEAD, None)
        await trio.sleep(3)
        assert _list_replies(world, before) == []
        _show_all(world, State.ALIVE, Outcome.ANSWERED)
        await trio.sleep(2)
        (reply,) = _list_replies(world, before)
    assert reply.payload == b"kept"


def _list_replies(
    world: home_fakes.HomeWorld, before: int
) -> list[codec.Message]:
    """Returns what was sent since, without empty ACKs."""
    sent = [message for _, message in world.sender.sent[before:]]
    return [message for message in sent if message.code is not Code.EMPTY]


@trios.clock_test
async def test_home_waits_for_the_keeper_until_all_are_back_after_a_cut() -> (
    None
):
    """A buyer hears "unknown" of a lot just as the cut of its home heals."""
    world = _make_world_that_hears()

    async def lose_link(message: base.Message) -> base.Message:
        await trio.sleep(1.2)
        _show_all(world, State.DEAD, None)
        raise errors.PeerLinkLostError("cut", step="call")

    async with world.running():
        before = await _post_over(world, lose_link)
        await trio.sleep(2)
        # Another domain is heard first.
        world.view.silence.note_heard(trio.current_time())
        _show_far(world)
        await trio.sleep(1)
        assert _list_replies(world, before) == []
        _show_all(world, State.ALIVE, Outcome.ANSWERED)
        await trio.sleep(1)
        (reply,) = _list_replies(world, before)
    assert reply.payload == b"kept"


@trios.clock_test
async def test_home_waits_for_the_first_host_that_it_takes_for_dead() -> None:
    """A buyer hears "unknown" of a lot as a cut begins to show.

    Deaths are concluded one after the other: the keeper counts as dead while
    other hosts beyond the cut still count as alive.
    """
    world = _make_world_that_hears()

    async def lose_link(message: base.Message) -> base.Message:
        await trio.sleep(1.2)
        _show_all(world, State.DEAD, None)
        _show_far(world)
        raise errors.PeerLinkLostError("cut", step="call")

    async with world.running():
        before = await _post_over(world, lose_link)
        await trio.sleep(4)
        assert _list_replies(world, before) == []
        _show_all(world, State.ALIVE, Outcome.ANSWERED)
        await trio.sleep(1)
        (reply,) = _list_replies(world, before)
    assert reply.payload == b"kept"


@trios.clock_test
async def test_home_does_not_wait_for_a_keeper_that_died() -> None:
    """A buyer waits ten seconds to be told that an outcome is unknown."""
    world = home_fakes.HomeWorld()
    async with world.running():
        echo = await world.get_ticket()

        async def die(message: base.Message) -> base.Message:
            _bury(world, "north")
            raise errors.PeerLinkLostError("killed", step="call")

        world.handle_calls_with(die)
        began = trio.current_time()
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.code is Code.GATEWAY_TIMEOUT
    assert trio.current_time() - began < 2


async def _hang(message: base.Message) -> base.Message:
    await trio.sleep_forever()
    raise AssertionError


@trios.clock_test
async def test_answer_of_one_keeper_is_not_held_back_by_another() -> None:
    """A buyer waits for a booked lot because an idle keeper is silent."""
    echo = await _get_ticket()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    answering, silent = home_fakes.KEEPERS
    world.network.handlers[answering] = _make_keeper(
        answering, Outcome.ANSWERED
    )
    world.network.handlers[silent] = _hang
    began = trio.current_time()
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
        assert reply.payload == b"kept"
        assert trio.current_time() - began < 1


@trios.clock_test
async def test_answer_of_a_successor_is_not_held_back_by_another() -> None:
    """A buyer waits for a booked lot because one of the successors hangs."""
    echo = await _get_ticket()
    world = home_fakes.HomeWorld(_SUCCESSOR)
    left, answering = home_fakes.KEEPERS
    world.view.remove(left)
    world.view.put(home_fakes.make_member(_FAR))

    async def answer_for_both(message: base.Message) -> base.Message:
        return home_fakes.make_answered(b"handed over")

    world.network.handlers[answering] = answer_for_both
    world.network.handlers[_FAR] = _hang
    world.network.handlers[_SUCCESSOR] = _hang
    began = trio.current_time()
    async with world.running():
        reply = await world.send_request(POST, "/reserve", echo=echo)
        assert reply.payload == b"handed over"
        assert trio.current_time() - began < 1
