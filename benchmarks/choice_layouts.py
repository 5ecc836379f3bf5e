"""Hosts, upstreams and loads that policies of choice are played with."""

from __future__ import annotations

from typing import NamedTuple


class Layout(NamedTuple):
    """Hosts, upstreams and their load.

    Attributes:
        domains: Failure domain of each upstream.
        hosts: Failure domain of each host.
        slots: Slots of an upstream.
        queue: Requests that wait at an upstream before it sheds.
        work_s: Mean work of a request, seconds.
        long_flows: Flows that are open all the time.
        pause_s: Mean pause of a long flow between two requests, seconds.
        fresh_per_s: Flows of a single request a second.
        report_s: Time between two reports of a host to its domain, seconds.
    """

    domains: tuple[int, ...]
    hosts: tuple[int, ...]
    slots: int
    queue: int
    work_s: float
    long_flows: int
    pause_s: float
    fresh_per_s: float
    report_s: float


def _spread(count: int, domains: int) -> tuple[int, ...]:
    return tuple(number % domains for number in range(count))


LAYOUTS = {
    # The Utility's dispatch on a busy day.
    "utility": Layout(
        domains=(0, 0, 0, 1, 1, 2, 2),
        hosts=(0, 0, 0, 1, 1, 2, 2),
        slots=3,
        queue=12,
        work_s=0.055,
        long_flows=340,
        pause_s=2.0,
        fresh_per_s=50.0,
        report_s=0.1,
    ),
    # The firm's dispatch on its grown fleet, at 0.6 of its slots.
    "grown-full": Layout(
        domains=_spread(60, 3),
        hosts=_spread(72, 3),
        slots=2,
        queue=8,
        work_s=0.15,
        long_flows=600,
        pause_s=2.0,
        fresh_per_s=188.0,
        report_s=1.1,
    ),
}
# The Market's floor service on its large fleet; the same at 0.6 of its slots.
LAYOUTS["large"] = Layout(
    domains=_spread(117, 5),
    hosts=_spread(195, 5),
    slots=2,
    queue=8,
    work_s=0.016,
    long_flows=1_070,
    pause_s=2.0,
    fresh_per_s=153.0,
    report_s=1.9,
)
LAYOUTS["large-full"] = LAYOUTS["large"]._replace(work_s=0.2)
# The Market's floor service after its work has shifted; the same at the peak of
# a burst, and at that with one of three failure domains evacuated.
LAYOUTS["shifted"] = Layout(
    domains=_spread(60, 3),
    hosts=_spread(84, 3),
    slots=2,
    queue=8,
    work_s=0.033,
    long_flows=1_000,
    pause_s=2.0,
    fresh_per_s=244.0,
    report_s=1.3,
)
LAYOUTS["shifted-burst"] = LAYOUTS["shifted"]._replace(
    long_flows=2_200, fresh_per_s=540.0
)
LAYOUTS["shifted-evacuated"] = LAYOUTS["shifted-burst"]._replace(
    domains=_spread(40, 2)
)
# The same load before all of its upstreams, with half of the callers of two
# failure domains moved to the third.
LAYOUTS["shifted-moved"] = LAYOUTS["shifted-burst"]._replace(
    hosts=(0,) * 56 + (1,) * 14 + (2,) * 14
)
