"""Tests of how hosts follow the platform through its failures."""

from __future__ import annotations

import collections
import dataclasses

import trio

from persimmonhinge.membership import member as members
from persimmonhinge.store import keys
from tests.support import trios
from tests.test_contracts import fleet as fleets

_LIMIT_S = 3.0
_RINGS = fleets.PREFIX + keys.TICKET_KEYS


@trios.clock_test
async def test_two_hosts_of_each_domain_hold_the_watch() -> None:
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery, 24)
        await fleet.start(60)
        domains = collections.Counter(
            host.member.domain for host in fleet.watchers()
        )
        assert domains == {"d0": 2, "d1": 2, "d2": 2}
        callers = {host.member.host for host in fleet.watchers()}
        assert set(fleet.platform.callers) == callers
        nursery.cancel_scope.cancel()


@trios.clock_test
async def test_host_that_starts_does_not_send_on_all_that_it_reads() -> None:
    """Control takes far more than its limit whenever a host starts.

    The new host reads all contracts from the platform. They are new to it,
    so it passes each on as news, though all others hold them.
    """
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery, 6)
        for number in range(50):
            fleet.apply(f"service-{number}")
        await fleet.start()
        host = await fleet.restart("h0")
        fleet.links.cut({"h0"}, set(fleet.hosts))
        await trio.sleep(4)
        fleet.links.heal()
        await trio.sleep(5)
        assert len(host.contracts.entries()) == 50
        sent = host.counts.get("control_messages_sent_total", kind="knowledge")
        assert sent <= 2
        nursery.cancel_scope.cancel()


@trios.clock_test
async def test_hosts_make_one_ring_though_answers_are_lost() -> None:
    """Hosts refuse each other's tickets from the first day on.

    All watchers find no ticket keys and make some at the same time, and the
    answers to their writes are lost.
    """
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery, 12)
        fleet.platform.loses_answers = True
        await fleet.start(30)
        rings = {h.keys.record.body for h in fleet.hosts.values()}
        assert rings == {fleet.platform.values[_RINGS].value}
        writes = [e for e in fleet.platform.events if e.key == _RINGS]
        assert len(writes) == 1
        nursery.cancel_scope.cancel()


@trios.clock_test
async def test_platform_that_returns_meets_no_stampede() -> None:
    """The platform goes down again as soon as it has come back.

    All hosts had waited for it and call it in the same moment, and those
    that fail call again at once.
    """
    async with fleets.run_fleet(48) as fleet:
        fleet.platform.down = True
        await trio.sleep(60)
        before = fleet.platform.calls.total()
        await trio.sleep(60)
        # Six watchers wait one second on average between two attempts.
        assert fleet.platform.calls.total() - before < 6 * 60 * 1.5
        fleet.platform.down = False
        busiest = 0
        for _ in range(50):
            before = fleet.platform.calls.total()
            await trio.sleep(0.1)
            busiest = max(busiest, fleet.platform.calls.total() - before)
        # One connection takes five calls: less than all six at once.
        assert busiest <= 20
        revision = fleet.apply("floor")
        await trio.sleep(_LIMIT_S)
        assert fleet.knows("floor", revision)


@trios.clock_test
async def test_watchers_read_all_in_one_call_when_the_platform_returns() -> (
    None
):
    """Guards against a platform that returns and goes down under reads."""
    async with fleets.run_fleet(12) as fleet:
        fleet.apply("floor")
        fleet.platform.down = True
        await trio.sleep(20)
        fleet.platform.down = False
        before = fleet.platform.calls["get-prefix"]
        await trio.sleep(5)
        assert fleet.platform.calls["get-prefix"] - before == 6


def _show_watchers(fleet: fleets.Fleet, state: members.MemberState) -> None:
    """Shows the first watcher of each domain in a state, to all others."""
    shown = {host.member.domain: host.member for host in fleet.watchers()}
    for member in shown.values():
        seen = dataclasses.replace(member, state=state)
        for host in fleet.hosts.values():
            if host.member.host != member.host:
                host.view.put(seen)


@trios.clock_test
async def test_hosts_taken_for_dead_for_a_moment_are_not_replaced() -> None:
    """Guards against calls of all hosts while the platform is down.

    Hosts that are late are taken for dead, and others watch in their place.
    """
    async with fleets.run_fleet(12) as fleet:
        await trio.sleep(10)
        fleet.platform.down = True
        fleet.platform.callers.clear()
        for _ in range(3):
            _show_watchers(fleet, members.MemberState.DEAD)
            await trio.sleep(2)
            _show_watchers(fleet, members.MemberState.ALIVE)
            await trio.sleep(2)
        assert len(fleet.platform.callers) == 6, fleet.platform.callers


