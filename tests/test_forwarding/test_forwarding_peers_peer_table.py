"""Tests of what hosts are told by each other."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import load_line
from persimmonhinge.forwarding.decisions import loads
from persimmonhinge.forwarding.decisions import suspicions
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import peer_table

OWN_ADDRESS = flow.Endpoint("10.0.0.1", 7720)
PEER_ADDRESS = flow.Endpoint("10.0.0.2", 7720)
TOKEN = 77


class ReceivingHost:
    """A host that is told."""

    def __init__(self) -> None:
        self.loads = loads.LoadBook()
        self.suspicions = suspicions.Suspicions()
        self.peers = peer_table.PeerTable(
            OWN_ADDRESS, self.loads, self.suspicions
        )

    def receive_report(
        self,
        sequence: int,
        *,
        in_flight: int = 0,
        incarnation: int = 1,
        missed: int = 0,
        now: float = 10.0,
        peer: flow.Endpoint = PEER_ADDRESS,
        domain: str = "north",
        revision: int = 1,
        interval_ms: int = 100,
    ) -> bool:
        """Has a report come from a peer."""
        line = load_line.LoadLine(TOKEN, in_flight, in_flight * 100, missed)
        report = messages.Report(
            "b",
            incarnation,
            sequence,
            interval_ms,
            domain,
            revision,
            0,
            False,
            True,
            (line,),
            (),
        )
        return self.peers.apply_report(peer, report, now)


def test_newest_report_replaces_the_one_before() -> None:
    told = ReceivingHost()
    told.receive_report(1, in_flight=3)
    told.receive_report(2, in_flight=5)
    assert told.loads.others_in_flight(TOKEN) == 5
    assert told.loads.others_average(TOKEN) == 5.0


def test_report_that_comes_late_is_not_taken() -> None:
    told = ReceivingHost()
    told.receive_report(2, in_flight=5)
    assert not told.receive_report(1, in_flight=3)
    assert told.loads.others_in_flight(TOKEN) == 5


def test_restarted_host_is_heard_at_once() -> None:
    """A host's work is not seen for a while after its restart.

    Its time of day jumped back, or it counts its reports from 1 again. Cause:
    reports of two processes compared with each other.
    """
    told = ReceivingHost()
    told.receive_report(900, in_flight=5)
    assert told.receive_report(1, in_flight=2, incarnation=0)
    assert told.loads.others_in_flight(TOKEN) == 2


def test_silent_host_has_no_work() -> None:
    """An upstream is passed over though a dead host's flows have ended.

    A host is killed; what it reported last counts on. Cause: reports without
    an age.
    """
    told = ReceivingHost()
    told.receive_report(1, in_flight=5, now=10.0)
    assert told.peers.expire_silent(10.5) == []
    assert told.peers.expire_silent(11.7) == [PEER_ADDRESS]
    assert told.loads.others_in_flight(TOKEN) == 0


def test_what_is_no_address_is_left_out() -> None:
    """A host ends when a report names a host at port 99999.

    The report is forged or broken; the next report is sent to that port.
    Cause: an address that nobody checked.
    """
    told = ReceivingHost()
    for host, port in (("10.0.0.3", 99_999), ("nowhere", 5), ("10.0.0.3", 0)):
        told.peers.add(flow.Endpoint(host, port), 1.0)
    told.peers.add(flow.Endpoint("10.0.0.4", 7), 1.0)
    known = [peer.address for peer in told.peers.list_remote("north")]
    assert known == [flow.Endpoint("10.0.0.4", 7)]
    assert told.peers.list_local("north") == []


def test_doubts_of_several_hosts_hold_an_upstream_back() -> None:
    told = ReceivingHost()
    name = suspicions.ids.UpstreamId("i-1")
    told.receive_report(1, missed=1)
    assert not told.suspicions.holds(name, TOKEN, 10.0)
    told.receive_report(2, missed=2)
    assert told.suspicions.holds(name, TOKEN, 10.0)
    told.suspicions.record_answer(name, 10.0)
    assert not told.suspicions.holds(name, TOKEN, 10.1)
    told.receive_report(3, missed=0)
    assert not told.suspicions.holds(name, TOKEN, 20.0)


def test_hosts_do_not_hold_a_live_upstream_back_for_each_other() -> None:
    """Three hosts send all new flows to one upstream of four, for 3 s.

    Hosts join and packets of flows move, so openings at upstreams that live
    seem to be missed at several hosts at once. Each of them then holds these
    upstreams back for what the others missed, and nobody tries again. The
    one that is left refuses requests (503) though three others are idle.
    """
    hosts = [ReceivingHost(), ReceivingHost()]
    name = suspicions.ids.UpstreamId("i-1")
    for host in hosts:
        for at in (10.0, 10.01):
            host.suspicions.record_miss(name, at)
    for at in (10.1, 10.4, 10.8):
        doubts = [host.suspicions.doubt(name, at) for host in hosts]
        for host, missed in zip(hosts, reversed(doubts), strict=True):
            host.receive_report(round(at * 10), missed=missed)
    assert not any(h.suspicions.holds(name, TOKEN, 10.8) for h in hosts)


def test_doubt_is_told_while_a_host_holds_an_upstream_back() -> None:
    told = ReceivingHost()
    name = suspicions.ids.UpstreamId("i-1")
    told.suspicions.record_miss(name, 10.0)
    told.suspicions.record_miss(name, 10.0)
    assert told.suspicions.doubt(name, 10.4) == 2
    assert told.suspicions.doubt(name, 10.6) == 0
    told.suspicions.record_miss(name, 10.7)
    assert told.suspicions.doubt(name, 10.8) == 3
    told.suspicions.record_answer(name, 10.9)
    assert told.suspicions.doubt(name, 10.9) == 0


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 50), strategies.integers(0, 9))
    )
)
def test_sums_are_those_of_the_newest_report(
    reports: list[tuple[int, int]],
) -> None:
    told = ReceivingHost()
    newest = (-1, 0)
    for sequence, in_flight in reports:
        told.receive_report(sequence, in_flight=in_flight)
        if sequence > newest[0]:
            newest = (sequence, in_flight)
    assert told.loads.others_in_flight(TOKEN) == newest[1]


def test_snapshots_come_from_whoever_knows_most_in_any_domain() -> None:
    """An upstream that leaves gets new flows for five seconds.

    A host that has just been added knows a little more than the others of its
    domain; they all pull from it over its thin link, and none gets through.
    Cause: hosts of other domains, which know more, were asked only after it.
    """
    told = ReceivingHost()
    elsewhere = flow.Endpoint("10.0.1.1", 7720)
    told.receive_report(1, revision=5)
    told.receive_report(1, revision=6, peer=elsewhere, domain="south")
    for _ in range(20):
        ahead = told.peers.find_ahead(4)
        assert ahead is not None and ahead.address == elsewhere
    assert told.peers.find_ahead(6) is None


def test_host_of_which_two_reports_are_lost_is_not_silent() -> None:
    """Guards against live hosts taken for silent by two lost datagrams.

    The third report comes later than planned, as waits are drawn.
    """
    told = ReceivingHost()
    told.receive_report(1, now=10.0, interval_ms=2_000)
    assert told.peers.expire_silent(16.6) == []
    assert told.peers.expire_silent(17.1) == [PEER_ADDRESS]
