"""The hosts that a host hears, and what they last told."""

from __future__ import annotations

import _socket
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import math

from persimmonhinge import early_logs
from persimmonhinge import random_sampling
from persimmonhinge import records
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding.decisions import loads as load_books
from persimmonhinge.forwarding.decisions import suspicions as suspicion_lists
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonhinge.forwarding.peers import messages

logger = early_logs.get_logger(__name__)

# A host that told nothing for so long counts as silent, seconds, or for so many
# of its own intervals between reports if that is longer: two reports in a row
# may be lost, and the third one comes up to a tenth of each interval later.
SILENT_S = 1.2
_SILENT_INTERVALS = 3.5
# A silent host is told no more after this time, seconds; one that lives is
# heard again, since it goes on telling.
_FORGET_S = 30.0
_LAST_PORT = 65_535


class Peer(records.Record):
    """Another host.

    Attributes:
        address: Where it receives reports.
        known_since: When this host first heard of it.
        heard_at: When its newest report came; None if none did.
        report: Its newest report; None while it is silent.
        domain: Its failure domain, None if it never said so.
        report_due_at: When this host is to report to it, if it is in another
            failure domain.
        told: How many reports to it were sent then.
    """

    address: flows.Endpoint
    known_since: float
    heard_at: float | None = None
    report: messages.Report | None = None
    domain: str | None = None
    report_due_at: float = 0.0
    told: int = 0

    def is_silent(self, now: float) -> bool:
        """Tells whether its next report is long overdue."""
        return now > self.silent_at()

    def silent_at(self) -> float:
        """Returns after which time its next report is long overdue."""
        if self.report is None or self.heard_at is None:
            return -math.inf
        interval_s = self.report.interval_ms / 1000
        return self.heard_at + max(SILENT_S, _SILENT_INTERVALS * interval_s)


