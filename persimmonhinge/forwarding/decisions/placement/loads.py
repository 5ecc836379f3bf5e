"""Requests in flight at each upstream, own and reported by other hosts."""

from __future__ import annotations

from collections.abc import Callable
import math
import time

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonhinge.forwarding.decisions.placement import (
        open_flows as open_flows_module,
    )

# About the pause between two requests of a long flow, so that the first request
# adds as much to the average as the flow will in the long run.
_AVERAGE_TIME_CONSTANT_S = 2.0
_NO_LOAD = (0, 0, 0)
# Weight of the newest report in the mean interval between reports.
_INTERVAL_WEIGHT = 0.1


class Load(records.Record):
    """Load of one upstream.

    Attributes:
        in_flight: Number of requests in flight.
        average: Exponentially weighted moving average of `in_flight` at
            `averaged_at`.
        averaged_at: Time of the last change, seconds.
        answered_at: Time of the last answer that a caller acknowledged,
            seconds.
    """

    in_flight: int = 0
    average: float = 0.0
    averaged_at: float = 0.0
    answered_at: float = -math.inf

    def average_at(self, now: float) -> float:
        """Returns the average at a given time."""
        decay = math.exp((self.averaged_at - now) / _AVERAGE_TIME_CONSTANT_S)
        return self.in_flight + (self.average - self.in_flight) * decay


class LoadTable:
    """Counts the requests in flight at each upstream.

    Requests of this host's own flows are counted as they start and end.
    Requests of other hosts are counted as of their last reports.

    Attributes:
        open_flows: The open flows of this host; None if they are not counted.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.open_flows: open_flows_module.OpenFlows | None = None
        self._clock = clock
        self._loads: dict[ids.UpstreamId, Load] = {}
        self._report_interval_s = 0.0
        self._reported: dict[int, list[int]] = {}

    def record_request_start(self, upstream: ids.UpstreamId) -> None:
        """Counts a request that starts."""
        self._add_in_flight(upstream, 1)

    def record_request_end(self, upstream: ids.UpstreamId) -> None:
        """Counts a request that ended."""
        self._add_in_flight(upstream, -1)

    def record_answer(self, upstream: ids.UpstreamId, now: float) -> None:
        """Records that a caller acknowledged an answer of an upstream."""
        load = self._loads.get(upstream)
        if load is not None:
            load.answered_at = now

    def has_answered_since(
        self, upstream: ids.UpstreamId, since: float
    ) -> bool:
        """Returns whether an upstream answered callers of this host lately."""
        load = self._loads.get(upstream)
        return load is not None and load.answered_at >= since

    def in_flight(self, upstream: ids.UpstreamId) -> int:
        """Returns the number of this host's requests at an upstream."""
        load = self._loads.get(upstream)
        return load.in_flight if load is not None else 0

    def average(self, upstream: ids.UpstreamId) -> float:
        """Returns the average number of this host's requests at an upstream."""
        load = self._loads.get(upstream)
        return load.average_at(self._clock()) if load is not None else 0.0

    def count_open_flows(self, upstream: ids.UpstreamId) -> int:
        """Returns the number of this host's open flows at an upstream."""
        if self.open_flows is None:
            return 0
        return self.open_flows.count_at_upstream(upstream)

    def add_reported(
        self,
        token: int,
        in_flight: int,
        average_hundredths: int,
        open_flows: int = 0,
    ) -> None:
        """Adds the load that another host reports for an upstream.

        Negative values remove an earlier report.

        Args:
            token: Routing token of the upstream.
            in_flight: Number of the reporting host's requests in flight.
            average_hundredths: Average of that number, in hundredths.
            open_flows: Number of the reporting host's open flows.
        """
        sums = self._reported.setdefault(token, [0, 0, 0])
        sums[0] += in_flight
        sums[1] += average_hundredths
        sums[2] += open_flows
        if not any(sums):
            del self._reported[token]

    def record_report_interval(self, interval_s: float) -> None:
        """Records the time until the next report of another host."""
        self._report_interval_s += _INTERVAL_WEIGHT * (
            interval_s - self._report_interval_s
        )

    def get_report_age_s(self) -> float:
        """Returns the mean age of what other hosts reported, seconds."""
        return self._report_interval_s / 2

    def reported_in_flight(self, token: int) -> int:
        """Returns the number of other hosts' requests in flight."""
        return self._reported.get(token, _NO_LOAD)[0]

    def reported_average(self, token: int) -> float:
        """Returns the average number of other hosts' requests."""
        return self._reported.get(token, _NO_LOAD)[1] / 100

    def reported_open_flows(self, token: int) -> int:
        """Returns the number of other hosts' open flows."""
        return self._reported.get(token, _NO_LOAD)[2]

    def list_used_upstreams(self) -> list[ids.UpstreamId]:
        """Returns the upstreams that have or had requests of this host.

        Upstreams with open flows are included.
        """
        if self.open_flows is None:
            return list(self._loads)
        return list(
            dict.fromkeys([*self._loads, *self.open_flows.list_upstreams()])
        )

    def remove_upstream(self, upstream: ids.UpstreamId) -> None:
        """Removes this host's counts for an upstream that was removed."""
        self._loads.pop(upstream, None)
        if self.open_flows is not None:
            self.open_flows.remove_upstream(upstream)

    def _add_in_flight(self, upstream: ids.UpstreamId, change: int) -> None:
        now = self._clock()
        load = self._loads.get(upstream)
        if load is None:
            load = self._loads[upstream] = Load(averaged_at=now)
        load.average = load.average_at(now)
        load.averaged_at = now
        load.in_flight = max(0, load.in_flight + change)
