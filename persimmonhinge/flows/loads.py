"""Estimates of the load of upstreams from the keepers' reports."""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
import math

from persimmonhinge import ids
from persimmonhinge.contracts import contract
from persimmonhinge.peers.messages import work

UpstreamKey = tuple[ids.ServiceName, ids.UpstreamId]
_WorkKey = tuple[ids.ServiceName, ids.UpstreamId, contract.CallKind]
_RECENT_DECAY_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """A load report, with this host's own work when it arrived."""

    load: work.UpstreamLoad
    own_requests: int
    own_feeds: int


@dataclasses.dataclass(frozen=True, slots=True)
class _RecentWork:
    """The decayed amount of started work at the time `counted_at`."""

    amount: float
    counted_at: float


class LoadTracker:
    """The last report on each upstream, corrected by this host's own work.

    A report is outdated by the time it is used. The requests and feeds that
    this host has started and ended since then are known exactly, so the
    estimate includes them. Those of other hosts are not known.
    """

    def __init__(self, read_clock: Callable[[], float]) -> None:
        """Creates a tracker without reports.

        Args:
            read_clock: Function that returns the current time, seconds.
        """
        self._read_clock = read_clock
        self._recent_work: dict[_WorkKey, _RecentWork] = {}
        self._reports: dict[UpstreamKey, _Report] = {}
        self._own_work: collections.Counter[_WorkKey] = collections.Counter()

    def record_load(
        self, service: ids.ServiceName, load: work.UpstreamLoad
    ) -> None:
        """Records a keeper's report on an upstream."""
        key = (service, load.upstream)
        self._reports[key] = _Report(
            load,
            self.count_own(*key, contract.CallKind.REQUEST),
            self.count_own(*key, contract.CallKind.FEED),
        )

    def record_start(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contract.CallKind,
    ) -> None:
        """Counts a request or feed that this host has started."""
        key = (service, upstream, kind)
        self._own_work[key] += 1
        amount = self.count_recent(service, upstream, kind) + 1
        self._recent_work[key] = _RecentWork(amount, self._read_clock())

    def record_end(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contract.CallKind,
    ) -> None:
        """Counts a request or feed that this host has ended."""
        key = (service, upstream, kind)
        self._own_work[key] -= 1
        if self._own_work[key] <= 0:
            del self._own_work[key]

    def count_own(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contract.CallKind,
    ) -> int:
        """Returns how many requests or feeds of this host an upstream has."""
        return self._own_work[(service, upstream, kind)]

    def count_recent(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contract.CallKind,
    ) -> float:
        """Returns the amount of work that this host recently started.

        The weight of each request or feed decays exponentially with its age.
        Without this decay, an upstream that returns after an absence would
        get all new work until its total equals that of the others.
        """
        recent = self._recent_work.get((service, upstream, kind))
        if recent is None:
            return 0.0
        age_s = self._read_clock() - recent.counted_at
        return recent.amount * math.exp(-age_s / _RECENT_DECAY_S)

    def get_load(
        self, service: ids.ServiceName, upstream: ids.UpstreamId
    ) -> work.UpstreamLoad | None:
        """Returns the last report on an upstream; None without one."""
        report = self._reports.get((service, upstream))
        return report.load if report else None

    def estimate(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contract.CallKind,
        home_count: int = 1,
    ) -> float:
        """Estimates the current load of an upstream.

        Args:
            service: Service of the upstream.
            upstream: Upstream whose load is estimated.
            kind: REQUEST to count running and queued requests, FEED to count
                open feeds.
            home_count: Number of hosts that choose from the same reports.
                Guards against a burst of feeds that all hosts open at the
                upstream with the fewest feeds: each of the other hosts has
                probably opened as many feeds since the report as this host
                has.

        Returns:
            Number of requests or feeds.
        """
        own = self.count_own(service, upstream, kind)
        report = self._reports.get((service, upstream))
        if report is None:
            return own
        if kind is contract.CallKind.FEED:
            change = own - report.own_feeds
            if change > 0:
                change *= home_count
            return max(0, report.load.feeds + change)
        load = report.load.busy + report.load.queued
        return max(0, load + own - report.own_requests)
