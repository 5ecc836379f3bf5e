"""Which hosts of other failure domains get the next report."""

from __future__ import annotations

from collections.abc import Collection
import math

from persimmonhinge import ids
from persimmonhinge.forwarding.peers import peer_table

# With more hosts than this elsewhere, reports to them say no loads: they would
# be seconds old, and new flows hardly ever go there.
MAX_REMOTE_HOSTS_WITH_LOADS = 16
# Hosts elsewhere that are told in a second when there are more of them. Each
# host hears as many in return, of all domains, so what one domain alone has
# learned is known elsewhere within a second, however many hosts there are.
_REMOTE_REPORTS_PER_S = 4
# Most hosts that are told at once.
_MAX_REPORTS_PER_ROUND = 16
# How often a host that was never heard is told where there are no more than
# that, and the time between, seconds: it may start a moment after this one.
_MAX_INITIAL_REPORTS = 4
_INITIAL_REPORT_INTERVAL_S = 0.1


class RemoteReportSchedule:
    """Takes turns among the hosts of other failure domains.

    Guards against reports between domains that grow with the square of hosts.
    Each host is told when the time is over that the report before named; one
    that was never told comes next, so that it soon hears others when it starts.
    Hosts whose domain is not known yet count among those elsewhere.
    """

    def __init__(
        self, peers: peer_table.PeerTable, domain: ids.DomainId
    ) -> None:
        """Makes the turns of a host.

        Args:
            book: The hosts that it knows.
            domain: Its failure domain.
        """
        self._peers = peers
        self._domain = domain

    def choose_due(self, now: float, round_s: float) -> list[peer_table.Peer]:
        """Returns the hosts to tell in this round, the most overdue first.

        Args:
            now: The time.
            round_s: Time until the next round, seconds.
        """
        ends_at = now + round_s / 2
        due = [p for p in self._list_remote() if p.report_due_at <= ends_at]
        due.sort(key=lambda peer: peer.report_due_at)
        return due[:_MAX_REPORTS_PER_ROUND]

    def find_new_host_due_at(self) -> float:
        """Returns when a host that was never heard is due; never if none is."""
        return min(
            (
                p.report_due_at
                for p in self._list_remote()
                if p.last_report_at is None
            ),
            default=math.inf,
        )

    def record_sent(
        self, peer: peer_table.Peer, interval_s: float, now: float
    ) -> None:
        """Notes that a host is told.

        Args:
            peer: The host.
            interval_s: Time to its next report that it is told, seconds.
            now: The time.
        """
        peer.sent_reports += 1
        is_stranger = (
            peer.last_report_at is None
            and peer.sent_reports < _MAX_INITIAL_REPORTS
        )
        if (
            is_stranger
            and len(self._list_remote()) <= MAX_REMOTE_HOSTS_WITH_LOADS
        ):
            interval_s = min(interval_s, _INITIAL_REPORT_INTERVAL_S)
        peer.report_due_at = now + interval_s

    def should_send_loads(self, due: Collection[peer_table.Peer]) -> bool:
        """Tells whether some hosts are to hear loads.

        They are where hosts elsewhere are few; who is told for the first time
        needs a short report soon rather than a long one.

        Args:
            due: The hosts.
        """
        if len(self._list_remote()) > MAX_REMOTE_HOSTS_WITH_LOADS:
            return False
        return any(peer.last_report_at is not None for peer in due)

    def compute_interval(self, round_s: float) -> float:
        """Returns the time until the same host is told again, seconds.

        Args:
            round_s: Time between two rounds, seconds.
        """
        far = len(self._list_remote())
        if far <= MAX_REMOTE_HOSTS_WITH_LOADS:
            return round_s
        return max(round_s, far / _REMOTE_REPORTS_PER_S)

    def _list_remote(self) -> list[peer_table.Peer]:
        return self._peers.list_remote(self._domain)
