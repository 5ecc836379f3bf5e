"""Which hosts of other failure domains get the next report."""

from __future__ import annotations

from collections.abc import Collection
import math

from persimmonhinge import ids
from persimmonhinge.forwarding.peers import book as books

# With more hosts than this elsewhere, reports to them say no loads: they would
# be seconds old, and new flows hardly ever go there.
MOST_TOLD_LOADS = 16
# Hosts elsewhere that are told in a second when there are more of them. Each
# host hears as many in return, of all domains, so what one domain alone has
# learned is known elsewhere within a second, however many hosts there are.
_TOLD_PER_S = 4
# Most hosts that are told at once.
_MOST_AT_ONCE = 16
# How often a host that was never heard is told where there are no more than
# that, and the time between, seconds: it may start a moment after this one.
_GREETINGS = 4
_GREETING_AGAIN_S = 0.1


class FarAudience:
    """Takes turns among the hosts of other failure domains.

    Guards against reports between domains that grow with the square of hosts.
    Each host is told when the time is over that the report before named; one
    that was never told comes next, so that it soon hears others when it starts.
    Hosts whose domain is not known yet count among those elsewhere.
    """

    def __init__(self, book: books.PeerBook, domain: ids.DomainId) -> None:
        """Makes the turns of a host.

        Args:
            book: The hosts that it knows.
            domain: Its failure domain.
        """
        self._book = book
        self._domain = domain

    def choose_due(self, now: float, round_s: float) -> list[books.Peer]:
        """Returns the hosts to tell in this round, the most overdue first.

        Args:
            now: The time.
            round_s: Time until the next round, seconds.
        """
        ends_at = now + round_s / 2
        due = [p for p in self._list_far() if p.report_due_at <= ends_at]
        due.sort(key=lambda peer: peer.report_due_at)
        return due[:_MOST_AT_ONCE]

    def find_stranger_due(self) -> float:
        """Returns when a host that was never heard is due; never if none is."""
        return min(
            (p.report_due_at for p in self._list_far() if p.heard_at is None),
            default=math.inf,
        )

    def record_told(
        self, peer: books.Peer, interval_s: float, now: float
    ) -> None:
        """Notes that a host is told.

        Args:
            peer: The host.
            interval_s: Time to its next report that it is told, seconds.
            now: The time.
        """
        peer.told += 1
        is_stranger = peer.heard_at is None and peer.told < _GREETINGS
        if is_stranger and len(self._list_far()) <= MOST_TOLD_LOADS:
            interval_s = min(interval_s, _GREETING_AGAIN_S)
        peer.report_due_at = now + interval_s

    def tells_loads(self, due: Collection[books.Peer]) -> bool:
        """Tells whether some hosts are to hear loads.

        They are where hosts elsewhere are few; who is told for the first time
        needs a short report soon rather than a long one.

        Args:
            due: The hosts.
        """
        if len(self._list_far()) > MOST_TOLD_LOADS:
            return False
        return any(peer.heard_at is not None for peer in due)

    def compute_interval(self, round_s: float) -> float:
        """Returns the time until the same host is told again, seconds.

        Args:
            round_s: Time between two rounds, seconds.
        """
        far = len(self._list_far())
        if far <= MOST_TOLD_LOADS:
            return round_s
        return max(round_s, far / _TOLD_PER_S)

    def _list_far(self) -> list[books.Peer]:
        return self._book.list_far(self._domain)
