"""Interface of the parts that learn from the requests of a host's flows."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.light_typing import Protocol


class RequestObserver(Protocol):
    """Learns from the requests on the flows whose packets a host forwards.

    A host receives only the packets of callers, so the time of an answer is
    the time at which the caller acknowledged it.
    """

    def record_start(
        self,
        route: route_module.RouteAddress,
        upstream: ids.UpstreamId,
        is_opening: bool,
        now: float,
    ) -> None:
        """Records that a request was sent to an upstream.

        Args:
            route: Address of the request's route.
            upstream: The upstream.
            is_opening: Whether the request opens a flow. False for requests
                on open flows.
            now: The current time, seconds.
        """

    def record_answer(
        self,
        route: route_module.RouteAddress,
        upstream: ids.UpstreamId,
        elapsed_s: float,
        in_flight: int,
        is_single_packet: bool,
        now: float,
    ) -> None:
        """Records that a request was answered.

        Args:
            route: Address of the request's route.
            upstream: The upstream.
            elapsed_s: Time from the request to the acknowledgement of its
                answer, seconds.
            in_flight: Number of other requests known to be in flight at the
                upstream when this one was sent.
            is_single_packet: Whether the caller acknowledged so little data on
                an open flow that the answer is one packet. Callers may delay
                the acknowledgement of a single packet.
            now: The current time, seconds.
        """

    def record_loss(
        self,
        route: route_module.RouteAddress,
        upstream: ids.UpstreamId,
        elapsed_s: float,
        now: float,
    ) -> None:
        """Records that a request ended without an observed answer.

        Args:
            route: Address of the request's route.
            upstream: The upstream.
            elapsed_s: Time since the request was sent, seconds.
            now: The current time, seconds.
        """

    def record_repeat(
        self,
        route: route_module.RouteAddress,
        upstream: ids.UpstreamId,
        now: float,
    ) -> None:
        """Records that a caller retransmitted data of an unanswered request.

        It is called once for a request, however often the caller retransmits.

        Args:
            route: Address of the request's route.
            upstream: The upstream.
            now: The current time, seconds.
        """
