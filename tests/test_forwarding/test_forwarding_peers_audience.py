"""Tests of which hosts of other failure domains are told next."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from persimmonhinge import ids
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding.decisions import loads as load_books
from persimmonhinge.forwarding.decisions import suspicions as suspicion_lists
from persimmonhinge.forwarding.peers import audience as audiences
from persimmonhinge.forwarding.peers import book as books
from tests.test_forwarding import test_forwarding_peers_reporter as reporters

_PORT = 7720
_ROUND_S = 0.5
_DOMAIN = ids.DomainId("north")


class Teller:
    """A host that tells others, on a clock by hand."""

    def __init__(self) -> None:
        self.now = 100.0
        own = flows.Endpoint("10.0.0.1", _PORT)
        self.book = books.PeerBook(
            own, load_books.LoadTable(), suspicion_lists.Suspicions()
        )
        self.audience = audiences.FarAudience(self.book, _DOMAIN)
        self.told: dict[flows.Endpoint, list[float]] = {}
        # When each host is to be told again, by what it was told.
        self.promised: dict[flows.Endpoint, float] = {}

    def hear(self, count: int) -> None:
        """Has it hear hosts of another domain."""
        for number in range(count):
            reporters.hear(self.book, make_address(number), "south", self.now)

    def tell_round(self) -> None:
        """Tells those that are due, and waits for the next round."""
        interval_s = self.audience.compute_interval(_ROUND_S)
        for peer in self.audience.choose_due(self.now, _ROUND_S):
            self.audience.record_told(peer, interval_s, self.now)
            self.told.setdefault(peer.address, []).append(self.now)
            self.promised[peer.address] = self.now + interval_s
        self.now += _ROUND_S

    def count_overdue(self) -> int:
        """Returns the hosts that were promised a report before now."""
        late_s = _ROUND_S
        return sum(at + late_s < self.now for at in self.promised.values())


def make_address(number: int) -> flows.Endpoint:
    """Returns the address of a host elsewhere."""
    return flows.Endpoint(f"10.1.{number // 250}.{number % 250 + 1}", _PORT)


@hypothesis.given(hosts=strategies.integers(1, 600))
@hypothesis.settings(max_examples=12, deadline=None)
def test_each_host_is_told_when_it_was_promised(hosts: int) -> None:
    """Guards against live hosts taken for silent by those elsewhere."""
    teller = Teller()
    teller.hear(hosts)
    for _ in range(400):
        teller.tell_round()
        assert teller.count_overdue() == 0
    assert len(teller.told) == hosts


def test_few_hosts_are_all_told_each_time_with_loads() -> None:
    teller = Teller()
    teller.hear(audiences.MOST_TOLD_LOADS)
    for _ in range(10):
        teller.tell_round()
    assert all(len(times) == 10 for times in teller.told.values())
    due = teller.audience.choose_due(teller.now, _ROUND_S)
    assert teller.audience.tells_loads(due)


def test_many_hosts_hear_no_loads_from_elsewhere() -> None:
    teller = Teller()
    teller.hear(audiences.MOST_TOLD_LOADS + 1)
    due = teller.audience.choose_due(teller.now, _ROUND_S)
    assert due
    assert not teller.audience.tells_loads(due)


def test_host_that_starts_a_moment_later_is_greeted_again_soon() -> None:
    """Guards against seeds that miss the only greeting, as they start later."""
    teller = Teller()
    teller.book.add(make_address(1), teller.now)
    (peer,) = teller.audience.choose_due(teller.now, _ROUND_S)
    teller.audience.record_told(peer, _ROUND_S, teller.now)
    due_at = teller.audience.find_stranger_due()
    assert teller.now + 0.05 < due_at <= teller.now + 0.2
