"""Work at an upstream: of requests in flight and of open flows."""

from __future__ import annotations

import math

from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding.decisions.placement import (
    flow_rates as flow_rates_module,
)
from persimmonhinge.forwarding.decisions.placement import loads as loads_module
from persimmonhinge.forwarding.decisions.placement import (
    open_flows as open_flows_module,
)
from persimmonhinge.forwarding.decisions.placement import (
    service_means as service_means_module,
)
from persimmonhinge.forwarding.decisions.placement import (
    work_source as work_source_module,
)

# Time for which requests stay at an upstream, as a multiple of their work: the
# queue before a full upstream lasts several requests.
_REQUEST_TIME_FACTOR = 4.0
# Time for which the work of open flows is counted, seconds.
_HORIZON_S = 1.0
# Rate from which flows of a route count as long ones. Long flows pause for
# about 2 s between requests.
_MIN_LONG_FLOW_RATE_PER_S = 0.05


class UpstreamWork:
    """Computes the work at upstreams from all hosts, in seconds of a slot."""

    def __init__(
        self,
        loads: loads_module.LoadTable,
        flows: open_flows_module.OpenFlows,
        rates: flow_rates_module.FlowRates,
        work: work_source_module.WorkSource,
        means: service_means_module.ServiceMeans,
    ) -> None:
        self._loads = loads
        self._flows = flows
        self._rates = rates
        self._work = work
        self._means = means

    def compute_own_in_flight(
        self, upstream: upstream_module.Upstream
    ) -> float:
        """Returns the work of this host's requests in flight, seconds."""
        return sum(
            load.in_flight * self._work.expected_work_s(route)
            for route, load in self._flows.get_loads(upstream.id).items()
        )

    def compute_report_share(
        self, upstream: upstream_module.Upstream, now: float
    ) -> float:
        """Returns the share of choices that should use reported requests.

        It falls from 1 to 0 with the age of the reports, relative to the time
        for which requests last.
        """
        mean = self._means.get(upstream.service, now)
        if not mean.work_s:
            return 0.0
        age_s = self._loads.get_report_age_s()
        return math.exp(-age_s / (_REQUEST_TIME_FACTOR * mean.work_s))

    def compute_reported_in_flight(
        self, upstream: upstream_module.Upstream, now: float
    ) -> float:
        """Returns the work of other hosts' requests in flight, seconds."""
        mean = self._means.get(upstream.service, now)
        return self._loads.reported_in_flight(upstream.token) * mean.work_s

    def brings_more_requests(
        self, route: route_module.RouteAddress, now: float
    ) -> bool:
        """Returns whether flows of a route bring requests after the first."""
        return self._rates.get_rate(route, now) > _MIN_LONG_FLOW_RATE_PER_S

    def compute_own_open_flows(
        self, upstream: upstream_module.Upstream, now: float
    ) -> float:
        """Returns the work of this host's open flows in a second, seconds."""
        return _HORIZON_S * sum(
            load.open_flows
            * self._rates.get_rate(route, now)
            * self._work.expected_work_s(route)
            for route, load in self._flows.get_loads(upstream.id).items()
        )

    def compute_reported_open_flows(
        self, upstream: upstream_module.Upstream, now: float
    ) -> float:
        """Returns the work of other hosts' open flows in a second, seconds."""
        mean = self._means.get(upstream.service, now)
        flows = self._loads.reported_open_flows(upstream.token)
        return _HORIZON_S * flows * mean.flow_work
