"""Which hosts follow the store for the others of their failure domain."""

from __future__ import annotations

import xxhash

from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import wake_up
from persimmonhinge.forwarding.peers import peer_table

# How much later than its turn may come a host looks, seconds.
_DEADLINE_SLACK_S = 0.05


class FollowerRole:
    """Tells a host whether it is to follow the store itself.

    One host of each failure domain does, the first by a hash of its name, and
    tells the others; nobody has to agree on it. Calls to the store grow with
    failure domains, not with hosts. The hosts of the domains see by each
    other's reports who is behind, so no second one is needed.

    Attributes:
        reaches_store: False after a failed call, until one is answered.
        leaving: True once a planned stop has begun.
    """

    def __init__(
        self,
        host: str,
        domain: str,
        peers: peer_table.PeerTable,
        knowledge: knowledge_module.Knowledge,
        max_unconfirmed_s: float,
        started_at: float,
    ) -> None:
        """Makes the part of one host.

        Args:
            host: Its name.
            domain: Its failure domain.
            book: The other hosts.
            knowledge: What it believes, and since when.
            current_s: How long it may be confirmed by nobody, seconds.
            now: The time of its start.
        """
        self._host = host
        self._domain = domain
        self._peers = peers
        self._knowledge = knowledge
        self._max_unconfirmed_s = max_unconfirmed_s
        self._started_at = started_at
        self._changed = wake_up.WakeUp()
        peers.add_listener(self._changed.set)
        self.reaches_store = True
        self.leaving = False

    def should_follow(self, now: float) -> bool:
        """Tells whether this host is to follow the store.

        Guards against a failure domain where nobody does though each host
        thinks that another one will: a host whose knowledge was confirmed by
        nobody for too long follows, whatever its place.
        """
        if now > self._compute_stale_at():
            return True
        return self.reaches_store and self.is_selected()

    async def wait_for_change(self, now: float) -> None:
        """Waits until it may be this host's turn.

        Args:
            now: The time.
        """
        rest_s = self._compute_stale_at() - now
        await self._changed.wait(max(rest_s, 0.0) + _DEADLINE_SLACK_S)

    def _compute_stale_at(self) -> float:
        """Returns when its knowledge is confirmed by nobody for too long."""
        confirmed_at = self._knowledge.confirmed_at or self._started_at
        return max(confirmed_at, self._started_at) + self._max_unconfirmed_s

    def is_selected(self) -> bool:
        """Tells whether this host is to follow if it reaches the store."""
        if self.leaving:
            return False
        before = [
            rival
            for rival in self._list_candidates()
            if _rank(rival) < _rank(self._host)
        ]
        return len(before) < self._count_required_followers()

    def is_confirmed_since(self, failed_at: float, now: float) -> bool:
        """Tells whether another host follows, and reached the store since.

        Args:
            moment: When this host last failed to reach it.
            now: The time.
        """
        confirmed_at = self._knowledge.confirmed_at
        if confirmed_at is None or confirmed_at <= failed_at:
            return False
        return not self.should_follow(now)

    def count_domain_hosts(self) -> int:
        """Returns how many hosts of this domain it knows of, itself too."""
        heard = self._peers.list_reporting()
        return 1 + sum(peer.domain == self._domain for peer in heard)

    def _count_required_followers(self) -> int:
        """Returns how many hosts of this domain are to follow.

        With no host of another domain to see that the one is behind, a
        second one is needed.
        """
        for peer in self._peers.list_reporting():
            if peer.domain != self._domain:
                return 1
        return 2

    def _list_candidates(self) -> list[str]:
        reports = [peer.report for peer in self._peers.list_reporting()]
        return [
            report.host
            for report in reports
            if report is not None
            and report.domain == self._domain
            and report.reaches_store
            and not report.leaving
        ]


def _rank(host: str) -> tuple[int, str]:
    return xxhash.xxh32_intdigest(host.encode()), host
