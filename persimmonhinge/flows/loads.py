"""What this host knows of the load of each upstream."""

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
    load: work.UpstreamLoad
    own_requests: int
    own_feeds: int


@dataclasses.dataclass(frozen=True, slots=True)
class _RecentWork:
    amount: float
    counted_at: float


class LoadTracker:
    """The last report on each upstream, corrected by this host's own work.

    A report is old by the time it is used. What this host has begun and
    ended since is known exactly, so it is added; what other hosts did in
    the meantime is not known.
    """

    def __init__(self, read_clock: Callable[[], float]) -> None:
        """Makes a book without reports.

        Args:
            read_clock: Returns the time, seconds.
        """
        self._read_clock = read_clock
        self._recent: dict[_WorkKey, _RecentWork] = {}
        self._reports: dict[UpstreamKey, _Report] = {}
        self._own: collections.Counter[_WorkKey] = collections.Counter()

    def record_load(
        self, service: ids.ServiceName, load: work.UpstreamLoad
    ) -> None:
        """Takes in a keeper's report."""
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
        """Counts work that this host has begun."""
        key = (service, upstream, kind)
        self._own[key] += 1
        amount = self.count_recent(service, upstream, kind) + 1
        self._recent[key] = _RecentWork(amount, self._read_clock())

    def record_end(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contract.CallKind,
    ) -> None:
        """Counts work that this host has ended."""
        key = (service, upstream, kind)
        self._own[key] -= 1
        if self._own[key] <= 0:
            del self._own[key]

    def count_own(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contract.CallKind,
    ) -> int:
        """Returns how much work of this host an upstream has."""
        return self._own[(service, upstream, kind)]

    def count_recent(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contract.CallKind,
    ) -> float:
        """Returns how much work this host gave an upstream lately.

        What is older counts less, so that an upstream that was away does
        not get all work until it has caught up.
        """
        recent = self._recent.get((service, upstream, kind))
        if recent is None:
            return 0.0
        age_s = self._read_clock() - recent.counted_at
        return recent.amount * math.exp(-age_s / _RECENT_DECAY_S)

    def get_load(
        self, service: ids.ServiceName, upstream: ids.UpstreamId
    ) -> work.UpstreamLoad | None:
        """Returns the last report, None if there is none."""
        report = self._reports.get((service, upstream))
        return report.load if report else None

    def estimate(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contract.CallKind,
        homes: int = 1,
    ) -> float:
        """Returns requests running and waiting, or open feeds, by now.

        Args:
            service: The service.
            upstream: Its upstream.
            kind: REQUEST or FEED.
            homes: Hosts that choose from the same reports. Guards against
                a burst of feeds that all hosts open at the one upstream
                which had the fewest: what this host has opened since the
                report, each of the others is likely to have opened too.
        """
        own = self.count_own(service, upstream, kind)
        report = self._reports.get((service, upstream))
        if report is None:
            return own
        if kind is contract.CallKind.FEED:
            change = own - report.own_feeds
            if change > 0:
                change *= homes
            return max(0, report.load.feeds + change)
        load = report.load.busy + report.load.queued
        return max(0, load + own - report.own_requests)
