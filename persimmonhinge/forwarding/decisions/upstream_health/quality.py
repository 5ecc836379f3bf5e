"""Quality of upstreams: their speed, and the requests that they fail."""

from __future__ import annotations

from collections.abc import Callable

from persimmonhinge import ids
from persimmonhinge.forwarding import flow as flow_module
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import partial_observer
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding import service_limit
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding import upstream_load
from persimmonhinge.forwarding.decisions.placement import work_source
from persimmonhinge.forwarding.decisions.upstream_health import answer_baseline
from persimmonhinge.forwarding.decisions.upstream_health import outlier_table
from persimmonhinge.forwarding.decisions.upstream_health import quality_counts
from persimmonhinge.forwarding.decisions.upstream_health import quality_window
from persimmonhinge.forwarding.decisions.upstream_health import recent_answers

# An answer that is seen later is not used, seconds: its acknowledgement was
# lost, or the flow has been at another host since.
_MAX_ANSWER_S = 3.0
# Time after which callers repeat the data of an unanswered request, seconds. A
# request that is lost later counts by its repetition. Without one, the flow has
# gone on through another host.
_REPETITION_S = 0.2
# Upper limit of the time that an answer spends in the network, seconds.
_MAX_NETWORK_S = 0.02
# Usual variation of the time in the network, seconds. Without it, requests of
# little work would seem several times slower when a packet is delayed.
_JITTER_S = 0.003
# Speed of an upstream that is warming up.
_WARMING_UP_SPEED = 0.6
# Time between two searches for outliers, seconds, and its increase for each
# ready upstream, so that searches take a few hundredths of a core at most.
_SEARCH_INTERVAL_S = 0.25
_SEARCH_INTERVAL_PER_UPSTREAM_S = 0.0002


