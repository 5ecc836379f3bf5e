"""How much work the upstreams have, as far as this host knows."""

from __future__ import annotations

from collections.abc import Callable
import math
import time

from persimmonhinge import ids
from persimmonhinge import records

# Time constant of the average of past work, seconds: about the pause of a long
# flow between two requests, so that its first request weighs as much as the
# flow will in the long run.
_AVERAGE_TIME_CONSTANT_S = 2.0
_NO_LOAD = (0, 0)


class Load(records.Record):
    """Work of one upstream.

    Attributes:
        in_flight: Requests that it has now.
        average: Average of `in_flight`, recent times more, at `averaged_at`.
        averaged_at: Time of the last change.
    """

    in_flight: int = 0
    average: float = 0.0
    averaged_at: float = 0.0

    def average_at(self, now: float) -> float:
        """Returns the average at a time."""
        kept = math.exp((self.averaged_at - now) / _AVERAGE_TIME_CONSTANT_S)
        return self.in_flight + (self.average - self.in_flight) * kept


class LoadTable:
    """Counts requests in flight at each upstream.

    Those of this host's own flows are counted as they begin and end; those
    of other hosts are as old as their last reports.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._loads: dict[ids.UpstreamId, Load] = {}
        self._reported: dict[int, list[int]] = {}

    def record_request_start(self, upstream: ids.UpstreamId) -> None:
        """Counts a request that begins."""
        self._add_in_flight(upstream, 1)

    def record_request_end(self, upstream: ids.UpstreamId) -> None:
        """Counts a request that ended."""
        self._add_in_flight(upstream, -1)

    def in_flight(self, upstream: ids.UpstreamId) -> int:
        """Returns the requests of this host that an upstream has now."""
        load = self._loads.get(upstream)
        return load.in_flight if load is not None else 0

    def average(self, upstream: ids.UpstreamId) -> float:
        """Returns the average of this host's requests at an upstream."""
        load = self._loads.get(upstream)
        return load.average_at(self._clock()) if load is not None else 0.0

    def add_reported(
        self, token: int, in_flight: int, average_hundredths: int
    ) -> None:
        """Adds what another host reports, or takes it back if negative.

        Args:
            token: Routing token of the upstream.
            in_flight: Requests that it has from that host.
            average: Average of that, in hundredths.
        """
        sums = self._reported.setdefault(token, [0, 0])
        sums[0] += in_flight
        sums[1] += average_hundredths
        if sums == [0, 0]:
            del self._reported[token]

    def reported_in_flight(self, token: int) -> int:
        """Returns the requests of other hosts that an upstream has."""
        return self._reported.get(token, _NO_LOAD)[0]

    def reported_average(self, token: int) -> float:
        """Returns the average of other hosts' requests at an upstream."""
        return self._reported.get(token, _NO_LOAD)[1] / 100

    def list_active(self) -> list[ids.UpstreamId]:
        """Returns the upstreams that have or lately had own requests."""
        return list(self._loads)

    def remove_upstream(self, upstream: ids.UpstreamId) -> None:
        """Drops what is known of an upstream that is no more."""
        self._loads.pop(upstream, None)

    def _add_in_flight(self, upstream: ids.UpstreamId, step: int) -> None:
        now = self._clock()
        load = self._loads.get(upstream)
        if load is None:
            load = self._loads[upstream] = Load(averaged_at=now)
        load.average = load.average_at(now)
        load.averaged_at = now
        load.in_flight = max(0, load.in_flight + step)
