"""Learns how many requests open flows bring."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.forwarding import partial_observer
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding.decisions.placement import (
    open_flows as open_flows_module,
)
from persimmonhinge.forwarding.decisions.placement import (
    route_activity as route_activity_module,
)

# Maximum number of routes in memory; the least recently added is dropped. Far
# above the routes of a desired state: packets may name any address.
_MAX_ROUTES = 1024


class FlowRates(partial_observer.PartialObserver):
    """Learns by route how many requests per second an open flow brings."""

    def __init__(self, flows: open_flows_module.OpenFlows) -> None:
        """Creates an observer that has learned nothing.

        Args:
            flows: The open flows of the host.
        """
        self._flows = flows
        self._activities: dict[
            route_module.RouteAddress, route_activity_module.RouteActivity
        ] = {}

    def record_start(
        self,
        route: route_module.RouteAddress,
        upstream: ids.UpstreamId,
        is_opening: bool,
        now: float,
    ) -> None:
        """See `request_observer.RequestObserver`."""
        activity = self._get_current(route, now)
        activity.requests += 1
        activity.requests_on_open_flows += not is_opening

    def get_rate(self, route: route_module.RouteAddress, now: float) -> float:
        """Returns the requests per second of an open flow; 0 if not known."""
        if route not in self._activities:
            return 0.0
        return self._get_current(route, now).compute_rate()

    def get_requests(
        self, route: route_module.RouteAddress, now: float
    ) -> float:
        """Returns the number of recent requests, as a decaying sum."""
        if route not in self._activities:
            return 0.0
        return self._get_current(route, now).requests

    def _get_current(
        self, route: route_module.RouteAddress, now: float
    ) -> route_activity_module.RouteActivity:
        activity = self._activities.get(route)
        if activity is None:
            if len(self._activities) >= _MAX_ROUTES:
                del self._activities[next(iter(self._activities))]
            activity = route_activity_module.RouteActivity(now)
            self._activities[route] = activity
        activity.advance(self._flows.count_of_route(route), now)
        return activity
