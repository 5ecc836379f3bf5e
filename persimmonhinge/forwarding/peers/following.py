"""Which hosts follow the store for the others of their failure domain."""

from __future__ import annotations

import xxhash

from persimmonhinge.forwarding import auto_reset_event
from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.forwarding.peers import book as books

# How much later than its turn may come a host looks, seconds.
_TURN_SLACK_S = 0.05


class Following:
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
        book: books.PeerBook,
        knowledge: knowledge_parts.Knowledge,
        current_s: float,
        now: float,
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
        self._book = book
        self._knowledge = knowledge
        self._current_s = current_s
        self._started_at = now
        self._changed = auto_reset_event.AutoResetEvent()
        book.listen(self._changed.set)
        self.reaches_store = True
        self.leaving = False

    def is_due(self, now: float) -> bool:
        """Tells whether this host is to follow the store.

        Guards against a failure domain where nobody does though each host
        thinks that another one will: a host whose knowledge was confirmed by
        nobody for too long follows, whatever its place.
        """
        if now > self._find_unconfirmed_at():
            return True
        return self.reaches_store and self.is_next()

    async def wait_for_change(self, now: float) -> None:
        """Waits until it may be this host's turn.

        Args:
            now: The time.
        """
        rest_s = self._find_unconfirmed_at() - now
        await self._changed.wait(max(rest_s, 0.0) + _TURN_SLACK_S)

    def _find_unconfirmed_at(self) -> float:
        """Returns when its knowledge is confirmed by nobody for too long."""
        confirmed_at = self._knowledge.confirmed_at or self._started_at
        return max(confirmed_at, self._started_at) + self._current_s

    def is_next(self) -> bool:
        """Tells whether this host is to follow if it reaches the store."""
        if self.leaving:
            return False
        before = [
            rival
            for rival in self._list_rivals()
            if _rank(rival) < _rank(self._host)
        ]
        return len(before) < self._count_needed()

    def is_told_since(self, moment: float, now: float) -> bool:
        """Tells whether another host follows, and reached the store since.

        Args:
            moment: When this host last failed to reach it.
            now: The time.
        """
        confirmed_at = self._knowledge.confirmed_at
        if confirmed_at is None or confirmed_at <= moment:
            return False
        return not self.is_due(now)

    def count_domain(self) -> int:
        """Returns how many hosts of this domain it knows of, itself too."""
        heard = self._book.heard()
        return 1 + sum(peer.domain == self._domain for peer in heard)

    def _count_needed(self) -> int:
        """Returns how many hosts of this domain are to follow.

        With no host of another domain to see that the one is behind, a
        second one is needed.
        """
        for peer in self._book.heard():
            if peer.domain != self._domain:
                return 1
        return 2

    def _list_rivals(self) -> list[str]:
        reports = [peer.report for peer in self._book.heard()]
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