class UpstreamQuality(partial_observer.PartialObserver):
    """Finds upstreams that are slow or fail requests (outlier detection).

    An upstream is compared with the other upstreams of its service, by the
    observations of this host and those that other hosts report. What affects
    all upstreams alike thus has no effect: packet loss, a slow host, a full
    link, or more requests than all upstreams can serve.

    It implements `flow_observer.FlowObserver`, too.
    """

    def __init__(
        self,
        knowledge: knowledge_module.Knowledge,
        expected_work: work_source.WorkSource,
        count_hosts: Callable[[], int],
    ) -> None:
        """Creates the quality of upstreams that have no requests yet.

        Args:
            knowledge: The host's view of the platform, for the upstreams.
            expected_work: Estimates the work of requests.
            count_hosts: Returns the number of hosts of the failure domain,
                this host included.
        """
        self._directory = knowledge.directory
        self._expected_work = expected_work
        self._count_hosts = count_hosts
        self._windows: dict[ids.UpstreamId, quality_window.QualityWindow] = {}
        self._reported: dict[int, quality_counts.QualityCounts] = {}
        self._baselines: dict[
            ids.ServiceName, answer_baseline.AnswerBaseline
        ] = {}
        self._tables: dict[ids.ServiceName, outlier_table.OutlierTable] = {}
        self._search_at: dict[ids.ServiceName, float] = {}
        self._recent_answers = recent_answers.RecentAnswers()
        self._network_s = _MAX_NETWORK_S

    def record_answer(
        self,
        route: route_module.RouteAddress,
        upstream: ids.UpstreamId,
        elapsed_s: float,
        in_flight: int,
        is_single_packet: bool,
        now: float,
    ) -> None:
        """See `request_observer.RequestObserver`."""
        known = self._directory.get(upstream)
        if known is None or elapsed_s > _MAX_ANSWER_S:
            return
        self._network_s = min(self._network_s, elapsed_s)
        expected_s = self._compute_expected_s(route, known, in_flight, now)
        served_s = elapsed_s - self._network_s
        baseline = self._get_baseline(known.service)
        baseline.record_outcome(is_troubled=False)
        slowness = baseline.compare(
            (served_s + _JITTER_S) / (expected_s + _JITTER_S)
        )
        self._add(
            upstream,
            quality_counts.QualityCounts(
                answers=1, slowness=round(slowness * 100)
            ),
            now,
        )

    def record_loss(
        self,
        route: route_module.RouteAddress,
        upstream: ids.UpstreamId,
        elapsed_s: float,
        now: float,
    ) -> None:
        """See `request_observer.RequestObserver`.

        A request that was lost after the time of the first repetition is
        already counted if its caller has repeated it. If not, the caller's
        packets may have gone to another host.
        """
        if elapsed_s < _REPETITION_S:
            self._add_trouble(upstream, now)

    def record_repeat(
        self,
        route: route_module.RouteAddress,
        upstream: ids.UpstreamId,
        now: float,
    ) -> None:
        """See `request_observer.RequestObserver`."""
        self._add_trouble(upstream, now)

    def record_flow_opening(self, flow: flow_module.FlowId, now: float) -> None:
        """See `flow_observer.FlowObserver`."""
        failed = self._recent_answers.take_failed_upstream(flow, now)
        if failed is not None:
            self._add(failed, quality_counts.QualityCounts(reopenings=1), now)

    def record_flow_answer(
        self, flow: flow_module.FlowId, upstream: ids.UpstreamId, now: float
    ) -> None:
        """See `flow_observer.FlowObserver`."""
        self._recent_answers.record_answer(flow, upstream, now)

    def add_reported(self, line: upstream_load.UpstreamLoad) -> None:
        """Adds what another host reports of an upstream."""
        self._change_reported(line, 1)

    def withdraw_reported(self, line: upstream_load.UpstreamLoad) -> None:
        """Removes an earlier report of another host."""
        self._change_reported(line, -1)

    def count_to_report(
        self, upstream: ids.UpstreamId, now: float
    ) -> quality_counts.QualityCounts:
        """Returns this host's counts of an upstream for its reports."""
        window = self._windows.get(upstream)
        if window is None:
            return quality_counts.QualityCounts()
        counts = window.sum_counts(now)
        if not counts.reopenings:
            return counts
        return counts.count_reopenings_as_troubles(self._count_hosts())

    def is_held_back(
        self, upstream: upstream_module.Upstream, now: float
    ) -> bool:
        """Returns whether an upstream receives no new flows but probes."""
        service = upstream.service
        table = self._update_table(service, now)
        ready_count = len(self._directory.list_ready(service))
        return table.is_held_back(upstream.id, ready_count)

    def list_held_back(
        self, service: ids.ServiceName, now: float
    ) -> list[ids.UpstreamId]:
        """Returns the held-back upstreams of a service, the worst first."""
        table = self._update_table(service, now)
        return table.list_held_back(len(self._directory.list_ready(service)))

    def capacity_factor(self, upstream: ids.UpstreamId, now: float) -> float:
        """Returns the capacity of an upstream relative to its usual one.

        Args:
            upstream: The upstream.
            now: The current time, seconds.

        Returns:
            0.1 to 1; 1 for upstreams that are like the others.
        """
        known = self._directory.get(upstream)
        if known is None:
            return 1.0
        table = self._update_table(known.service, now)
        return table.capacity_factor(upstream)

    def take_probe(
        self, service: ids.ServiceName, now: float
    ) -> ids.UpstreamId | None:
        """Returns the held-back upstream that receives a probe flow now."""
        table = self._update_table(service, now)
        ready_count = len(self._directory.list_ready(service))
        return table.take_probe(ready_count, now)

    def remove_upstream(self, upstream: ids.UpstreamId) -> None:
        """Removes this host's counts of an upstream that was removed."""
        self._windows.pop(upstream, None)

    def _compute_expected_s(
        self,
        route: route_module.RouteAddress,
        upstream: upstream_module.Upstream,
        in_flight: int,
        now: float,
    ) -> float:
        """Returns the expected time of a request at an upstream, seconds.

        A request waits for those before it if they take all slots.
        """
        expected_s = self._expected_work.expected_work_s(route)
        if self._directory.is_warming_up(upstream.id, now):
            expected_s /= _WARMING_UP_SPEED
        return expected_s * max(1.0, (in_flight + 1) / max(1, upstream.slots))

    def _add_trouble(self, upstream: ids.UpstreamId, now: float) -> None:
        known = self._directory.get(upstream)
        if known is None:
            return
        baseline = self._get_baseline(known.service)
        is_usual = baseline.is_troubled
        baseline.record_outcome(is_troubled=True)
        if not is_usual:
            self._add(upstream, quality_counts.QualityCounts(troubles=1), now)

    def _get_baseline(
        self, service: ids.ServiceName
    ) -> answer_baseline.AnswerBaseline:
        baseline = self._baselines.get(service)
        if baseline is None:
            baseline = answer_baseline.AnswerBaseline()
            self._baselines[service] = baseline
            service_limit.remove_oldest(self._baselines)
        return baseline

    def _add(
        self,
        upstream: ids.UpstreamId,
        counts: quality_counts.QualityCounts,
        now: float,
    ) -> None:
        window = self._windows.get(upstream)
        if window is None:
            if self._directory.get(upstream) is None:
                return
            window = self._windows[upstream] = quality_window.QualityWindow()
        window.add(counts, now)

    def _change_reported(
        self, line: upstream_load.UpstreamLoad, sign: int
    ) -> None:
        if not (line.answers or line.slowness or line.troubles):
            return
        total = self._reported.get(line.token)
        if total is None:
            total = self._reported[line.token] = quality_counts.QualityCounts()
        total.answers += sign * line.answers
        total.slowness += sign * line.slowness
        total.troubles += sign * line.troubles
        if total.is_empty:
            del self._reported[line.token]

    def _update_table(
        self, service: ids.ServiceName, now: float
    ) -> outlier_table.OutlierTable:
        """Returns the outliers of a service; searches for them if it is due."""
        table = self._tables.get(service)
        if table is None:
            table = self._tables[service] = outlier_table.OutlierTable()
            service_limit.remove_oldest(self._tables)
            service_limit.remove_oldest(self._search_at)
        if now >= self._search_at.get(service, 0.0):
            ready = self._directory.list_ready(service)
            self._search_at[service] = (
                now
                + _SEARCH_INTERVAL_S
                + _SEARCH_INTERVAL_PER_UPSTREAM_S * len(ready)
            )
            table.update({u.id: self._sum_counts(u, now) for u in ready}, now)
        return table

    def _sum_counts(
        self, upstream: upstream_module.Upstream, now: float
    ) -> quality_counts.QualityCounts:
        """Returns the counts of an upstream at this and the other hosts."""
        counts = self.count_to_report(upstream.id, now)
        reported = self._reported.get(upstream.token)
        if reported is None:
            return counts
        total = quality_counts.QualityCounts()
        total.add(counts)
        total.add(reported)
        return total