class PeerBook:
    """Keeps the newest report of each host, and what they say together."""

    def __init__(
        self,
        own: flows.Endpoint,
        loads: load_books.LoadTable,
        suspicions: suspicion_lists.Suspicions,
    ) -> None:
        """Makes an empty book.

        Args:
            own: Where this host receives reports.
            loads: Where the work that others see is entered.
            suspicions: Where the doubts of others are entered.
        """
        self._own = own
        self._loads = loads
        self._suspicions = suspicions
        self._peers: dict[flows.Endpoint, Peer] = {}
        self._listeners: list[Callable[[], None]] = []

    def listen(self, listener: Callable[[], None]) -> None:
        """Has a function be called when something is to be looked at anew.

        That is when a host is added, falls silent, or reports anything else
        than before but loads.
        """
        self._listeners.append(listener)

    def add(self, address: flows.Endpoint, now: float) -> None:
        """Adds a host that was named by somebody.

        Guards against a report that names what is no address: to send there
        would end the host.
        """
        if not _is_usable(address):
            logger.warning("Left out a host.", extra={"address": str(address)})
            return
        if address != self._own and address not in self._peers:
            self._peers[address] = Peer(address, now, report_due_at=now)
            self._tell_listeners()

    def reaches_store(self, address: flows.Endpoint) -> bool:
        """Tells whether a host said last that the store answers it."""
        peer = self._peers.get(address)
        if peer is None or peer.report is None:
            return True
        return peer.report.reaches_store

    def take(
        self, address: flows.Endpoint, report: messages.Report, now: float
    ) -> bool:
        """Takes in a report unless a newer one has come.

        Returns:
            True if it was taken in.
        """
        peer = self._peers.get(address)
        if peer is None:
            peer = Peer(address, now, report_due_at=now)
            self._peers[address] = peer
        former = peer.report
        if former is not None and _is_newer(former, report):
            return False
        self._withdraw(peer)
        peer.report = report
        peer.domain = report.domain
        peer.heard_at = now
        for line in report.loads:
            self._loads.add_reported(line.token, line.in_flight, line.average)
            self._suspicions.add_reported_misses(
                line.token, line.missed_openings
            )
        if former is None or _list_facts(former) != _list_facts(report):
            self._tell_listeners()
        return True

    def drop_silent(self, now: float) -> list[flows.Endpoint]:
        """Forgets what silent hosts told; returns those that fell silent."""
        silent = []
        for peer in list(self._peers.values()):
            heard_at = peer.heard_at or peer.known_since
            if peer.report is not None and peer.is_silent(now):
                self._withdraw(peer)
                peer.report = None
                silent.append(peer.address)
            if peer.report is None and now - heard_at > _FORGET_S:
                del self._peers[peer.address]
        if silent:
            self._tell_listeners()
        return silent

    def find_next_silence(self, now: float) -> float:
        """Returns a time before which no host falls silent.

        A report that comes later puts the time off, or is of a host that may
        fall silent after the shortest limit.
        """
        heard = [p.silent_at() for p in self._peers.values() if p.report]
        return min([*heard, now + SILENT_S])

    def heard(self) -> list[Peer]:
        """Returns the hosts whose reports count."""
        return [p for p in self._peers.values() if p.report is not None]

    def list_hosts(self) -> list[str]:
        """Returns the names of the hosts whose reports count."""
        return [p.report.host for p in self._peers.values() if p.report]

    def list_near(self, domain: str) -> list[flows.Endpoint]:
        """Returns the hosts that are known to be of a failure domain."""
        return [p.address for p in self._peers.values() if p.domain == domain]

    def list_far(self, domain: str) -> list[Peer]:
        """Returns the hosts that are not known to be of a failure domain."""
        return [p for p in self._peers.values() if p.domain != domain]

    def find_ahead_in_upstreams(
        self, revision: int, without: Collection[flows.Endpoint] = ()
    ) -> Peer | None:
        """Returns a host that knows more of upstreams; see `find_ahead`."""
        return _choose_newest(
            (peer.report.known_upstreams(), peer)
            for peer in self._peers.values()
            if peer.report is not None
            and peer.report.known_upstreams() > revision
            and peer.address not in without
        )

    def find_ahead(
        self, revision: int, without: Collection[flows.Endpoint] = ()
    ) -> Peer | None:
        """Returns a host that knows more than a revision, None if none does.

        Guards against many hosts that pull a long desired state from the one
        that heard of it first, over its thin link: any that knows most will
        do, in whichever failure domain.

        Args:
            revision: What the asking host knows.
            without: Hosts that are not to be asked now.
        """
        return _choose_newest(
            (peer.report.revision, peer)
            for peer in self._peers.values()
            if peer.report is not None
            and peer.report.revision > revision
            and peer.address not in without
        )

    def pick_addresses(
        self, most: int, domain: str | None = None
    ) -> tuple[flows.Endpoint, ...]:
        """Returns some of the hosts that are heard.

        Args:
            most: How many at most.
            domain: Only of this failure domain, if given.
        """
        heard = [
            peer.address
            for peer in self.heard()
            if domain in (None, peer.domain)
        ]
        return tuple(random_sampling.sample(heard, most))

    def _tell_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    def _withdraw(self, peer: Peer) -> None:
        if peer.report is None:
            return
        for line in peer.report.loads:
            self._loads.add_reported(line.token, -line.in_flight, -line.average)
            self._suspicions.add_reported_misses(
                line.token, -line.missed_openings
            )


def _choose_newest(ahead: Iterable[tuple[int, Peer]]) -> Peer | None:
    """Returns one of the hosts of the highest revision, None without any."""
    found = list(ahead)
    if not found:
        return None
    newest = max(known for known, _ in found)
    return random_sampling.choose(
        [peer for known, peer in found if known == newest]
    )


def _list_facts(report: messages.Report) -> tuple[object, ...]:
    """Returns what others decide by, apart from loads."""
    return (
        report.host,
        report.domain,
        report.revision,
        report.known_upstreams(),
        report.leaving,
        report.reaches_store,
    )


def _is_usable(address: flows.Endpoint) -> bool:
    try:
        _socket.inet_aton(address.host)
    except OSError:
        return False
    return 0 < address.port <= _LAST_PORT


def _is_newer(former: messages.Report, report: messages.Report) -> bool:
    if former.incarnation != report.incarnation:
        return False
    return former.sequence >= report.sequence
