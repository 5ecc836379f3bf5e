"""How many requests the flows of a route brought recently."""

from __future__ import annotations

import math

from persimmonhinge import records

# Some pauses of a long flow, which last about 2 s: a shorter time would make
# the rate of a few flows a matter of chance.
_TIME_CONSTANT_S = 5.0
# Time for which flows have to be observed before their rate counts in full,
# seconds of one flow. A first request would otherwise count as a high rate.
_MIN_FLOW_TIME_S = 1.0


class RouteActivity(records.Record):
    """Sums over the recent past of a route, which decay exponentially.

    Attributes:
        updated_at: Time of the last update, seconds.
        requests: Requests of all kinds.
        requests_on_open_flows: Requests on flows that were open already.
        flow_time_s: Time that flows were open, summed over the flows, seconds.
    """

    updated_at: float
    requests: float = 0.0
    requests_on_open_flows: float = 0.0
    flow_time_s: float = 0.0

    def advance(self, open_flows: int, now: float) -> None:
        """Moves the sums to a later time.

        Args:
            open_flows: Number of flows that were open since the last update.
            now: The current time, seconds.
        """
        decay = math.exp((self.updated_at - now) / _TIME_CONSTANT_S)
        self.requests *= decay
        self.requests_on_open_flows *= decay
        self.flow_time_s *= decay
        self.flow_time_s += open_flows * _TIME_CONSTANT_S * (1 - decay)
        self.updated_at = now

    def compute_rate(self) -> float:
        """Returns the requests per second of an open flow."""
        return self.requests_on_open_flows / max(
            self.flow_time_s, _MIN_FLOW_TIME_S
        )
