"""Schedule of the reports to hosts of other failure domains."""

from __future__ import annotations

from collections.abc import Collection
import math

from persimmonhinge import ids
from persimmonhinge.forwarding.peers import peer_table

# With more hosts than this in other domains, reports to them contain no loads:
# the loads would be seconds old, and new flows hardly ever go to other domains.
MAX_REMOTE_HOSTS_WITH_LOADS = 16
# Reports per second that a host sends to other domains if these have more than
# `MAX_REMOTE_HOSTS_WITH_LOADS` hosts. Each host also receives as many, from all
# other domains, so information that only one domain has reaches the others
# within a second, whatever the number of hosts.
_REMOTE_REPORTS_PER_S = 4
# Maximum number of hosts that get a report in one round.
_MAX_REPORTS_PER_ROUND = 16
# Number of reports sent in quick succession to a host that has never reported,
# and the time between them, seconds: that host may start a moment later than
# this one. They apply if other domains have at most
# `MAX_REMOTE_HOSTS_WITH_LOADS` hosts.
_MAX_INITIAL_REPORTS = 4
_INITIAL_REPORT_INTERVAL_S = 0.1


class RemoteReportSchedule:
    """Selects the hosts of other failure domains that get a report next.

    Keeps the number of reports between domains from growing with the square of
    the number of hosts. A host gets its next report after the interval that
    its previous report announced. A host that never got a report is due at
    once, so that other domains report to a new host shortly after its start.
    Hosts whose domain is not known yet are treated as hosts of other domains.
    """

    def __init__(
        self, peers: peer_table.PeerTable, domain: ids.DomainId
    ) -> None:
        """Initializes the schedule of one host.

        Args:
            peers: The other hosts that it knows.
            domain: Its own failure domain.
        """
        self._peers = peers
        self._domain = domain

    def choose_due(self, now: float, round_s: float) -> list[peer_table.Peer]:
        """Returns the hosts that get a report now, the most overdue first.

        Args:
            now: The current monotonic time, seconds.
            round_s: Time until the next round, seconds.
        """
        ends_at = now + round_s / 2
        due = [p for p in self._list_remote() if p.report_due_at <= ends_at]
        due.sort(key=lambda peer: peer.report_due_at)
        return due[:_MAX_REPORTS_PER_ROUND]

    def find_new_host_due_at(self) -> float:
        """Returns when the next report to a host that never reported is due.

        The result is infinite if every known host has reported.
        """
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
        """Records a report to a host and schedules the next one.

        Args:
            peer: The host.
            interval_s: Time until the next report that this report announces,
                seconds.
            now: The current monotonic time, seconds.
        """
        peer.sent_reports += 1
        is_new_host = (
            peer.last_report_at is None
            and peer.sent_reports < _MAX_INITIAL_REPORTS
        )
        if (
            is_new_host
            and len(self._list_remote()) <= MAX_REMOTE_HOSTS_WITH_LOADS
        ):
            interval_s = min(interval_s, _INITIAL_REPORT_INTERVAL_S)
        peer.report_due_at = now + interval_s

    def should_send_loads(self, due: Collection[peer_table.Peer]) -> bool:
        """Returns whether the reports to some hosts contain loads.

        They do if other domains have few hosts and one of the receivers has
        reported. A host that has not reported yet needs a short report soon
        rather than a long one.

        Args:
            due: The hosts that get the reports.
        """
        if len(self._list_remote()) > MAX_REMOTE_HOSTS_WITH_LOADS:
            return False
        return any(peer.last_report_at is not None for peer in due)

    def compute_interval(self, round_s: float) -> float:
        """Returns the time until the next report to the same host, seconds.

        Args:
            round_s: Time between two rounds, seconds.
        """
        remote_hosts = len(self._list_remote())
        if remote_hosts <= MAX_REMOTE_HOSTS_WITH_LOADS:
            return round_s
        return max(round_s, remote_hosts / _REMOTE_REPORTS_PER_S)

    def _list_remote(self) -> list[peer_table.Peer]:
        return self._peers.list_remote(self._domain)
