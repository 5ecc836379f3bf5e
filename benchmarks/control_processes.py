"""What control costs real entry processes while nothing changes.

Runs 6, 12, 24 and 48 entry hosts without callers, and prints platform calls by
kind, octets that a host sends to its peers (those of frames, before TLS), and
its processor share, each with the line through the sizes. The fault-injecting
proxy is left out: one process, it can't carry the links of 24 hosts that start
at once, and they give each other up.
"""

from __future__ import annotations

import argparse
from collections.abc import Sequence
import dataclasses
import json

import trio

from benchmarks import slopes
from benchmarks import usage
from tests.standins import host_pages
from tests.standins import processes
from tests.test_integration import control_plans

_SIZES = (6, 12, 24, 48)
_SETTLE_S = 8.0
_STEADY_S = 20.0


@dataclasses.dataclass
class Cost:
    """What one size costs.

    Attributes:
        hosts: Number of entry processes.
        calls: Calls of the platform a second, by kind.
        stream_octets: Octets that a host sends on streams, a second.
        heartbeat_octets: Octets of heartbeats that it sends, a second.
        processor: Part of a core that a host takes.
    """

    hosts: int
    calls: dict[str, float]
    stream_octets: float
    heartbeat_octets: float
    processor: float


@dataclasses.dataclass(frozen=True)
class _Reading:
    calls: dict[str, int]
    stream_octets: int
    heartbeat_octets: int
    processor_s: float


async def measure(hosts: int) -> Cost:
    """Measures one size."""
    plan = control_plans.make_plan(hosts)
    async with processes.run_deployment(plan) as deployment:
        pages = host_pages.HostPages(deployment.metrics_url)
        names = list(deployment.hosts)
        await pages.wait_sees(names, names)
        await trio.sleep(_SETTLE_S)
        before = await _read(deployment, pages)
        began = trio.current_time()
        await trio.sleep(_STEADY_S)
        after = await _read(deployment, pages)
        passed_s = trio.current_time() - began
    each = hosts * passed_s
    return Cost(
        hosts=hosts,
        calls={
            kind: round((n - before.calls.get(kind, 0)) / passed_s, 3)
            for kind, n in after.calls.items()
        },
        stream_octets=(after.stream_octets - before.stream_octets) / each,
        heartbeat_octets=(after.heartbeat_octets - before.heartbeat_octets)
        / each,
        processor=(after.processor_s - before.processor_s) / each,
    )


async def _read(
    deployment: processes.Deployment, pages: host_pages.HostPages
) -> _Reading:
    streams = 0
    heartbeats = 0
    for host in deployment.hosts:
        streams += await pages.count(host, "peer_octets_sent_total")
        heartbeats += await pages.count(host, "heartbeat_octets_sent_total")
    return _Reading(
        calls=await deployment.platform.get_counts(),
        stream_octets=streams,
        heartbeat_octets=heartbeats,
        processor_s=sum(
            usage.read_processor_s(host.pid)
            for host in deployment.hosts.values()
        ),
    )


def _print_cost(cost: Cost) -> None:
    print(
        f"{cost.hosts:3} hosts: platform {sum(cost.calls.values()):.2f} "
        f"calls/s {cost.calls}; each host sends "
        f"{cost.stream_octets:.0f} octets/s on streams and "
        f"{cost.heartbeat_octets:.0f} of heartbeats, and takes "
        f"{cost.processor:.2%} of a core",
        flush=True,
    )


def _print_lines(costs: Sequence[Cost]) -> None:
    sizes = [cost.hosts for cost in costs]
    lines = {
        "platform calls/s": [sum(cost.calls.values()) for cost in costs],
        "octets/s a host": [
            cost.stream_octets + cost.heartbeat_octets for cost in costs
        ],
        "core a host": [cost.processor for cost in costs],
    }
    for name, values in lines.items():
        line = slopes.fit_line(sizes, values)
        print(
            f"{name}: {line.offset:.4f} {line.slope:+.5f} for each host "
            f"(fit {line.fit:.3f})"
        )


def main() -> None:
    """Prints all measurements, and as the last line a JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=_SIZES)
    options = parser.parse_args()
    print(usage.describe_load())
    costs = []
    for size in options.sizes:
        costs.append(trio.run(measure, size))
        _print_cost(costs[-1])
    _print_lines(costs)
    print(json.dumps([dataclasses.asdict(cost) for cost in costs]))


if __name__ == "__main__":
    main()
