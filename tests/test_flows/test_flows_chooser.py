"""Tests of the choice of upstreams from the keepers' reports."""

from __future__ import annotations

import collections
import random

import msgspec
import trio

from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import store as stores
from persimmonhinge.flows import chooser as choosers
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import view as views
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_flows import home_fakes

_REQUEST = contracts.CallKind.REQUEST
_FEED = contracts.CallKind.FEED
_SERVICE = home_fakes.SERVICE
_ONE = ids.UpstreamId("target-1")
_TWO = ids.UpstreamId("target-2")


class _Bench:
    """A chooser with a view, a contract and a network of fakes."""

    def __init__(self, policy: str = "free-slot", hosts: int = 3) -> None:
        self.view = views.View(home_fakes.make_member(home_fakes.ME))
        for number in range(2, hosts + 1):
            host = ids.HostId(f"entry-{number}")
            self.view.put(home_fakes.make_member(host))
        self.network = home_fakes.FakeNetwork()
        contract = home_fakes.make_contract()
        named = contracts.Policies(choice=policy)
        self.entry = stores.ContractEntry(
            contract.model_copy(update={"policies": named}), ids.Revision(1)
        )
        self.placement = placements.Placement(self.view)
        self.chooser = choosers.UpstreamChooser(
            self.view,
            self.placement,
            stores.ContractStore(),
            self.network,  # type: ignore[arg-type]
            random.Random(1),
        )

    def note(self, upstream: ids.UpstreamId, **changes: object) -> None:
        """Takes in a report on an upstream."""
        load = work.UpstreamLoad(upstream, 2, 0, 0, 0)
        self.chooser.record_load(
            _SERVICE, msgspec.structs.replace(load, **changes)
        )

    def choose(
        self,
        kind: contracts.CallKind = _REQUEST,
        among: frozenset[ids.HostRef] | None = None,
    ) -> ids.UpstreamId:
        """Returns the upstream that is chosen."""
        choice = self.chooser.choose(self.entry, kind, keeper_refs=among)
        assert choice is not None
        return ids.UpstreamId(choice.upstream.id)


def test_draining_upstream_gets_nothing_new() -> None:
    bench = _Bench()
    bench.note(_ONE, accepting=False)
    bench.note(_TWO, busy=2, queued=9)
    assert {bench.choose() for _ in range(20)} == {_TWO}
    bench.note(_TWO, accepting=False)
    assert bench.chooser.choose(bench.entry, _REQUEST) is None


def test_distrusted_upstream_gets_less_and_is_taken_back() -> None:
    bench = _Bench()
    bench.note(_ONE, trust=0.02)
    bench.note(_TWO, busy=2)
    assert {bench.choose() for _ in range(20)} == {_TWO}
    bench.note(_ONE, trust=0.9)
    assert {bench.choose() for _ in range(20)} == {_ONE}


def test_least_bad_upstream_goes_on_serving() -> None:
    bench = _Bench()
    bench.note(_ONE, trust=0.0)
    bench.note(_TWO, trust=0.0, queued=4)
    assert bench.choose() == _ONE


def test_cold_upstream_is_weighed_by_the_slots_it_has_now() -> None:
    bench = _Bench()
    bench.note(_ONE, slots=1, busy=1)
    bench.note(_TWO, slots=2, busy=2)
    assert {bench.choose() for _ in range(20)} == {_TWO}


def test_feeds_of_other_hosts_count() -> None:
    bench = _Bench()
    bench.note(_ONE, feeds=50)
    bench.note(_TWO, feeds=40, busy=2, queued=5)
    assert {bench.choose(_FEED) for _ in range(20)} == {_TWO}


@trios.clock_test
async def test_burst_of_feeds_is_spread_between_two_reports() -> None:
    """Six hosts open twenty boards each before the next report.

    Their one report says that one upstream has ten fewer. Without looking
    ahead for the others too, each host gives it fifteen of its twenty.
    """
    counts: collections.Counter[ids.UpstreamId] = collections.Counter()
    counts[_ONE] = 10
    benches = [_Bench(hosts=6) for _ in range(6)]
    for bench in benches:
        bench.note(_ONE, feeds=10)
        bench.note(_TWO, feeds=0)
    for _ in range(20):
        for bench in benches:
            chosen = bench.choose(_FEED)
            bench.chooser.record_start(_SERVICE, chosen, _FEED)
            counts[chosen] += 1
    assert abs(counts[_ONE] - counts[_TWO]) <= 12


