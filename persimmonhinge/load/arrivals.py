"""When requests arrive: an open loop."""

from __future__ import annotations

from collections.abc import Iterator
import random


def make_arrivals(
    rate: float, duration_s: float, source: random.Random
) -> Iterator[float]:
    """Yields the times of a Poisson process, in seconds from its start.

    The times don't depend on how fast answers come: a slow system meets the
    same load as a fast one, and its delay shows in the latency.

    Args:
        rate: Mean of arrivals, 1/s.
        duration_s: End, seconds.
        source: Seeded source.
    """
    at_s = source.expovariate(rate)
    while at_s < duration_s:
        yield at_s
        at_s += source.expovariate(rate)
