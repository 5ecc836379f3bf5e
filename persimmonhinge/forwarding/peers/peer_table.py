"""The hosts that a host hears, and what they last told."""

from __future__ import annotations

import _socket
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import math

from persimmonhinge import draws
from persimmonhinge import early_logs
from persimmonhinge import records
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding.decisions import loads as loads_module
from persimmonhinge.forwarding.decisions import suspicions as suspicions_module
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonhinge.forwarding.peers import messages

logger = early_logs.get_logger(__name__)

# A host that told nothing for so long counts as silent, seconds, or for so many
# of its own intervals between reports if that is longer: two reports in a row
# may be lost, and the third one comes up to a tenth of each interval later.
MIN_SILENCE_TIMEOUT_S = 1.2
_SILENCE_TIMEOUT_INTERVALS = 3.5
# A silent host is told no more after this time, seconds; one that lives is
# heard again, since it goes on telling.
_REMOVAL_TIMEOUT_S = 30.0
_MAX_PORT = 65_535


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

    address: flow.Endpoint
    added_at: float
    last_report_at: float | None = None
    report: messages.Report | None = None
    domain: str | None = None
    report_due_at: float = 0.0
    sent_reports: int = 0

    def is_silent(self, now: float) -> bool:
        """Tells whether its next report is long overdue."""
        return now > self.compute_silent_at()

    def compute_silent_at(self) -> float:
        """Returns after which time its next report is long overdue."""
        if self.report is None or self.last_report_at is None:
            return -math.inf
        interval_s = self.report.interval_ms / 1000
        return self.last_report_at + max(
            MIN_SILENCE_TIMEOUT_S, _SILENCE_TIMEOUT_INTERVALS * interval_s
        )


class PeerTable:
    """Keeps the newest report of each host, and what they say together."""

    def __init__(
        self,
        own_address: flow.Endpoint,
        loads: loads_module.LoadBook,
        suspicions: suspicions_module.Suspicions,
    ) -> None:
        """Makes an empty book.

        Args:
            own: Where this host receives reports.
            loads: Where the work that others see is entered.
            suspicions: Where the doubts of others are entered.
        """
        self._own_address = own_address
        self._loads = loads
        self._suspicions = suspicions
        self._peers: dict[flow.Endpoint, Peer] = {}
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Has a function be called when something is to be looked at anew.

        That is when a host is added, falls silent, or reports anything else
        than before but loads.
        """
        self._listeners.append(listener)

    def add(self, address: flow.Endpoint, now: float) -> None:
        """Adds a host that was named by somebody.

        Guards against a report that names what is no address: to send there
        would end the host.
        """
        if not _is_usable(address):
            logger.warning("Left out a host.", extra={"address": str(address)})
            return
        if address != self._own_address and address not in self._peers:
            self._peers[address] = Peer(address, now, report_due_at=now)
            self._notify_listeners()

    def reaches_store(self, address: flow.Endpoint) -> bool:
        """Tells whether a host said last that the store answers it."""
        peer = self._peers.get(address)
        if peer is None or peer.report is None:
            return True
        return peer.report.reaches_store

    def apply_report(
        self, address: flow.Endpoint, report: messages.Report, now: float
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
        self._subtract_report(peer)
        peer.report = report
        peer.domain = report.domain
        peer.last_report_at = now
        for line in report.loads:
            self._loads.add_others(line.token, line.in_flight, line.average)
            self._suspicions.add_others(line.token, line.missed)
        if former is None or _list_decision_fields(
            former
        ) != _list_decision_fields(report):
            self._notify_listeners()
        return True

    def expire_silent(self, now: float) -> list[flow.Endpoint]:
        """Forgets what silent hosts told; returns those that fell silent."""
        silent = []
        for peer in list(self._peers.values()):
            heard_at = peer.last_report_at or peer.added_at
            if peer.report is not None and peer.is_silent(now):
                self._subtract_report(peer)
                peer.report = None
                silent.append(peer.address)
            if peer.report is None and now - heard_at > _REMOVAL_TIMEOUT_S:
                del self._peers[peer.address]
        if silent:
            self._notify_listeners()
        return silent

    def find_next_silent_at(self, now: float) -> float:
        """Returns a time before which no host falls silent.

        A report that comes later puts the time off, or is of a host that may
        fall silent after the shortest limit.
        """
        heard = [
            p.compute_silent_at() for p in self._peers.values() if p.report
        ]
        return min([*heard, now + MIN_SILENCE_TIMEOUT_S])

    def list_reporting(self) -> list[Peer]:
        """Returns the hosts whose reports count."""
        return [p for p in self._peers.values() if p.report is not None]

    def list_host_names(self) -> list[str]:
        """Returns the names of the hosts whose reports count."""
        return [p.report.host for p in self._peers.values() if p.report]

    def list_local(self, domain: str) -> list[flow.Endpoint]:
        """Returns the hosts that are known to be of a failure domain."""
        return [p.address for p in self._peers.values() if p.domain == domain]

    def list_remote(self, domain: str) -> list[Peer]:
        """Returns the hosts that are not known to be of a failure domain."""
        return [p for p in self._peers.values() if p.domain != domain]

    def find_ahead_in_upstreams(
        self, revision: int, excluded: Collection[flow.Endpoint] = ()
    ) -> Peer | None:
        """Returns a host that knows more of upstreams; see `find_ahead`."""
        return _choose_newest(
            (peer.report.compute_upstreams_revision(), peer)
            for peer in self._peers.values()
            if peer.report is not None
            and peer.report.compute_upstreams_revision() > revision
            and peer.address not in excluded
        )

    def find_ahead(
        self, revision: int, excluded: Collection[flow.Endpoint] = ()
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
            and peer.address not in excluded
        )

    def sample_addresses(
        self, max_count: int, domain: str | None = None
    ) -> tuple[flow.Endpoint, ...]:
        """Returns some of the hosts that are heard.

        Args:
            most: How many at most.
            domain: Only of this failure domain, if given.
        """
        heard = [
            peer.address
            for peer in self.list_reporting()
            if domain in (None, peer.domain)
        ]
        return tuple(draws.sample(heard, max_count))

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    def _subtract_report(self, peer: Peer) -> None:
        if peer.report is None:
            return
        for line in peer.report.loads:
            self._loads.add_others(line.token, -line.in_flight, -line.average)
            self._suspicions.add_others(line.token, -line.missed)


def _choose_newest(ahead: Iterable[tuple[int, Peer]]) -> Peer | None:
    """Returns one of the hosts of the highest revision, None without any."""
    found = list(ahead)
    if not found:
        return None
    newest = max(known for known, _ in found)
    return draws.choose([peer for known, peer in found if known == newest])


def _list_decision_fields(report: messages.Report) -> tuple[object, ...]:
    """Returns what others decide by, apart from loads."""
    return (
        report.host,
        report.domain,
        report.revision,
        report.compute_upstreams_revision(),
        report.leaving,
        report.reaches_store,
    )


def _is_usable(address: flow.Endpoint) -> bool:
    try:
        _socket.inet_aton(address.host)
    except OSError:
        return False
    return 0 < address.port <= _MAX_PORT


def _is_newer(former: messages.Report, report: messages.Report) -> bool:
    if former.incarnation != report.incarnation:
        return False
    return former.sequence >= report.sequence
