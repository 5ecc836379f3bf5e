"""Tests of the choice of upstreams from the keepers' load reports."""

from __future__ import annotations

import collections
import random

import msgspec
import trio

from persimmonhinge import ids
from persimmonhinge.contracts import contract as contract_module
from persimmonhinge.contracts import store
from persimmonhinge.flows import chooser
from persimmonhinge.membership import placement
from persimmonhinge.membership import view
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_flows import home_fakes

_REQUEST = contract_module.CallKind.REQUEST
_FEED = contract_module.CallKind.FEED
_SERVICE = home_fakes.SERVICE
_ONE = ids.UpstreamId("target-1")
_TWO = ids.UpstreamId("target-2")


class _ChooserFixture:
    """A chooser with a view, a contract and a fake network."""

    def __init__(self, policy: str = "free-slot", hosts: int = 3) -> None:
        self.view = view.View(home_fakes.make_member(home_fakes.ME))
        for number in range(2, hosts + 1):
            host = ids.HostId(f"entry-{number}")
            self.view.put(home_fakes.make_member(host))
        self.network = home_fakes.FakeNetwork()
        contract = home_fakes.make_contract()
        policies = contract_module.Policies(choice=policy)
        self.entry = store.ContractEntry(
            contract.model_copy(update={"policies": policies}), ids.Revision(1)
        )
        self.placement = placement.Placement(self.view)
        self.chooser = chooser.UpstreamChooser(
            self.view,
            self.placement,
            store.ContractStore(),
            self.network,  # type: ignore[arg-type]
            random.Random(1),
        )

    def record_load(self, upstream: ids.UpstreamId, **changes: object) -> None:
        """Records a load report on an upstream."""
        load = work.UpstreamLoad(upstream, 2, 0, 0, 0)
        self.chooser.record_load(
            _SERVICE, msgspec.structs.replace(load, **changes)
        )

    def choose(
        self,
        kind: contract_module.CallKind = _REQUEST,
        keeper_refs: frozenset[ids.HostRef] | None = None,
    ) -> ids.UpstreamId:
        """Returns the id of the chosen upstream."""
        choice = self.chooser.choose(self.entry, kind, keeper_refs=keeper_refs)
        assert choice is not None
        return ids.UpstreamId(choice.upstream.id)


def test_draining_upstream_gets_nothing_new() -> None:
    fixture = _ChooserFixture()
    fixture.record_load(_ONE, accepting=False)
    fixture.record_load(_TWO, busy=2, queued=9)
    assert {fixture.choose() for _ in range(20)} == {_TWO}
    fixture.record_load(_TWO, accepting=False)
    assert fixture.chooser.choose(fixture.entry, _REQUEST) is None


def test_upstream_with_low_trust_gets_less_until_it_recovers() -> None:
    fixture = _ChooserFixture()
    fixture.record_load(_ONE, trust=0.02)
    fixture.record_load(_TWO, busy=2)
    assert {fixture.choose() for _ in range(20)} == {_TWO}
    fixture.record_load(_ONE, trust=0.9)
    assert {fixture.choose() for _ in range(20)} == {_ONE}


def test_least_loaded_upstream_serves_if_none_is_trusted() -> None:
    fixture = _ChooserFixture()
    fixture.record_load(_ONE, trust=0.0)
    fixture.record_load(_TWO, trust=0.0, queued=4)
    assert fixture.choose() == _ONE


def test_upstream_that_warms_up_is_weighed_by_its_current_slots() -> None:
    fixture = _ChooserFixture()
    fixture.record_load(_ONE, slots=1, busy=1)
    fixture.record_load(_TWO, slots=2, busy=2)
    assert {fixture.choose() for _ in range(20)} == {_TWO}


def test_feeds_of_other_hosts_count() -> None:
    fixture = _ChooserFixture()
    fixture.record_load(_ONE, feeds=50)
    fixture.record_load(_TWO, feeds=40, busy=2, queued=5)
    assert {fixture.choose(_FEED) for _ in range(20)} == {_TWO}


@trios.clock_test
async def test_burst_of_feeds_is_spread_between_two_reports() -> None:
    """Guards against feeds that all hosts open at the same upstream.

    Six hosts open twenty feeds each between two load reports. The last
    report shows one upstream with ten feeds fewer. Unless each host also
    counts the feeds that the other hosts probably opened, it opens fifteen of
    its twenty feeds there.
    """
    counts: collections.Counter[ids.UpstreamId] = collections.Counter()
    counts[_ONE] = 10
    fixtures = [_ChooserFixture(hosts=6) for _ in range(6)]
    for fixture in fixtures:
        fixture.record_load(_ONE, feeds=10)
        fixture.record_load(_TWO, feeds=0)
    for _ in range(20):
        for fixture in fixtures:
            chosen = fixture.choose(_FEED)
            fixture.chooser.record_start(_SERVICE, chosen, _FEED)
            counts[chosen] += 1
    assert abs(counts[_ONE] - counts[_TWO]) <= 12


