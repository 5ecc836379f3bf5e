"""Requests and open flows of one route at one upstream."""

from __future__ import annotations

from persimmonhinge import records


class RouteLoad(records.Record):
    """Requests and open flows of one route at one upstream, of one host.

    Attributes:
        in_flight: Number of requests in flight.
        open_flows: Number of open flows, idle ones included.
    """

    in_flight: int = 0
    open_flows: int = 0

    def is_empty(self) -> bool:
        """Returns whether there are neither requests nor open flows."""
        return self.in_flight == 0 and self.open_flows == 0
