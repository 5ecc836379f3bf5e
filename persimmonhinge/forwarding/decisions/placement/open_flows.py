"""Open flows and requests of a host, by upstream and route."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from types import MappingProxyType

from persimmonhinge import ids
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding.decisions.placement import (
    route_load as route_load_module,
)

_NO_LOADS: Mapping[route_module.RouteAddress, route_load_module.RouteLoad] = (
    MappingProxyType({})
)


class OpenFlows:
    """Counts the open flows whose packets pass through this host.

    An idle flow holds no slot, but its next requests go to the same upstream
    and can't be held back, so new flows have to take it into account. Entries
    exist only for upstreams and routes with a flow or a request, so the flow
    table bounds their number.
    """

    def __init__(self) -> None:
        self._loads: dict[
            ids.UpstreamId,
            dict[route_module.RouteAddress, route_load_module.RouteLoad],
        ] = {}
        self._flow_totals: dict[route_module.RouteAddress, int] = {}

    def add_flow(
        self, upstream: ids.UpstreamId, route: route_module.RouteAddress
    ) -> None:
        """Counts a flow that was opened, or whose first packet came here."""
        self._get_or_add(upstream, route).open_flows += 1
        self._flow_totals[route] = self._flow_totals.get(route, 0) + 1

    def remove_flow(
        self, upstream: ids.UpstreamId, route: route_module.RouteAddress
    ) -> None:
        """Counts the end of a flow."""
        load = self._get_or_add(upstream, route)
        if load.open_flows:
            load.open_flows -= 1
            self._subtract_flows(route, 1)
        self._remove_if_empty(upstream, route)

    def start_request(
        self, upstream: ids.UpstreamId, route: route_module.RouteAddress
    ) -> None:
        """Counts a request that starts."""
        self._get_or_add(upstream, route).in_flight += 1

    def finish_request(
        self, upstream: ids.UpstreamId, route: route_module.RouteAddress
    ) -> None:
        """Counts the end of a request."""
        load = self._get_or_add(upstream, route)
        load.in_flight = max(0, load.in_flight - 1)
        self._remove_if_empty(upstream, route)

    def remove_upstream(self, upstream: ids.UpstreamId) -> None:
        """Removes the counts for an upstream that was removed."""
        for route, load in self._loads.pop(upstream, {}).items():
            self._subtract_flows(route, load.open_flows)

    def get_loads(
        self, upstream: ids.UpstreamId
    ) -> Mapping[route_module.RouteAddress, route_load_module.RouteLoad]:
        """Returns the requests and open flows at an upstream by route."""
        return self._loads.get(upstream, _NO_LOADS)

    def count_at_upstream(self, upstream: ids.UpstreamId) -> int:
        """Returns the number of open flows at an upstream."""
        return sum(
            load.open_flows for load in self.get_loads(upstream).values()
        )

    def count_of_route(self, route: route_module.RouteAddress) -> int:
        """Returns the number of open flows of a route."""
        return self._flow_totals.get(route, 0)

    def list_upstreams(self) -> Iterable[ids.UpstreamId]:
        """Returns the upstreams with open flows or requests."""
        return self._loads.keys()

    def _get_or_add(
        self, upstream: ids.UpstreamId, route: route_module.RouteAddress
    ) -> route_load_module.RouteLoad:
        loads = self._loads.setdefault(upstream, {})
        load = loads.get(route)
        if load is None:
            load = loads[route] = route_load_module.RouteLoad()
        return load

    def _remove_if_empty(
        self, upstream: ids.UpstreamId, route: route_module.RouteAddress
    ) -> None:
        loads = self._loads[upstream]
        if loads[route].is_empty():
            del loads[route]
        if not loads:
            del self._loads[upstream]

    def _subtract_flows(
        self, route: route_module.RouteAddress, count: int
    ) -> None:
        remaining = self._flow_totals.get(route, 0) - count
        if remaining > 0:
            self._flow_totals[route] = remaining
        else:
            self._flow_totals.pop(route, None)