@trios.clock_test
async def test_idle_upstreams_get_equal_parts_of_the_work() -> None:
    """Guards against an uneven distribution over idle upstreams.

    Idle upstreams have equal loads, and a random choice between them is
    uneven: of 40 requests to two upstreams, one often gets 26.
    """
    fixture = _ChooserFixture()
    counts: collections.Counter[ids.UpstreamId] = collections.Counter()
    for _ in range(40):
        chosen = fixture.choose()
        counts[chosen] += 1
        fixture.chooser.record_start(_SERVICE, chosen, _REQUEST)
        fixture.chooser.record_end(_SERVICE, chosen, _REQUEST)
        await trio.sleep(0.01)
    assert abs(counts[_ONE] - counts[_TWO]) <= 2


@trios.clock_test
async def test_upstream_that_comes_back_does_not_get_all_work() -> None:
    """Guards against a returning upstream that gets all requests.

    The upstream was drained for a minute and received no requests in that
    time. The choice must not make up for the requests that it missed.
    """
    fixture = _ChooserFixture()
    fixture.record_load(_ONE, accepting=False)
    for _ in range(600):
        fixture.chooser.record_start(_SERVICE, fixture.choose(), _REQUEST)
        fixture.chooser.record_end(_SERVICE, _TWO, _REQUEST)
        await trio.sleep(0.1)
    fixture.record_load(_ONE)
    counts: collections.Counter[ids.UpstreamId] = collections.Counter()
    for _ in range(300):
        chosen = fixture.choose()
        counts[chosen] += 1
        fixture.chooser.record_start(_SERVICE, chosen, _REQUEST)
        fixture.chooser.record_end(_SERVICE, chosen, _REQUEST)
        await trio.sleep(0.1)
    assert counts[_ONE] <= 200


def test_ticket_limits_the_choice_to_its_keepers() -> None:
    fixture = _ChooserFixture(hosts=6)
    for upstream in fixture.entry.contract.upstreams:
        key = ids.UpstreamId(f"{_SERVICE}/{upstream.id}")
        keeper = fixture.placement.find_keeper(key, upstream.domain)
        assert keeper is not None
        keeper_refs = frozenset({keeper.ref})
        fixture.record_load(ids.UpstreamId(upstream.id), queued=9)
        choice = fixture.chooser.choose(
            fixture.entry, _REQUEST, keeper_refs=keeper_refs
        )
        assert choice is not None
        assert choice.keeper_ref == keeper.ref
    other_refs = frozenset({ids.HostRef(1)})
    assert (
        fixture.chooser.choose(fixture.entry, _REQUEST, keeper_refs=other_refs)
        is None
    )


def test_free_slot_is_queried_only_where_that_can_help() -> None:
    fixture = _ChooserFixture()
    choice = fixture.chooser.choose(fixture.entry, _REQUEST)
    assert choice is not None
    assert choice.may_be_busy
    only_choice = fixture.chooser.choose(
        fixture.entry, _REQUEST, exclude=frozenset({_ONE})
    )
    assert only_choice is not None
    assert not only_choice.may_be_busy
    for upstream in (_ONE, _TWO):
        fixture.record_load(upstream, busy=2, queued=1)
    busy_choice = fixture.chooser.choose(fixture.entry, _REQUEST)
    assert busy_choice is not None
    assert not busy_choice.may_be_busy
    other_fixture = _ChooserFixture("least-loaded")
    other_choice = other_fixture.chooser.choose(other_fixture.entry, _REQUEST)
    assert other_choice is not None
    assert not other_choice.may_be_busy


@trios.clock_test
async def test_queries_of_a_large_fleet_stay_within_their_limit() -> None:
    """Guards against control traffic that grows with the number of hosts.

    If each host queried each keeper twice a second, each of 600 hosts would
    send 1,200 queries a second.
    """
    fixture = _ChooserFixture(hosts=200)

    async def report(message: base.Message) -> base.Message:
        return work.LoadReport(())

    for member in fixture.view.role_candidates():
        fixture.network.handlers[member.host] = report
    with trio.move_on_after(60):
        await fixture.chooser.run()
    assert len(fixture.network.calls) <= 60 * 10 * 1.3 + 200


@trios.clock_test
async def test_keepers_that_are_not_in_use_are_queried_less_often() -> None:
    """Guards against an idle host that exceeds its CPU limit for control.

    The host dispatches no requests but queries the load of all keepers twice
    a second.
    """
    fixture = _ChooserFixture()

    async def report(message: base.Message) -> base.Message:
        return work.LoadReport(())

    for member in fixture.view.role_candidates():
        fixture.network.handlers[member.host] = report
    with trio.move_on_after(60):
        await fixture.chooser.run()
    queried = [host for host, _ in fixture.network.calls]
    for host in set(queried) - {home_fakes.ME}:
        assert queried.count(host) <= 60 / 1.5


@trios.clock_test
async def test_report_names_service_and_upstream() -> None:
    fixture = _ChooserFixture()

    async def report(message: base.Message) -> base.Message:
        name = ids.UpstreamId(f"{_SERVICE}/{_ONE}")
        return work.LoadReport((work.UpstreamLoad(name, 2, 1, 4, 7),))

    fixture.network.handlers[ids.HostId("entry-2")] = report
    with trio.move_on_after(2):
        await fixture.chooser.run()
    load = fixture.chooser.get_load(_SERVICE, _ONE)
    assert load == work.UpstreamLoad(_ONE, 2, 1, 4, 7)
