"""Means by which requests and flows that other hosts report are weighed."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge import ids
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding import service_limit
from persimmonhinge.forwarding.decisions.placement import (
    flow_rates as flow_rates_module,
)
from persimmonhinge.forwarding.decisions.placement import (
    open_flows as open_flows_module,
)
from persimmonhinge.forwarding.decisions.placement import (
    service_mean as service_mean_module,
)
from persimmonhinge.forwarding.decisions.placement import (
    work_source as work_source_module,
)

# Means older than this are computed again. They change over seconds, and each
# computation reads all routes of the service.
_MAX_AGE_S = 0.1


class ServiceMeans:
    """Computes the mean work of a service from what this host observes.

    Report lines carry no routes, to be short. All hosts of a failure domain
    receive about the same mixture of routes, so this host's mixture is used.
    """

    def __init__(
        self,
        knowledge: knowledge_module.Knowledge,
        flows: open_flows_module.OpenFlows,
        rates: flow_rates_module.FlowRates,
        work: work_source_module.WorkSource,
    ) -> None:
        self._knowledge = knowledge
        self._flows = flows
        self._rates = rates
        self._work = work
        self._means: dict[ids.ServiceName, service_mean_module.ServiceMean] = {}

    def get(
        self, service: ids.ServiceName, now: float
    ) -> service_mean_module.ServiceMean:
        """Returns the means of a service."""
        mean = self._means.get(service)
        if mean is None or now - mean.computed_at > _MAX_AGE_S:
            mean = self._means[service] = self._compute(service, now)
            service_limit.remove_oldest(self._means)
        return mean

    def _compute(
        self, service: ids.ServiceName, now: float
    ) -> service_mean_module.ServiceMean:
        routes = self._list_routes(service)
        works = [self._work.expected_work_s(route) for route in routes]
        requests = [self._rates.get_requests(route, now) for route in routes]
        flows = [self._flows.count_of_route(route) for route in routes]
        flow_works = [
            self._rates.get_rate(route, now) * work_s
            for route, work_s in zip(routes, works, strict=True)
        ]
        return service_mean_module.ServiceMean(
            _compute_mean(works, requests),
            _compute_mean(flow_works, flows),
            now,
        )

    def _list_routes(
        self, service: ids.ServiceName
    ) -> list[route_module.RouteAddress]:
        state = self._knowledge.state
        if state is None:
            return []
        return [
            address
            for address, route in state.routes.items()
            if any(share.service == service for share in route.shares)
        ]


def _compute_mean(values: Sequence[float], weights: Sequence[float]) -> float:
    """Returns the weighted mean, the plain mean if all weights are 0."""
    if not values:
        return 0.0
    total = sum(weights)
    if not total:
        return sum(values) / len(values)
    pairs = zip(values, weights, strict=True)
    return sum(value * weight for value, weight in pairs) / total
