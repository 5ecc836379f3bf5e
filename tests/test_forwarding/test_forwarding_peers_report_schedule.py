"""Tests of which hosts of other failure domains are told next."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from persimmonhinge import ids
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding.decisions import loads
from persimmonhinge.forwarding.decisions import suspicions
from persimmonhinge.forwarding.peers import peer_table
from persimmonhinge.forwarding.peers import report_schedule
from tests.test_forwarding import test_forwarding_peers_reporter as reporters

_PORT = 7720
_ROUND_S = 0.5
_DOMAIN = ids.DomainId("north")


class ReportingHost:
    """A host that tells others, on a clock by hand."""

    def __init__(self) -> None:
        self.now = 100.0
        own = flow.Endpoint("10.0.0.1", _PORT)
        self.peers = peer_table.PeerTable(
            own, loads.LoadBook(), suspicions.Suspicions()
        )
        self.schedule = report_schedule.RemoteReportSchedule(
            self.peers, _DOMAIN
        )
        self.report_times: dict[flow.Endpoint, list[float]] = {}
        # When each host is to be told again, by what it was told.
        self.next_report_at: dict[flow.Endpoint, float] = {}

    def receive_reports(self, count: int) -> None:
        """Has it hear hosts of another domain."""
        for number in range(count):
            reporters.receive_report(
                self.peers, make_address(number), "south", self.now
            )

    def run_round(self) -> None:
        """Tells those that are due, and waits for the next round."""
        interval_s = self.schedule.compute_interval(_ROUND_S)
        for peer in self.schedule.choose_due(self.now, _ROUND_S):
            self.schedule.record_sent(peer, interval_s, self.now)
            self.report_times.setdefault(peer.address, []).append(self.now)
            self.next_report_at[peer.address] = self.now + interval_s
        self.now += _ROUND_S

    def count_overdue(self) -> int:
        """Returns the hosts that were promised a report before now."""
        late_s = _ROUND_S
        return sum(
            at + late_s < self.now for at in self.next_report_at.values()
        )


def make_address(number: int) -> flow.Endpoint:
    """Returns the address of a host elsewhere."""
    return flow.Endpoint(f"10.1.{number // 250}.{number % 250 + 1}", _PORT)


@hypothesis.given(hosts=strategies.integers(1, 600))
@hypothesis.settings(max_examples=12, deadline=None)
def test_each_host_is_told_when_it_was_promised(hosts: int) -> None:
    """Guards against live hosts taken for silent by those elsewhere."""
    teller = ReportingHost()
    teller.receive_reports(hosts)
    for _ in range(400):
        teller.run_round()
        assert teller.count_overdue() == 0
    assert len(teller.report_times) == hosts


def test_few_hosts_are_all_told_each_time_with_loads() -> None:
    teller = ReportingHost()
    teller.receive_reports(report_schedule.MAX_REMOTE_HOSTS_WITH_LOADS)
    for _ in range(10):
        teller.run_round()
    assert all(len(times) == 10 for times in teller.report_times.values())
    due = teller.schedule.choose_due(teller.now, _ROUND_S)
    assert teller.schedule.should_send_loads(due)


def test_many_hosts_hear_no_loads_from_elsewhere() -> None:
    teller = ReportingHost()
    teller.receive_reports(report_schedule.MAX_REMOTE_HOSTS_WITH_LOADS + 1)
    due = teller.schedule.choose_due(teller.now, _ROUND_S)
    assert due
    assert not teller.schedule.should_send_loads(due)


def test_host_that_starts_a_moment_later_is_greeted_again_soon() -> None:
    """Guards against seeds that miss the only greeting, as they start later."""
    teller = ReportingHost()
    teller.peers.add(make_address(1), teller.now)
    (peer,) = teller.schedule.choose_due(teller.now, _ROUND_S)
    teller.schedule.record_sent(peer, _ROUND_S, teller.now)
    due_at = teller.schedule.find_new_host_due_at()
    assert teller.now + 0.05 < due_at <= teller.now + 0.2
