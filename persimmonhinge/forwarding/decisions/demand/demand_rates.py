"""Work per second that callers request from each service at this host."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import desired_state
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import partial_observer
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding.decisions.demand import decaying_sum
from persimmonhinge.forwarding.decisions.demand import (
    work_estimates as work_estimates_module,
)

# Weighted number of recent requests below which a route is inactive: 3.5 s
# after a single request.
_MIN_ACTIVE_REQUESTS = 0.001
# Time constant of the rates of requests, seconds.
_TIME_CONSTANT_S = 0.5


class RouteCounts(records.Record):
    """Recent requests of one route.

    Attributes:
        new_flows: Requests that open a flow.
        open_flows: Requests on open flows.
    """

    new_flows: decaying_sum.DecayingSum
    open_flows: decaying_sum.DecayingSum

    def compute_total(self, now: float) -> float:
        """Returns the weighted number of recent requests."""
        return self.new_flows.compute_value(
            now
        ) + self.open_flows.compute_value(now)


class RouteShare(records.Record, frozen=True):
    """Part of a route's requests that goes to one service.

    Attributes:
        route: The route.
        part: The part, 0 to 1.
    """

    route: route_module.Route
    part: float


class DemandRates(partial_observer.PartialObserver):
    """Counts the requests of each route and derives the demand from them.

    Demand is the work requested per second, in slots.
    """

    def __init__(
        self,
        knowledge: knowledge_module.Knowledge,
        estimates: work_estimates_module.WorkEstimates,
    ) -> None:
        """Creates the rates of a host that has received no request.

        Args:
            knowledge: Routes known to the host.
            estimates: The expected work of requests.
        """
        self._knowledge = knowledge
        self._estimates = estimates
        self._counts: dict[route_module.RouteAddress, RouteCounts] = {}
        self._state: desired_state.DesiredState | None = None
        self._shares: dict[ids.ServiceName, list[RouteShare]] = {}
        self._services: frozenset[ids.ServiceName] = frozenset()

    def record_arrival(
        self, route: route_module.RouteAddress, now: float
    ) -> None:
        """Counts a new flow.

        Copies of opening packets, and flows of callers that were rejected
        shortly before, must not be recorded: they repeat demand that was
        counted already.

        Args:
            route: Address of the flow's route.
            now: The current time, seconds.
        """
        counts = self._find_counts(route)
        if counts is not None:
            counts.new_flows.add(1.0, now)

    def record_start(
        self,
        route: route_module.RouteAddress,
        upstream: ids.UpstreamId,
        is_opening: bool,
        now: float,
    ) -> None:
        """See `request_observer.RequestObserver`."""
        if is_opening:
            return
        counts = self._find_counts(route)
        if counts is not None:
            counts.open_flows.add(1.0, now)

    def get_services(self) -> frozenset[ids.ServiceName]:
        """Returns the services of the routes.

        Calls return the same object until the desired state changes.
        """
        self._update_routes()
        return self._services

    def list_active_services(self, now: float) -> list[ids.ServiceName]:
        """Returns the services that got requests in the last seconds.

        The cost does not grow with the number of routes but with that of the
        routes in use. The counts of inactive routes are removed.

        Args:
            now: The current time, seconds.
        """
        self._update_routes()
        services: set[ids.ServiceName] = set()
        for address, counts in list(self._counts.items()):
            if counts.compute_total(now) < _MIN_ACTIVE_REQUESTS:
                del self._counts[address]
            elif self._state is not None:
                shares = self._state.routes[address].shares
                services.update(share.service for share in shares)
        return list(services)

    def demand(self, service: ids.ServiceName, now: float) -> float:
        """Returns the demand for a service at this host, slots."""
        return sum(
            self._compute_demand(share, now)
            for share in self._list_shares(service)
        )

    def demand_above(
        self, service: ids.ServiceName, priority: int, now: float
    ) -> float:
        """Returns the demand of routes more urgent than a priority, slots."""
        return sum(
            self._compute_demand(share, now)
            for share in self._list_shares(service)
            if share.route.priority < priority
        )

    def open_flow_demand(
        self, service: ids.ServiceName, priority: int, now: float
    ) -> float:
        """Returns the demand on open flows of routes of a priority, slots."""
        return sum(
            self._compute_open_flow_demand(share, now)
            for share in self._list_shares(service)
            if share.route.priority == priority
        )

    def variance(self, service: ids.ServiceName, now: float) -> float:
        """Returns the variance of `demand` due to random arrivals, slots².

        It is that of a Poisson process: an exponentially weighted count has a
        variance of half its mean.
        """
        return sum(
            self._count_requests(share, now) / 2 * self._get_weight(share) ** 2
            for share in self._list_shares(service)
        )

    def _compute_demand(self, share: RouteShare, now: float) -> float:
        return self._count_requests(share, now) * self._get_weight(share)

    def _compute_open_flow_demand(self, share: RouteShare, now: float) -> float:
        counts = self._counts.get(share.route.virtual_address)
        if counts is None:
            return 0.0
        count = counts.open_flows.compute_value(now)
        return count * self._get_weight(share)

    def _count_requests(self, share: RouteShare, now: float) -> float:
        """Returns the weighted number of recent requests of a route."""
        counts = self._counts.get(share.route.virtual_address)
        return counts.compute_total(now) if counts is not None else 0.0

    def _get_weight(self, share: RouteShare) -> float:
        """Returns the demand that one recent request stands for, slots."""
        work_s = self._estimates.expected_work_s(share.route.virtual_address)
        return work_s * share.part / _TIME_CONSTANT_S

    def _list_shares(self, service: ids.ServiceName) -> list[RouteShare]:
        self._update_routes()
        return self._shares.get(service, [])

    def _find_counts(
        self, route: route_module.RouteAddress
    ) -> RouteCounts | None:
        """Returns the counts of a route, None for an unknown route."""
        self._update_routes()
        counts = self._counts.get(route)
        if counts is not None:
            return counts
        if self._state is None or route not in self._state.routes:
            return None
        counts = self._counts[route] = RouteCounts(
            decaying_sum.DecayingSum(_TIME_CONSTANT_S),
            decaying_sum.DecayingSum(_TIME_CONSTANT_S),
        )
        return counts

    def _update_routes(self) -> None:
        """Indexes the routes by service after the desired state changed."""
        state = self._knowledge.state
        if state is self._state or state is None:
            return
        self._state = state
        for address in self._counts.keys() - state.routes.keys():
            del self._counts[address]
        self._shares = {}
        for route in state.routes.values():
            self._add_shares(route)
        self._services = frozenset(self._shares)

    def _add_shares(self, route: route_module.Route) -> None:
        total = sum(share.weight for share in route.shares)
        for share in route.shares:
            part = share.weight / total if total > 0 else 0.0
            route_share = RouteShare(route, part)
            self._shares.setdefault(share.service, []).append(route_share)
