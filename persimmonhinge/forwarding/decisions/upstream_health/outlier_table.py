"""Outliers among the upstreams of one service."""

from __future__ import annotations

from collections.abc import Mapping

from persimmonhinge import early_logs
from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding.decisions.upstream_health import outliers
from persimmonhinge.forwarding.decisions.upstream_health import quality_counts

logger = early_logs.get_logger(__name__)

# An outlier ceases to be one after this many requests like those of the others,
# or after this time without a request that is worse, seconds.
_MIN_GOOD_REQUESTS = 5
_MAX_UNCONFIRMED_S = 4.0
_MIN_CAPACITY_FACTOR = 0.1
# Maximum share of the ready upstreams that are held back: 3 of 10.
_HELD_BACK_NUMERATOR = 3
_HELD_BACK_DENOMINATOR = 10
# Time between two probe flows of a host, seconds, and number of its new flows
# between them. Without the latter, many hosts with few flows would send most of
# their new flows as probes.
_PROBE_INTERVAL_S = 0.5
_PROBE_INTERVAL_FLOWS = 20
# Number of recent requests from which an upstream needs no probe.
_MIN_OBSERVED_REQUESTS = 3


class _Entry(records.Record):
    """An outlier in the table.

    Attributes:
        outlier: The outlier, as found last.
        confirmed_at: Time when it was last seen to be worse than the others,
            seconds.
    """

    outlier: outliers.Outlier
    confirmed_at: float


class OutlierTable:
    """Keeps outliers until they recover, and takes turns in probing them."""

    def __init__(self) -> None:
        self._entries: dict[ids.UpstreamId, _Entry] = {}
        self._ranks: dict[ids.UpstreamId, int] = {}
        self._request_counts: dict[ids.UpstreamId, int] = {}
        self._probe_at = 0.0
        self._probe_count = 0
        self._flow_count = 0

    def update(
        self,
        counts: Mapping[ids.UpstreamId, quality_counts.QualityCounts],
        now: float,
    ) -> None:
        """Adds new outliers, and removes those that have recovered.

        Args:
            counts: Answers and troubles of each ready upstream.
            now: The current time, seconds.
        """
        for outlier in outliers.find_outliers(counts):
            self._add(outlier, now)
        others = quality_counts.QualityCounts()
        for upstream, own in counts.items():
            if upstream not in self._entries:
                others.add(own)
        for upstream, entry in list(self._entries.items()):
            listed = counts.get(upstream)
            if listed is None or _has_recovered(entry, listed, others, now):
                self._remove(upstream)
        self._request_counts = {u: counts[u].requests for u in self._entries}
        self._rank()

    def is_held_back(self, upstream: ids.UpstreamId, ready_count: int) -> bool:
        """Returns whether an upstream is held back from new flows.

        Args:
            upstream: The upstream.
            ready_count: Number of ready upstreams of the service.
        """
        rank = self._ranks.get(upstream)
        return rank is not None and rank < _compute_limit(ready_count)

    def list_held_back(self, ready_count: int) -> list[ids.UpstreamId]:
        """Returns the upstreams that are held back, the worst first."""
        return list(self._ranks)[: _compute_limit(ready_count)]

    def capacity_factor(self, upstream: ids.UpstreamId) -> float:
        """Returns the capacity of an upstream as a share of its usual one."""
        entry = self._entries.get(upstream)
        if entry is None:
            return 1.0
        served_share = 1.0 - entry.outlier.troubled_share
        factor = served_share / entry.outlier.slowness
        return max(_MIN_CAPACITY_FACTOR, factor)

    def take_probe(self, ready_count: int, now: float) -> ids.UpstreamId | None:
        """Returns the upstream that receives a probe flow now, if any.

        It is called for each new flow. Upstreams whose requests on open flows
        and probes of other hosts show their quality need no probe.

        Args:
            ready_count: Number of ready upstreams of the service.
            now: The current time, seconds.
        """
        if not self._entries:
            return None
        self._flow_count += 1
        if now < self._probe_at or self._flow_count < _PROBE_INTERVAL_FLOWS:
            return None
        unobserved = [
            upstream
            for upstream in self.list_held_back(ready_count)
            if self._request_counts[upstream] < _MIN_OBSERVED_REQUESTS
        ]
        if not unobserved:
            return None
        self._probe_at = now + _PROBE_INTERVAL_S
        self._flow_count = 0
        self._probe_count += 1
        return unobserved[self._probe_count % len(unobserved)]

    def _add(self, outlier: outliers.Outlier, now: float) -> None:
        if outlier.upstream not in self._entries:
            logger.info(
                "Upstream is worse than the others of its service.",
                extra={
                    "upstream": outlier.upstream,
                    "slowness": round(outlier.slowness, 2),
                    "troubled_share": round(outlier.troubled_share, 2),
                    "evidence": round(outlier.evidence, 1),
                },
            )
            self._probe_at = max(self._probe_at, now + _PROBE_INTERVAL_S)
        self._entries[outlier.upstream] = _Entry(outlier, now)

    def _remove(self, upstream: ids.UpstreamId) -> None:
        del self._entries[upstream]
        logger.info(
            "Upstream is no longer worse than the others of its service.",
            extra={"upstream": upstream},
        )

    def _rank(self) -> None:
        worst_first = sorted(
            self._entries,
            key=lambda upstream: -self._entries[upstream].outlier.evidence,
        )
        self._ranks = {name: rank for rank, name in enumerate(worst_first)}


def _has_recovered(
    entry: _Entry,
    own: quality_counts.QualityCounts,
    others: quality_counts.QualityCounts,
    now: float,
) -> bool:
    """Returns whether an outlier is like the others; confirms it if not."""
    if outliers.is_worse(own, others):
        entry.confirmed_at = now
        return False
    is_observed = own.requests >= _MIN_GOOD_REQUESTS
    return (
        is_observed
        and outliers.is_like_others(own, others)
        or now - entry.confirmed_at > _MAX_UNCONFIRMED_S
    )


def _compute_limit(ready_count: int) -> int:
    return ready_count * _HELD_BACK_NUMERATOR // _HELD_BACK_DENOMINATOR
