"""Interface of the part that learns how much work requests bring."""

from __future__ import annotations

from persimmonhinge.forwarding import route as route_module
from persimmonhinge.light_typing import Protocol


class WorkSource(Protocol):
    """Expected work of the requests of each route."""

    def expected_work_s(self, route: route_module.RouteAddress) -> float:
        """Returns the slot time that a request of a route takes, seconds."""
