"""Tests of with whom records are exchanged, and how often."""

from __future__ import annotations

import dataclasses
import random

import hypothesis
from hypothesis import strategies
import trio

from persimmonhinge import ids
from persimmonhinge.contracts import differences as difference_logs
from persimmonhinge.contracts import partners as partner_choice
from persimmonhinge.membership import member as members
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import view as views
from tests.support import trios

_HOST = ids.HostId("h1")
_MOST_PARTNERS = 12
_DRAWS = 400
_PAUSE_S = 30.0


def _make_members(domains: list[int]) -> list[members.Member]:
    """Returns as many hosts as given for each domain."""
    return [
        members.Member(
            host=ids.HostId(f"h{domain}-{number}"),
            domain=ids.DomainId(f"d{domain}"),
            address="127.0.0.1",
            peer_port=1,
            heartbeat_port=1,
            incarnation=ids.Incarnation(1),
        )
        for domain, count in enumerate(domains)
        for number in range(count)
    ]


def _make_partners(
    me: members.Member, hosts: list[members.Member]
) -> partner_choice.Partners:
    view = views.View(me)
    for host in hosts:
        view.put(host)
    return partner_choice.Partners(
        view, placements.Placement(view), random.Random(1)
    )


def _draw_pushes(partners: partner_choice.Partners, draws: int) -> set[str]:
    found: set[str] = set()
    for _ in range(draws):
        found.update(partners.pick_for_push(exclude=""))
    return found


@hypothesis.settings(max_examples=30)
@hypothesis.given(
    strategies.lists(strategies.integers(1, 12), min_size=1, max_size=8)
)
def test_news_can_reach_each_host_from_each_other(domains: list[int]) -> None:
    """Some hosts never hear the news, and only exchanges tell them.

    The partners of a group of hosts all stand within the group.
    """
    hosts = _make_members(domains)
    reached = {
        host.host: _draw_pushes(_make_partners(host, hosts), 30)
        for host in hosts
    }
    seen = {str(hosts[0].host)}
    waiting = list(seen)
    while waiting:
        for other in reached[ids.HostId(waiting.pop())] - seen:
            seen.add(other)
            waiting.append(other)
    assert seen == {host.host for host in hosts}


def test_links_of_a_host_stay_few_among_many() -> None:
    hosts = _make_members([204, 203, 203])
    partners = _make_partners(hosts[0], hosts)
    pushed = _draw_pushes(partners, _DRAWS)
    asked = {partners.pick_for_exchange()[0] for _ in range(_DRAWS)}
    assert len(pushed) == _MOST_PARTNERS
    assert asked <= pushed


def test_exchange_turns_to_any_host_when_no_partner_answers() -> None:
    """A host stays behind for good though another one could be reached.

    All of its partners stand on the far side of a cut.
    """
    hosts = _make_members([8, 8, 8])
    partners = _make_partners(hosts[0], hosts)
    tried = {
        host for _ in range(_DRAWS) for host in partners.pick_for_exchange()
    }
    assert tried == {host.host for host in hosts[1:]}


def test_two_hosts_of_each_domain_are_watchers_in_all_views() -> None:
    hosts = _make_members([1, 2, 5])
    watchers = [h for h in hosts if _make_partners(h, hosts).is_watcher()]
    assert [h.domain for h in watchers] == ["d0", "d1", "d1", "d2", "d2"]


def test_hosts_of_a_drained_domain_all_watch() -> None:
    """A drained deployment can't be taken back.

    No host takes roles, so none holds the watch and hears of it.
    """
    hosts = [
        dataclasses.replace(host, state=members.MemberState.LEAVING)
        for host in _make_members([3])
    ]
    assert all(_make_partners(host, hosts).is_watcher() for host in hosts)


@trios.clock_test
async def test_difference_that_stays_is_not_looked_into_each_second() -> None:
    """Control takes kilobytes a second for hours after an upgrade.

    One host can read a new contract and another one can't, so their digests
    differ in each exchange.
    """
    differences = difference_logs.Differences()
    looks = [differences.begin(_HOST, b"a", b"b") for _ in range(10)]
    assert looks == [True] * 3 + [False] * 7
    await trio.sleep(_PAUSE_S)
    assert differences.begin(_HOST, b"a", b"b")
    assert not differences.begin(_HOST, b"a", b"b")
    assert differences.begin(_HOST, b"a", b"c")