@trios.clock_test
async def test_idle_upstreams_get_equal_parts_of_the_work() -> None:
    """Nothing waits, and one upstream does twice the work of another.

    With all idle no load tells upstreams apart, and chance is uneven: of
    40 requests to two upstreams one often gets 26.
    """
    bench = _Bench()
    counts: collections.Counter[ids.UpstreamId] = collections.Counter()
    for _ in range(40):
        chosen = bench.choose()
        counts[chosen] += 1
        bench.chooser.record_start(_SERVICE, chosen, _REQUEST)
        bench.chooser.record_end(_SERVICE, chosen, _REQUEST)
        await trio.sleep(0.01)
    assert abs(counts[_ONE] - counts[_TWO]) <= 2


@trios.clock_test
async def test_upstream_that_comes_back_does_not_get_all_work() -> None:
    """A drained upstream is taken back and gets everything.

    It had no work for a minute, so it is far behind the others in what it
    got; it must not catch up.
    """
    bench = _Bench()
    bench.note(_ONE, accepting=False)
    for _ in range(600):
        bench.chooser.record_start(_SERVICE, bench.choose(), _REQUEST)
        bench.chooser.record_end(_SERVICE, _TWO, _REQUEST)
        await trio.sleep(0.1)
    bench.note(_ONE)
    counts: collections.Counter[ids.UpstreamId] = collections.Counter()
    for _ in range(300):
        chosen = bench.choose()
        counts[chosen] += 1
        bench.chooser.record_start(_SERVICE, chosen, _REQUEST)
        bench.chooser.record_end(_SERVICE, chosen, _REQUEST)
        await trio.sleep(0.1)
    assert counts[_ONE] <= 200


def test_ticket_limits_the_choice_to_its_keepers() -> None:
    bench = _Bench(hosts=6)
    for upstream in bench.entry.contract.upstreams:
        key = ids.UpstreamId(f"{_SERVICE}/{upstream.id}")
        keeper = bench.placement.find_keeper(key, upstream.domain)
        assert keeper is not None
        among = frozenset({keeper.ref})
        bench.note(ids.UpstreamId(upstream.id), queued=9)
        choice = bench.chooser.choose(bench.entry, _REQUEST, keeper_refs=among)
        assert choice is not None
        assert choice.keeper_ref == keeper.ref
    none = frozenset({ids.HostRef(1)})
    assert bench.chooser.choose(bench.entry, _REQUEST, keeper_refs=none) is None


def test_free_slot_is_asked_for_only_where_that_can_help() -> None:
    bench = _Bench()
    choice = bench.chooser.choose(bench.entry, _REQUEST)
    assert choice is not None
    assert choice.may_be_busy
    only = bench.chooser.choose(
        bench.entry, _REQUEST, exclude=frozenset({_ONE})
    )
    assert only is not None
    assert not only.may_be_busy
    for upstream in (_ONE, _TWO):
        bench.note(upstream, busy=2, queued=1)
    full = bench.chooser.choose(bench.entry, _REQUEST)
    assert full is not None
    assert not full.may_be_busy
    plain = _Bench("least-loaded")
    blind = plain.chooser.choose(plain.entry, _REQUEST)
    assert blind is not None
    assert not blind.may_be_busy


@trios.clock_test
async def test_queries_of_a_large_fleet_stay_within_their_limit() -> None:
    """Control takes more of the network the more hosts there are.

    Each host asks each keeper twice a second: with 600 hosts that is 1,200
    queries a second from each.
    """
    bench = _Bench(hosts=200)

    async def report(message: base.Message) -> base.Message:
        return work.LoadReport(())

    for member in bench.view.role_takers():
        bench.network.handlers[member.host] = report
    with trio.move_on_after(60):
        await bench.chooser.run()
    assert len(bench.network.calls) <= 60 * 10 * 1.3 + 200


@trios.clock_test
async def test_keepers_that_are_not_in_use_are_asked_seldom() -> None:
    """An idle host spends more of a core on control than it may.

    It gives no work, and asks all keepers twice a second for their loads.
    """
    bench = _Bench()

    async def report(message: base.Message) -> base.Message:
        return work.LoadReport(())

    for member in bench.view.role_takers():
        bench.network.handlers[member.host] = report
    with trio.move_on_after(60):
        await bench.chooser.run()
    asked = [host for host, _ in bench.network.calls]
    for host in set(asked) - {home_fakes.ME}:
        assert asked.count(host) <= 60 / 1.5


@trios.clock_test
async def test_report_names_service_and_upstream() -> None:
    bench = _Bench()

    async def report(message: base.Message) -> base.Message:
        name = ids.UpstreamId(f"{_SERVICE}/{_ONE}")
        return work.LoadReport((work.UpstreamLoad(name, 2, 1, 4, 7),))

    bench.network.handlers[ids.HostId("entry-2")] = report
    with trio.move_on_after(2):
        await bench.chooser.run()
    load = bench.chooser.get_load(_SERVICE, _ONE)
    assert load == work.UpstreamLoad(_ONE, 2, 1, 4, 7)
