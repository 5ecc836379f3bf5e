"""Tests of which keepers run a request, and of its recovery from them."""

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
    """Guards against a request that runs at a keeper outside of its ticket.

    The keepers named in the ticket were replaced by new incarnations. If a
    new one ran the request and the home then died, recovery would query only
    the keepers of the ticket and report "not run" for a request that ran.
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
        retried = await world.send_request(
            POST, "/reserve", token=b"n", echo=reply.opt.echo
        )
        assert retried.payload == b"done"


@trios.clock_test
async def test_unreachable_keeper_is_skipped() -> None:
    world = home_fakes.HomeWorld()
    world.network.handlers[home_fakes.KEEPERS[1]] = home_fakes.answer_done
    async with world.running():
        echo = await world.get_ticket()
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.payload == b"done"


def _make_keeper_with_failing_link(
    recovery_answer: work.Dispatched,
) -> home_fakes.CallHandler:
    async def keep(message: base.Message) -> base.Message:
        if isinstance(message, work.Dispatch):
            raise errors.PeerLinkLostError("cut", step="call")
        return recovery_answer

    return keep


@trios.clock_test
async def test_keeper_is_queried_after_a_link_failure() -> None:
    """Guards against an "unknown" reply although the keeper has the answer.

    The link fails after the dispatch and before the answer. The keeper is
    still alive, and a new link can be opened.
    """
    world = home_fakes.HomeWorld()
    world.handle_calls_with(
        _make_keeper_with_failing_link(home_fakes.make_answered(b"kept"))
    )
    async with world.running():
        echo = await world.get_ticket()
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.payload == b"kept"
    assert len(world.network.dispatches()) == 1


@trios.clock_test
async def test_link_failure_to_a_restarted_keeper_is_unknown() -> None:
    """Guards against a "not run" reply for a request that ran.

    The keeper dies after it ran the request, and a new process with the same
    host name has an empty table. The query names the old incarnation, so the
    new process answers NOT_KEEPER.
    """
    world = home_fakes.HomeWorld()
    other = work.Dispatched(work.Outcome.NOT_KEEPER)
    world.handle_calls_with(_make_keeper_with_failing_link(other))
    async with world.running():
        echo = await world.get_ticket()
        reply = await world.send_request(POST, "/reserve", echo=echo)
        assert reply.code is Code.GATEWAY_TIMEOUT
        retried = await world.send_request(POST, "/reserve", echo=echo)
        assert retried.code is Code.GATEWAY_TIMEOUT
    assert len(world.network.dispatches()) == 1
    queries = [m for _, m in world.network.calls if isinstance(m, work.Recover)]
    assert all(query.keeper for query in queries)


@trios.clock_test
async def test_request_with_unknown_outcome_is_never_retried() -> None:
    world = home_fakes.HomeWorld()

    async def report_unknown(message: base.Message) -> base.Message:
        return work.Dispatched(work.Outcome.UNKNOWN)

    world.handle_calls_with(report_unknown)
    async with world.running():
        echo = await world.get_ticket()
        reply = await world.send_request(POST, "/reserve", echo=echo)
    assert reply.code is Code.GATEWAY_TIMEOUT
    assert len(world.network.dispatches()) == 1


@trios.clock_test
async def test_ticket_names_other_hosts_than_its_home() -> None:
    """Guards against an unknown outcome after the failure of a single host.

    If one host were both home and keeper of a request, its failure would
    leave no host that knows whether the request was dispatched.
    """
    world = home_fakes.HomeWorld(home_fakes.KEEPERS[0])
    world.handle_calls_with(home_fakes.answer_done)
    async with world.running():
        echo = await world.get_ticket()
        await world.send_request(POST, "/reserve", echo=echo)
    assert [host for host, _ in world.network.calls] == [home_fakes.KEEPERS[1]]
