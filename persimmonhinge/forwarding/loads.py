"""How much work the upstreams have, as far as this host knows."""

from __future__ import annotations

import math

from persimmonhinge import ids

# Time in which the count of past openings falls to 37%, seconds.
_DECAY_S = 2.0


class LoadBook:
    """Counts openings of flows at each upstream, recent ones more."""

    def __init__(self) -> None:
        self._counts: dict[ids.UpstreamId, float] = {}
        self._counted_at: dict[ids.UpstreamId, float] = {}

    def add(self, upstream: ids.UpstreamId, now: float) -> None:
        """Counts an opening."""
        self._counts[upstream] = self.get(upstream, now) + 1.0
        self._counted_at[upstream] = now

    def get(self, upstream: ids.UpstreamId, now: float) -> float:
        """Returns the decayed count of an upstream."""
        age_s = now - self._counted_at.get(upstream, now)
        return self._counts.get(upstream, 0.0) * math.exp(-age_s / _DECAY_S)
