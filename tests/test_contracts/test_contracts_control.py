"""Tests of how contracts come into force, over simulated hosts."""

from __future__ import annotations

import functools

import trio

from persimmonhinge.peers.messages import control
from persimmonhinge.store import keys
from tests.support import trios
from tests.test_contracts import bodies
from tests.test_contracts import fleet as fleets

_LIMIT_S = 3.0
# Orders of tasks and seeds of the links in which a host was late.
_ORDERS_AND_SEEDS = ((73, 2), (102, 3))
_DRAIN_KEY = fleets.PREFIX + keys.HOST_DRAINS + "h2"


@trios.clock_test
async def test_contract_is_in_force_everywhere_within_the_limit() -> None:
    async with fleets.run_fleet(24) as fleet:
        revision = fleet.apply("floor")
        await trio.sleep(_LIMIT_S)
        assert fleet.knows("floor", revision), fleet.revisions("floor")
        assert all(h.control.ready() for h in fleet.hosts.values())


@trios.clock_test
async def test_change_is_in_force_within_the_limit_despite_loss() -> None:
    """Some hosts route by the former contract for many seconds.

    A tenth of all messages between hosts is lost, so the news passes some
    hosts by.
    """
    for seed in range(5):
        await _change_twice_at_loss(seed)


def test_change_is_in_force_in_time_in_any_order_of_messages() -> None:
    """A host routes by the former contract for 6.6 s.

    Few hosts have it as a partner, and the news that they sent it was lost.
    Then it asked one host after the other, and each answer that was lost, of
    a tenth of all messages, cost it a second before it asked the next.
    """
    for order, seed in _ORDERS_AND_SEEDS:
        test = functools.partial(_change_twice_at_loss, seed)
        trios.run_in_order(order, test)


@trios.clock_test
async def test_hosts_that_only_miss_the_news_learn_by_exchange() -> None:
    """A host that lost the news keeps the former contract for good.

    Its links drop just while the news goes round, and no more news comes.
    """
    async with fleets.run_fleet(12) as fleet:
        idle = [h for h in fleet.hosts.values() if h not in fleet.watchers()]
        missing = {str(host.member.host) for host in idle}
        assert missing
        fleet.links.cut(missing, set(fleet.hosts))
        revision = fleet.apply("floor")
        await trio.sleep(1)
        assert not fleet.knows("floor", revision)
        fleet.links.heal()
        await trio.sleep(_LIMIT_S)
        assert fleet.knows("floor", revision)


@trios.clock_test
async def test_domain_cut_off_from_the_platform_learns_from_others() -> None:
    async with fleets.run_fleet(12) as fleet:
        fleet.platform.unreachable = fleet.names(0)
        revision = fleet.apply("floor")
        await trio.sleep(_LIMIT_S)
        assert fleet.knows("floor", revision)


@trios.clock_test
async def test_host_that_can_only_be_called_learns_from_its_callers() -> None:
    """One host keeps the former contract though others talk to it.

    It can open no link, as in a cut that is one-way, and the news passed it
    by.
    """
    async with fleets.run_fleet(6) as fleet:
        fleet.platform.unreachable = {"h0"}
        others = set(fleet.hosts) - {"h0"}
        fleet.links.cut({"h0"}, others)
        revision = fleet.apply("floor")
        await trio.sleep(1)
        fleet.links.cuts -= {(other, "h0") for other in others}
        await trio.sleep(_LIMIT_S)
        assert fleet.knows("floor", revision)


@trios.clock_test
async def test_healed_cut_ends_in_agreement_and_nothing_goes_back() -> None:
    """After a cut has healed, a deleted contract is in force again.

    A domain is cut off from the others and from the platform while a
    contract is deleted and another one changed. Its hosts come back with
    what they knew before.
    """
    async with fleets.run_fleet(12) as fleet:
        former = fleet.apply("floor", port=7001)
        fleet.apply("intake", port=8001)
        await trio.sleep(_LIMIT_S)
        cut_off = fleet.names(1)
        fleet.platform.unreachable = cut_off
        fleet.links.cut(cut_off, set(fleet.hosts) - cut_off)
        changed = fleet.apply("floor", port=7002)
        deleted = fleet.delete("intake")
        await trio.sleep(60)
        assert set(fleet.revisions("floor")) == {former, changed}
        fleet.platform.unreachable = set()
        fleet.links.heal()
        await trio.sleep(_LIMIT_S)
        assert fleet.knows("floor", changed)
        assert fleet.knows("intake", deleted)
        await trio.sleep(60)
        assert fleet.knows("floor", changed)
        assert fleet.knows("intake", deleted)


