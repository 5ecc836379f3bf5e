"""Expected work of the requests of each route."""

from __future__ import annotations

from collections.abc import Callable

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import partial_observer
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding import service_limit
from persimmonhinge.forwarding import upstream as upstream_module

# Number of values over which the times of a route are averaged.
_AVERAGED_VALUES = 32
# Maximum time of one exchange that is attributed to the network, seconds.
_MAX_NETWORK_S = 0.02
# Minimum part of the average answer time that counts as work. If all routes
# need about the same short time and no handshake was seen, the least answer
# time is mostly work, and the expected work would be close to 0.
_MIN_WORK_SHARE = 0.5
# Expected work before the first answer, as a part of the target latency.
_INITIAL_WORK_SHARE = 1 / 8
# Time by which common TCP implementations delay the acknowledgement of an
# answer that is a single packet, seconds.
_DELAYED_ACK_S = 0.04
# Part of an upstream's slots that may be in use when a request starts whose
# answer is used.
_MAX_KNOWN_LOAD = 0.5
# Time for which nothing is learned about a contended service, seconds. A burst
# of traffic is shorter; if a service seems contended for longer, the expected
# work may be what is wrong.
_MAX_PAUSE_S = 10.0


class MovingAverage(records.Record):
    """Moving average, in which the first values have equal weight.

    Attributes:
        value: The average.
        count: Number of values in it, up to `_AVERAGED_VALUES`.
    """

    value: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Adds a value."""
        self.count = min(self.count + 1, _AVERAGED_VALUES)
        self.value += (value - self.value) / self.count


class RouteTimes(records.Record):
    """What was observed of the requests of one route.

    Attributes:
        answer_s: Average answer time, seconds.
        openings: Average part of the requests that opened a flow.
    """

    answer_s: MovingAverage
    openings: MovingAverage


class WorkEstimates(partial_observer.PartialObserver):
    """Learns from answers how much work a request of each route needs.

    Work is the time for which a request occupies a slot of an upstream that is
    warmed up, seconds.

    Attributes:
        is_contended: Returns whether a service is contended at a time, seconds.
            Upstreams of such a service have queues that this host does not
            know of, as reports of other hosts are older than a request.
    """

    def __init__(self, knowledge: knowledge_module.Knowledge) -> None:
        """Creates estimates that have learned nothing.

        Args:
            knowledge: Routes and upstreams known to the host.
        """
        self._knowledge = knowledge
        self._times: dict[route_module.RouteAddress, RouteTimes] = {}
        self.is_contended: Callable[[ids.ServiceName, float], bool] | None
        self.is_contended = None
        self._contended_at: dict[ids.ServiceName, float] = {}
        self._least_answer_s = _MAX_NETWORK_S
        self._handshake_s = MovingAverage()

    def expected_work_s(self, route: route_module.RouteAddress) -> float:
        """Returns the expected work of a request of a route, seconds.

        The result is 0 for an unknown route, and for a route that has neither
        answers nor a target latency.
        """
        times = self._times.get(route)
        if times is None or not times.answer_s.count:
            return self._get_initial_work_s(route)
        answer_s = times.answer_s.value
        network_s = self._compute_network_s(times)
        return max(answer_s - network_s, answer_s * _MIN_WORK_SHARE)

    def count_answers(self, route: route_module.RouteAddress) -> int:
        """Returns the number of averaged answers of a route, at most 32."""
        times = self._times.get(route)
        return times.answer_s.count if times is not None else 0

    def record_handshake(self, elapsed_s: float) -> None:
        """Records the time from an opening packet to the caller's next packet.

        It is the time that the network takes for a request and its answer. The
        least answer time alone is not enough: if every request needs 24 ms of
        work, it consists of work for the most part.

        Args:
            elapsed_s: The time, seconds.
        """
        self._handshake_s.add(min(elapsed_s, _MAX_NETWORK_S))

    def record_start(
        self,
        route: route_module.RouteAddress,
        upstream: ids.UpstreamId,
        is_opening: bool,
        now: float,
    ) -> None:
        """See `request_observer.RequestObserver`."""
        times = self._find_times(route)
        if times is not None:
            times.openings.add(float(is_opening))

    def record_answer(
        self,
        route: route_module.RouteAddress,
        upstream: ids.UpstreamId,
        elapsed_s: float,
        in_flight: int,
        is_single_packet: bool,
        now: float,
    ) -> None:
        """See `request_observer.RequestObserver`.

        An answer is ignored if its request may have waited for a slot: waiting
        occupies no slot, so learning it would raise the demand of a full
        service further. Half of the slots have to be free, as other hosts have
        sent requests that they have not reported yet.
        """
        known = self._knowledge.directory.get(upstream)
        if known is None or in_flight >= known.slots * _MAX_KNOWN_LOAD:
            return
        if self._is_paused(known.service, now):
            return
        if is_single_packet:
            elapsed_s = max(
                elapsed_s - _DELAYED_ACK_S, elapsed_s * _MIN_WORK_SHARE
            )
        times = self._find_times(route)
        if times is None:
            return
        self._least_answer_s = min(self._least_answer_s, elapsed_s)
        if self._knowledge.directory.is_warming_up(upstream, now):
            elapsed_s *= upstream_module.WARMING_UP_CAPACITY_SHARE
        times.answer_s.add(elapsed_s)

    def _is_paused(self, service: ids.ServiceName, now: float) -> bool:
        """Returns whether answers of a service are ignored at present."""
        if self.is_contended is None or not self.is_contended(service, now):
            self._contended_at.pop(service, None)
            return False
        contended_at = self._contended_at.get(service)
        if contended_at is None:
            contended_at = self._contended_at[service] = now
            service_limit.remove_oldest(self._contended_at)
        return now - contended_at < _MAX_PAUSE_S

    def _compute_network_s(self, times: RouteTimes) -> float:
        """Returns the network's part of the answer time of a route, seconds.

        The answer time of a request that opens a flow includes the handshake.
        """
        if not self._handshake_s.count:
            return self._least_answer_s
        exchange_s = min(self._handshake_s.value, self._least_answer_s)
        return exchange_s * (1.0 + times.openings.value)

    def _get_initial_work_s(self, route: route_module.RouteAddress) -> float:
        state = self._knowledge.state
        known = state.routes.get(route) if state is not None else None
        if known is None or known.target_latency_s is None:
            return 0.0
        return known.target_latency_s * _INITIAL_WORK_SHARE

    def _find_times(
        self, route: route_module.RouteAddress
    ) -> RouteTimes | None:
        """Returns the times of a route, None for an unknown route."""
        times = self._times.get(route)
        if times is not None:
            return times
        state = self._knowledge.state
        if state is None or route not in state.routes:
            return None
        if len(self._times) >= len(state.routes):
            self._remove_routes_except(state.routes)
        times = self._times[route] = RouteTimes(
            MovingAverage(), MovingAverage()
        )
        return times

    def _remove_routes_except(
        self, routes: dict[route_module.RouteAddress, route_module.Route]
    ) -> None:
        """Removes the times of routes that no longer exist."""
        for route in self._times.keys() - routes.keys():
            del self._times[route]
