"""Tests of which hosts follow the store."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.forwarding.decisions import loads as load_books
from persimmonhinge.forwarding.decisions import suspicions as suspicion_lists
from persimmonhinge.forwarding.peers import book as books
from persimmonhinge.forwarding.peers import following
from persimmonhinge.forwarding.peers import messages
from tests.test_forwarding import scene as scenes

_HOSTS = [f"host-{number}" for number in range(6)]


class Member:
    """A host that hears the others."""

    def __init__(self, host: str, domain: str = "north") -> None:
        number = int(host.rpartition("-")[2])
        self.host = host
        self.domain = domain
        self.address = flows.Endpoint(f"10.0.0.{number}", 7720)
        scene = scenes.Scene(scenes.Clock())
        self.clock = scene.clock
        self.knowledge: knowledge_parts.Knowledge = scene.knowledge
        self.book = books.PeerBook(
            self.address,
            load_books.LoadTable(),
            suspicion_lists.Suspicions(),
        )
        self.following = following.Following(
            host, domain, self.book, self.knowledge, 2.2, self.clock.now
        )

    def hear(self, other: Member) -> None:
        """Has the newest report of another host come."""
        report = messages.Report(
            other.host,
            1,
            1,
            100,
            other.domain,
            1,
            0,
            other.following.leaving,
            other.following.reaches_store,
            (),
            (),
        )
        self.book.take(other.address, report, self.clock.now)

    def is_due(self) -> bool:
        """Tells whether it is to follow."""
        return self.following.is_due(self.clock.now)


def make_members(domain: str = "north") -> list[Member]:
    return [Member(host, domain) for host in _HOSTS]


def tell_all(members: list[Member]) -> None:
    elsewhere = Member("host-9", "south")
    for member in members:
        member.hear(elsewhere)
        for other in members:
            if other is not member:
                member.hear(other)


def test_one_host_of_a_domain_follows() -> None:
    members = make_members()
    tell_all(members)
    assert [member.is_due() for member in members].count(True) == 1


def test_two_hosts_follow_where_there_is_one_domain() -> None:
    """Nobody sees that the only host that follows is behind.

    Its watch has gone silent; there is no other failure domain whose hosts
    would be ahead. Cause: one source for all.
    """
    members = make_members()
    for member in members:
        for other in members:
            if other is not member:
                member.hear(other)
    assert [member.is_due() for member in members].count(True) == 2


def test_host_that_hears_nobody_follows() -> None:
    assert Member("host-1").is_due()


def test_next_host_follows_when_the_first_can_not_or_leaves() -> None:
    """A failure domain hears of no change for as long as one host is refused.

    The store refuses the host that follows for its domain; the others wait
    for its news. Cause: the place of the host alone decides.
    """
    for make_unable in (
        lambda member: setattr(member.following, "reaches_store", False),
        lambda member: setattr(member.following, "leaving", True),
    ):
        members = make_members()
        tell_all(members)
        (first,) = [member for member in members if member.is_due()]
        make_unable(first)
        rest = make_members()
        for member in rest:
            for other in members:
                if other.host != member.host:
                    member.hear(other)
            member.hear(Member("host-9", "south"))
        due = [member.host for member in rest if member.is_due()]
        assert first.host in due or len(due) == 1
        assert len([host for host in due if host != first.host]) == 1


def test_host_whose_knowledge_nobody_confirms_follows() -> None:
    members = make_members()
    tell_all(members)
    for member in members:
        member.clock.sleep(2.3)
    assert all(member.is_due() for member in members)


@hypothesis.given(strategies.sets(strategies.sampled_from(_HOSTS), min_size=1))
def test_any_set_of_live_hosts_has_one_that_follows(live: set[str]) -> None:
    members = [Member(host) for host in sorted(live)]
    tell_all(members)
    assert [member.is_due() for member in members].count(True) == 1