@trios.clock_test
async def test_peer_that_spreads_old_revisions_changes_nothing() -> None:
    async with fleets.run_fleet(6) as fleet:
        fleet.apply("floor", port=7001)
        revision = fleet.apply("floor", port=7002)
        await trio.sleep(_LIMIT_S)
        old = bodies.make_record("floor", revision - 1, port=7001)
        before = _count_older(fleet)
        for host in fleet.hosts.values():
            network = fleet.links.networks["h0"]
            network.send(host.member.host, control.Knowledge((old,)))
        await trio.sleep(_LIMIT_S)
        assert fleet.knows("floor", revision)
        assert _count_older(fleet) - before == len(fleet.hosts)


def _count_older(fleet: fleets.Fleet) -> int:
    return sum(
        host.counts.get("control_records_refused_total", cause="older")
        for host in fleet.hosts.values()
    )


@trios.clock_test
async def test_host_that_starts_while_the_platform_is_down_serves() -> None:
    """A host that was replaced in an outage refuses all callers.

    It can't read contracts and ticket keys from the platform, though its
    peers hold them. They stand in another failure domain.
    """
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery, 6)
        revision = fleet.apply("floor")
        await fleet.start()
        fleet.platform.down = True
        await trio.sleep(1)
        fleet.links.down = fleet.names(0) - {"h0"}
        host = await fleet.restart("h0")
        await trio.sleep(_LIMIT_S)
        assert host.contracts.revisions() == {"floor": revision}
        assert host.keys.ring.current() is not None
        assert host.control.ready()
        nursery.cancel_scope.cancel()


@trios.clock_test
async def test_fleet_without_any_knowledge_is_not_ready() -> None:
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery, 6)
        fleet.platform.down = True
        revision = fleet.apply("floor")
        await fleet.start(30)
        assert not any(h.control.ready() for h in fleet.hosts.values())
        fleet.platform.down = False
        await trio.sleep(_LIMIT_S)
        assert all(h.control.ready() for h in fleet.hosts.values())
        assert fleet.knows("floor", revision)
        nursery.cancel_scope.cancel()


@trios.clock_test
async def test_contract_can_be_deleted_and_made_again() -> None:
    async with fleets.run_fleet(6) as fleet:
        for change in (fleet.apply, fleet.delete, fleet.apply, fleet.delete):
            revision = change("floor")
            await trio.sleep(_LIMIT_S)
            assert fleet.knows("floor", revision)
        assert all(not h.contracts.entries() for h in fleet.hosts.values())


@trios.clock_test
async def test_drain_is_known_everywhere_and_taken_back() -> None:
    async with fleets.run_fleet(6) as fleet:
        for value, drained in ((b"{}", ["h2"]), (None, [])):
            fleet.platform.put(_DRAIN_KEY, value)
            await trio.sleep(_LIMIT_S)
            for host in fleet.hosts.values():
                assert host.drains.drained() == drained


@trios.clock_test
async def test_unreadable_contract_is_refused_and_reported() -> None:
    """One bad write takes a service out of force on all hosts.

    Something other than `persimmonhinge-ctl` wrote the contract's key, or a
    newer version of it wrote what these hosts can't read.
    """
    async with fleets.run_fleet(6) as fleet:
        revision = fleet.apply("floor")
        await trio.sleep(_LIMIT_S)
        key = fleets.PREFIX + keys.CONTRACTS + "floor"
        for value in (b"\xff{", b"{}", b'{"contract": {"service": "floor"}}'):
            bad = fleet.platform.put(key, value)
            await trio.sleep(_LIMIT_S)
            assert fleet.knows("floor", revision)
            for host in fleet.watchers():
                refused = host.control.report().refused
                assert refused == {"contracts/floor": bad}
        revision = fleet.apply("floor")
        await trio.sleep(_LIMIT_S)
        assert fleet.knows("floor", revision)
        assert not fleet.watchers()[0].control.report().refused


async def _change_twice_at_loss(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery, 48, seed)
        fleet.links.loss = 0.1
        await fleet.start()
        for port in (7001, 7002):
            revision = fleet.apply("floor", port=port)
            await trio.sleep(_LIMIT_S)
            assert fleet.knows("floor", revision)
        nursery.cancel_scope.cancel()
