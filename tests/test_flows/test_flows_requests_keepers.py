"""Tests of which keepers run a request, and what they say of it later."""

from __future__ import annotations

from aiocoap.numbers import codes

from persimmonhinge import errors
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_flows import home_fakes

Code = codes.Code
POST = codes.Code.POST


@trios.clock_test
async def test_request_goes_only_to_keepers_of_its_ticket() -> None:
    """A reservation runs at a keeper that recovery will not ask.

    The keeper named in the ticket was replaced. If the request went to the
    new one and its home died, the keepers of the ticket would say "not
    run" of a request that ran.
    """
    world = home_fakes.HomeWorld()
    world.handle_calls_with(home_fakes.answer_done)
    async with world.running():
        echo = await world.get_ticket()
        for host in home_fakes.KEEPERS:
            world.view.put(home_fakes.make_member(host, 2))
        reply = await world.send_request(POST, "/reserve", echo=echo)
        assert reply.code is Code.SERVICE_UNAVAILABLE
        assert not world.network.calls
        again = await world.send_request(
            POST, "/reserve", token=b"n", echo=reply.opt.echo
        )
        assert again.payload == b"done"


@trios.clock_test
async def test_unreachable_keeper_is_passed_over() -> None:
    world = home_fakes.HomeWorld()
    world.network.handlers[home_fakes.KEEPERS[1]] = home_fakes.answer_done
    async with world.running():
        echo = await world.get_ticket()
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.payload == b"done"


def _make_lost_link(found: work.Dispatched) -> home_fakes.CallHandler:
    async def keep(message: base.Message) -> base.Message:
        if isinstance(message, work.Dispatch):
            raise errors.PeerLinkLostError("cut", step="call")
        return found

    return keep


@trios.clock_test
async def test_lost_link_is_resolved_by_asking_its_keeper() -> None:
    """A buyer hears "unknown" though the keeper has the answer.

    The link is cut after the dispatch and before the answer; the keeper
    lives and a new link opens.
    """
    world = home_fakes.HomeWorld()
    world.handle_calls_with(_make_lost_link(home_fakes.make_answered(b"kept")))
    async with world.running():
        echo = await world.get_ticket()
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.payload == b"kept"
    assert len(world.network.dispatches()) == 1


@trios.clock_test
async def test_lost_link_to_a_restarted_keeper_is_unknown() -> None:
    """A buyer hears "not run" of a reservation that ran.

    The keeper dies after it ran it; a new process under its name has an
    empty table. It is asked by incarnation and says that it is another.
    """
    world = home_fakes.HomeWorld()
    other = work.Dispatched(work.Outcome.NOT_KEEPER)
    world.handle_calls_with(_make_lost_link(other))
    async with world.running():
        echo = await world.get_ticket()
        reply = await world.send_request(POST, "/reserve", echo=echo)
        assert reply.code is Code.GATEWAY_TIMEOUT
        again = await world.send_request(POST, "/reserve", echo=echo)
        assert again.code is Code.GATEWAY_TIMEOUT
    assert len(world.network.dispatches()) == 1
    asked = [m for _, m in world.network.calls if isinstance(m, work.Recover)]
    assert all(question.keeper for question in asked)


@trios.clock_test
async def test_unknown_outcome_is_never_tried_again() -> None:
    world = home_fakes.HomeWorld()

    async def fall_silent(message: base.Message) -> base.Message:
        return work.Dispatched(work.Outcome.UNKNOWN)

    world.handle_calls_with(fall_silent)
    async with world.running():
        echo = await world.get_ticket()
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.code is Code.GATEWAY_TIMEOUT
    assert len(world.network.dispatches()) == 1


@trios.clock_test
async def test_ticket_names_other_hosts_than_its_home() -> None:
    """One death makes a reservation's outcome unknown.

    Home and keeper are one host; nobody is left who knows whether the
    request was dispatched.
    """
    world = home_fakes.HomeWorld(home_fakes.KEEPERS[0])
    world.handle_calls_with(home_fakes.answer_done)
    async with world.running():
        echo = await world.get_ticket()
        await world.send_request(POST, "/reserve", echo=echo)
    assert [host for host, _ in world.network.calls] == [home_fakes.KEEPERS[1]]
