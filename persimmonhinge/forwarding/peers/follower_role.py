"""Role of a host that follows the store for its failure domain."""

from __future__ import annotations

import xxhash

from persimmonhinge.forwarding import auto_reset_event
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding.peers import peer_table

# Delay with which a host checks its role again after the last confirmation of
# its view of the platform has expired, seconds.
_DEADLINE_SLACK_S = 0.05


class FollowerRole:
    """Decides whether a host follows the store itself.

    One host of each failure domain follows the store, the first by a hash of
    its name, and sends updates to the others; the hosts need no agreement on
    it. Calls to the store thus grow with the number of failure domains, not of
    hosts. Hosts see from the reports of other domains when their own domain is
    behind, so a domain needs a second follower only if it is the only domain.

    Attributes:
        reaches_store: False after a call to the store has failed, until one is
            answered.
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
        """Initializes the role of one host.

        Args:
            host: Name of the host.
            domain: Its failure domain.
            peers: The other hosts.
            knowledge: Its view of the platform, with the time of the last
                confirmation.
            max_unconfirmed_s: Time after which the host follows the store if
                no confirmation came, seconds.
            started_at: The time of its start.
        """
        self._host = host
        self._domain = domain
        self._peers = peers
        self._knowledge = knowledge
        self._max_unconfirmed_s = max_unconfirmed_s
        self._started_at = started_at
        self._changed = auto_reset_event.AutoResetEvent()
        peers.add_listener(self._changed.set)
        self.reaches_store = True
        self.leaving = False

    def should_follow(self, now: float) -> bool:
        """Returns whether this host has to follow the store now.

        A host whose view of the platform was not confirmed for too long follows
        the store regardless of its rank. Otherwise no host of a failure domain
        might follow because each expects another one to.
        """
        if now > self._compute_stale_at():
            return True
        return self.reaches_store and self.is_selected()

    async def wait_for_change(self, now: float) -> None:
        """Waits until this host may have to follow the store.

        Args:
            now: The current time.
        """
        remaining_s = self._compute_stale_at() - now
        await self._changed.wait(max(remaining_s, 0.0) + _DEADLINE_SLACK_S)

    def _compute_stale_at(self) -> float:
        """Returns when the last confirmation of this host's view expires."""
        confirmed_at = self._knowledge.confirmed_at or self._started_at
        return max(confirmed_at, self._started_at) + self._max_unconfirmed_s

    def is_selected(self) -> bool:
        """Returns whether this host follows by rank if it reaches the store."""
        if self.leaving:
            return False
        ranked_before = [
            candidate
            for candidate in self._list_candidates()
            if _rank(candidate) < _rank(self._host)
        ]
        return len(ranked_before) < self._count_required_followers()

    def has_other_follower_since(self, failed_at: float, now: float) -> bool:
        """Returns whether another host follows and has since reached the store.

        Args:
            failed_at: When this host last failed to reach the store.
            now: The current time.
        """
        confirmed_at = self._knowledge.confirmed_at
        if confirmed_at is None or confirmed_at <= failed_at:
            return False
        return not self.should_follow(now)

    def count_domain_hosts(self) -> int:
        """Returns the number of known hosts of this domain, with this host."""
        reporting = self._peers.list_reporting()
        return 1 + sum(peer.domain == self._domain for peer in reporting)

    def _count_required_followers(self) -> int:
        """Returns how many hosts of this domain have to follow the store.

        A second one is needed if there is no other domain whose reports would
        show that the only follower is behind.
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
