"""Table of the other hosts and their newest reports."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import math

from persimmonhinge import early_logs
from persimmonhinge import errors
from persimmonhinge import random_sampling
from persimmonhinge import records
from persimmonhinge.forwarding import address_text
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding.decisions.placement import loads as loads_module
from persimmonhinge.forwarding.decisions.upstream_health import (
    suspicions as suspicions_module,
)
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonhinge.forwarding.decisions.demand import (
        picture as picture_module,
    )
    from persimmonhinge.forwarding.decisions.upstream_health import (
        quality as quality_module,
    )
    from persimmonhinge.forwarding.peers import messages

logger = early_logs.get_logger(__name__)

# A host counts as silent when no report came from it for this time, seconds, or
# for this many of its own report intervals if that is longer: two consecutive
# reports may be lost, and each interval may be a tenth longer than announced.
MIN_SILENCE_TIMEOUT_S = 1.2
_SILENCE_TIMEOUT_INTERVALS = 3.5
# A silent host is removed, and gets no more reports, this time after its last
# report, seconds. A host that is alive is added again by its next report.
_REMOVAL_TIMEOUT_S = 30.0
# Maximum number of other hosts, which bounds the memory that reports from
# forged addresses take. A deployment has 610 hosts at most.
_MAX_PEERS = 1_024
# Minimum time between two log lines about a full table, seconds.
_MIN_FULL_LOG_INTERVAL_S = 1.0


class Peer(records.Record):
    """Another host.

    Attributes:
        address: Where it receives reports.
        added_at: When this host added it to the table.
        last_report_at: When its newest report came; None if none did.
        report: Its newest report; None while it is silent.
        domain: Its failure domain; None if it never reported.
        report_due_at: When the next report to it is due, if it is in another
            failure domain.
        sent_reports: Number of reports sent to it on that schedule.
    """

    address: flow.Endpoint
    added_at: float
    last_report_at: float | None = None
    report: messages.Report | None = None
    domain: str | None = None
    report_due_at: float = 0.0
    sent_reports: int = 0

    def is_silent(self, now: float) -> bool:
        """Returns whether its next report is long overdue."""
        return now > self.compute_silent_at()

    def compute_silent_at(self) -> float:
        """Returns the time after which it counts as silent."""
        if self.report is None or self.last_report_at is None:
            return -math.inf
        interval_s = self.report.interval_ms / 1000
        return self.last_report_at + max(
            MIN_SILENCE_TIMEOUT_S, _SILENCE_TIMEOUT_INTERVALS * interval_s
        )


class PeerTable:
    """Keeps the newest report of each host and the totals of all reports.

    Attributes:
        picture: Receives the demand that other hosts report; None without
            overload control.
        quality: Receives the answers and troubles that other hosts report; None
            if the host does not judge the quality of upstreams.
    """

    def __init__(
        self,
        own_address: flow.Endpoint,
        loads: loads_module.LoadTable,
        suspicions: suspicions_module.Suspicions,
    ) -> None:
        """Initializes an empty table.

        Args:
            own_address: Where this host receives reports.
            loads: Receives the loads of upstreams that other hosts report.
            suspicions: Receives the unanswered opening packets that other
                hosts report.
        """
        self._own_address = own_address
        self._loads = loads
        self._suspicions = suspicions
        self.picture: picture_module.DemandPicture | None = None
        self.quality: quality_module.UpstreamQuality | None = None
        self._peers: dict[flow.Endpoint, Peer] = {}
        self._listeners: list[Callable[[], None]] = []
        self._full_logged_at = -math.inf

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a function that is called when the table changes.

        It is called when a host is added, falls silent, or reports a change
        of anything except loads.
        """
        self._listeners.append(listener)

    def add(self, address: flow.Endpoint, now: float) -> None:
        """Adds a host that the settings, a report or a snapshot names.

        An unusable address is ignored: sending to it would terminate this
        host's process.
        """
        if not address_text.is_destination(address):
            text = str(address).encode("ascii", "backslashreplace")
            logger.warning(
                "Ignored a host with an unusable address.",
                extra={"address": text.decode()},
            )
            return
        if address == self._own_address or address in self._peers:
            return
        if len(self._peers) >= _MAX_PEERS:
            self._log_full_table(now)
            return
        self._peers[address] = Peer(address, now, report_due_at=now)
        self._notify_listeners()

    def reaches_store(self, address: flow.Endpoint) -> bool:
        """Returns whether a host last reported that it reaches the store.

        A host without a report counts as one that reaches the store.
        """
        peer = self._peers.get(address)
        if peer is None or peer.report is None:
            return True
        return peer.report.reaches_store

    def apply_report(
        self, address: flow.Endpoint, report: messages.Report, now: float
    ) -> bool:
        """Applies a report unless a newer one of the same host has come.

        Returns:
            True if the report was applied.

        Raises:
            MalformedMessageError: No host can have the address, or too many
                hosts report already.
        """
        peer = self._peers.get(address)
        if peer is None:
            peer = self._add_reporting(address, now)
        previous = peer.report
        if previous is not None and _is_newer(previous, report):
            return False
        self._subtract_report(peer)
        peer.report = report
        peer.domain = report.domain
        peer.last_report_at = now
        if report.loads:
            self._loads.record_report_interval(report.interval_ms / 1000)
        for load in report.loads:
            self._loads.add_reported(
                load.token, load.in_flight, load.average, load.open_flows
            )
            self._suspicions.add_reported_misses(
                load.token, load.missed_openings
            )
            if self.quality is not None:
                self.quality.add_reported(load)
        if self.picture is not None and not report.leaving:
            self.picture.add_host(report.domain)
            self.picture.record_report(report.domain, report.demands, now)
        if previous is None or _list_decision_fields(
            previous
        ) != _list_decision_fields(report):
            self._notify_listeners()
        return True

    def _add_reporting(self, address: flow.Endpoint, now: float) -> Peer:
        """Adds a host that has just reported.

        Guards against memory that grows with the number of source addresses. If
        the table is full, the host replaces one that does not report.
        """
        if address == self._own_address or not address_text.is_destination(
            address
        ):
            raise _make_source_error("is no address of another host")
        if len(self._peers) >= _MAX_PEERS:
            self._log_full_table(now)
            unheard = next(
                (p for p in self._peers.values() if not p.report), None
            )
            if unheard is None:
                raise _make_source_error(f"is not one of {_MAX_PEERS} hosts")
            del self._peers[unheard.address]
        peer = self._peers[address] = Peer(address, now, report_due_at=now)
        return peer

    def _log_full_table(self, now: float) -> None:
        if now - self._full_logged_at >= _MIN_FULL_LOG_INTERVAL_S:
            self._full_logged_at = now
            logger.warning(
                "The table of hosts is full.", extra={"hosts": _MAX_PEERS}
            )

    def expire_silent(self, now: float) -> list[flow.Endpoint]:
        """Discards the reports of silent hosts; later removes the hosts.

        Returns:
            The hosts that have fallen silent since the last call.
        """
        silent = []
        for peer in list(self._peers.values()):
            last_seen_at = peer.last_report_at or peer.added_at
            if peer.report is not None and peer.is_silent(now):
                self._subtract_report(peer)
                peer.report = None
                silent.append(peer.address)
            if peer.report is None and now - last_seen_at > _REMOVAL_TIMEOUT_S:
                del self._peers[peer.address]
        if silent:
            self._notify_listeners()
        return silent

    def find_next_silent_at(self, now: float) -> float:
        """Returns a time before which no host falls silent.

        A report that comes after this call either postpones that time, or is
        the first one of a host, which then has at least the minimum timeout.
        """
        silent_times = [
            p.compute_silent_at() for p in self._peers.values() if p.report
        ]
        return min([*silent_times, now + MIN_SILENCE_TIMEOUT_S])

    def list_reporting(self) -> list[Peer]:
        """Returns the hosts that have reported and are not silent."""
        return [p for p in self._peers.values() if p.report is not None]

    def list_host_names(self) -> list[str]:
        """Returns the names of the hosts that `list_reporting` returns."""
        return [p.report.host for p in self._peers.values() if p.report]

    def list_local(self, domain: str) -> list[flow.Endpoint]:
        """Returns the addresses of the known hosts of a failure domain."""
        return [p.address for p in self._peers.values() if p.domain == domain]

    def list_remote(self, domain: str) -> list[Peer]:
        """Returns the hosts that are not known to be in a failure domain."""
        return [p for p in self._peers.values() if p.domain != domain]

    def find_ahead_in_upstreams(
        self, revision: int, excluded: Collection[flow.Endpoint] = ()
    ) -> Peer | None:
        """Returns a host with newer upstream entries; see `find_ahead`."""
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
        """Returns a host that is ahead of a revision, None if none is.

        The result is a random one of the hosts with the highest revision, in
        any failure domain, so that not all hosts pull a long desired state
        over the slow link of the host that received it first.

        Args:
            revision: The revision that this host is complete to.
            excluded: Addresses of hosts that must not be asked now.
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
        """Returns the addresses of a random sample of the reporting hosts.

        Args:
            max_count: Maximum number of addresses.
            domain: Failure domain of the hosts; None for any domain.
        """
        addresses = [
            peer.address
            for peer in self.list_reporting()
            if domain in (None, peer.domain)
        ]
        return tuple(random_sampling.sample(addresses, max_count))

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    def _subtract_report(self, peer: Peer) -> None:
        if peer.report is None:
            return
        for load in peer.report.loads:
            self._loads.add_reported(
                load.token, -load.in_flight, -load.average, -load.open_flows
            )
            self._suspicions.add_reported_misses(
                load.token, -load.missed_openings
            )
            if self.quality is not None:
                self.quality.withdraw_reported(load)
        if self.picture is not None and not peer.report.leaving:
            self.picture.remove_host(peer.report.domain)


def _make_source_error(reason: str) -> errors.MalformedMessageError:
    return errors.MalformedMessageError(
        reason, step="apply report", field="source"
    )


def _choose_newest(ahead: Iterable[tuple[int, Peer]]) -> Peer | None:
    """Returns a random one of the hosts with the highest revision.

    Returns None if there are no hosts.
    """
    candidates = list(ahead)
    if not candidates:
        return None
    newest = max(revision for revision, _ in candidates)
    return random_sampling.choose(
        [peer for revision, peer in candidates if revision == newest]
    )


def _list_decision_fields(report: messages.Report) -> tuple[object, ...]:
    """Returns the fields that other hosts base decisions on, except loads."""
    return (
        report.host,
        report.domain,
        report.revision,
        report.compute_upstreams_revision(),
        report.leaving,
        report.reaches_store,
    )


def _is_newer(previous: messages.Report, report: messages.Report) -> bool:
    if previous.incarnation != report.incarnation:
        return False
    return previous.sequence >= report.sequence