@trios.clock_test
async def test_contract_accepted_at_the_end_of_an_outage_comes_in_force() -> (
    None
):
    async with fleets.run_fleet(12) as fleet:
        fleet.platform.down = True
        await trio.sleep(300)
        fleet.platform.down = False
        revision = fleet.apply("floor")
        await trio.sleep(_LIMIT_S)
        assert fleet.knows("floor", revision)


@trios.clock_test
async def test_delete_in_an_outage_is_followed_afterwards() -> None:
    """A deleted contract stays in force for good.

    It was deleted while no host could reach the platform, and its key is
    simply absent afterwards. The second time, the platform has compacted
    the event of the delete.
    """
    for compacts in (False, True):
        async with fleets.run_fleet(6) as fleet:
            fleet.apply("floor")
            fleet.apply("intake")
            await trio.sleep(_LIMIT_S)
            fleet.platform.down = True
            await trio.sleep(10)
            fleet.delete("floor")
            if compacts:
                fleet.platform.compact()
            fleet.platform.down = False
            await trio.sleep(30)
            for host in fleet.hosts.values():
                assert [
                    e.contract.service for e in host.contracts.entries()
                ] == ["intake"]
                assert not host.control.report().lacking
            revision = fleet.apply("floor")
            await trio.sleep(_LIMIT_S)
            assert fleet.knows("floor", revision)


@trios.clock_test
async def test_platform_restored_from_an_older_copy_is_not_followed() -> None:
    """A contract that was accepted is out of force on all hosts.

    The platform was restored from a copy made before the contract was
    written. The watches of the hosts stay open, in silence.
    """
    async with fleets.run_fleet(6) as fleet:
        fleet.apply("intake")
        copy = fleet.platform.copy()
        floor = fleet.apply("floor")
        intake = fleet.apply("intake", port=8000)
        await trio.sleep(_LIMIT_S)
        fleet.platform.restore(copy)
        await trio.sleep(30)
        assert fleet.knows("floor", floor)
        assert fleet.knows("intake", intake)
        states = {h.control.report().platform for h in fleet.watchers()}
        assert states == {"went-back"}


@trios.clock_test
async def test_copy_that_went_on_does_not_take_contracts_away() -> None:
    """As above, but the copy has gone past the revision of the hosts.

    Operators wrote other contracts to it before the hosts came back to it,
    so its revision alone shows nothing wrong. With events compacted, the
    hosts can't see that the absent contract was never deleted there.
    """
    for compacts in (False, True):
        async with fleets.run_fleet(6) as fleet:
            fleet.apply("intake")
            copy = fleet.platform.copy()
            floor = fleet.apply("floor")
            await trio.sleep(_LIMIT_S)
            fleet.platform.down = True
            await trio.sleep(10)
            fleet.platform.restore(copy)
            for port in range(9000, 9009):
                other = fleet.apply("other", port=port)
            if compacts:
                fleet.platform.compact()
            fleet.platform.down = False
            await trio.sleep(60)
            assert fleet.knows("floor", floor)
            assert fleet.knows("other", other)
            for host in fleet.watchers():
                assert host.control.report().lacking == ["contracts/floor"]
            again = fleet.apply("floor", port=7100)
            await trio.sleep(_LIMIT_S)
            assert fleet.knows("floor", again)
            assert not fleet.watchers()[0].control.report().lacking


@trios.clock_test
async def test_deleted_ticket_keys_stay_in_force() -> None:
    """All tickets are refused after a host has started.

    The platform has lost its ticket keys. The new host holds the watch, and
    makes new ones before a peer has told it of those in force.
    """
    async with fleets.run_fleet(6) as fleet:
        body = fleet.platform.values[_RINGS].value
        fleet.platform.put(_RINGS, None)
        await trio.sleep(30)
        host = await fleet.restart("h0")
        fleet.links.cut({"h0"}, set(fleet.hosts))
        await trio.sleep(1)
        fleet.links.heal()
        await trio.sleep(30)
        assert host in fleet.watchers()
        assert host.keys.record.body == body
        assert _RINGS not in fleet.platform.values
