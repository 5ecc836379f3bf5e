"""Base of observers that need only some of the events of requests."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.forwarding import request_observer
from persimmonhinge.forwarding import route as route_module


class PartialObserver(request_observer.RequestObserver):
    """Ignores the events that a subclass does not handle."""

    def record_start(
        self,
        route: route_module.RouteAddress,
        upstream: ids.UpstreamId,
        is_opening: bool,
        now: float,
    ) -> None:
        """See `request_observer.RequestObserver`."""
        return

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
        return

    def record_loss(
        self,
        route: route_module.RouteAddress,
        upstream: ids.UpstreamId,
        elapsed_s: float,
        now: float,
    ) -> None:
        """See `request_observer.RequestObserver`."""
        return

    def record_repeat(
        self,
        route: route_module.RouteAddress,
        upstream: ids.UpstreamId,
        now: float,
    ) -> None:
        """See `request_observer.RequestObserver`."""
        return
