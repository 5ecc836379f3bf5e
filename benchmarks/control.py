"""Load and speed of control as the number of hosts grows.

Runs whole control parts of many hosts in one process, on a network and a
platform in memory and in virtual time, and prints for each number of hosts
what one host sends, how often the platform is called, and how long a contract
takes until it is in force on all. Processor time is real, and holds that of
the network and the platform in memory.
"""

from __future__ import annotations

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
import json
import logging
import time
from typing import Concatenate
from typing import ParamSpec
from typing import TypeVar

import trio
import trio.testing

from benchmarks import in_force_delays
from tests.test_contracts import fleet as fleets

P = ParamSpec("P")
T = TypeVar("T")

_SIZES = (6, 12, 24, 48)
_SETTLE_S = 10.0
_STEADY_S = 60.0
_CHANGES = 20
_LARGEST = 610
_LARGEST_CHANGES = 5
_CHANGE_GAP_S = 5.0
_LOOK_S = 0.01
_LOSS = 0.1
_CUT_S = 20.0
_CUTS = 10
# Headers of IPv4, TCP with time stamps, and a TLS 1.3 record.
_HEADER_OCTETS = 20 + 32 + 22


@dataclasses.dataclass
class Load:
    """What a fleet costs while nothing changes.

    Attributes:
        hosts: Number of hosts.
        messages: Messages that one host sends a second.
        octets: Octets of their frames a second.
        processor: Seconds of processor time a second, for one host.
        calls: Calls of the platform a second, by kind.
        change_octets: Octets of frames that one host sends for one change.
    """

    hosts: int
    messages: float
    octets: float
    processor: float
    calls: dict[str, float]
    change_octets: float = 0.0


async def measure_load(hosts: int) -> Load:
    """Measures a fleet of a size."""
    async with trio.open_nursery() as nursery:
        fleet = await _start(nursery, hosts)
        before = _count(fleet)
        calls = collections.Counter(fleet.platform.calls)
        began = time.process_time()
        await trio.sleep(_STEADY_S)
        spent_s = time.process_time() - began
        messages, octets = _subtract(_count(fleet), before)
        calls = collections.Counter(fleet.platform.calls) - calls
        scale = hosts * _STEADY_S
        load = Load(
            hosts=hosts,
            messages=messages / scale,
            octets=octets / scale,
            processor=spent_s / scale,
            calls={k: round(n / _STEADY_S, 3) for k, n in calls.items()},
        )
        load.change_octets = await _measure_change(fleet, load)
        nursery.cancel_scope.cancel()
    return load


async def measure_delay(
    hosts: int, loss: float, changes: int = _CHANGES
) -> in_force_delays.Delay:
    """Measures changes one after another."""
    delays: list[float] = []
    async with trio.open_nursery() as nursery:
        fleet = await _start(nursery, hosts)
        fleet.links.loss = loss
        for number in range(changes):
            revision = fleet.apply("floor", port=8000 + number)
            delays.append(await _wait_in_force(fleet, revision))
            await trio.sleep(_CHANGE_GAP_S)
        nursery.cancel_scope.cancel()
    return in_force_delays.summarize(f"{loss:.0%} loss", hosts, delays)


async def measure_healed_cut(hosts: int) -> in_force_delays.Delay:
    """Measures from the end of a cut to agreement of both sides."""
    delays: list[float] = []
    async with trio.open_nursery() as nursery:
        fleet = await _start(nursery, hosts)
        for number in range(_CUTS):
            cut_off = fleet.names(number % fleets.DOMAINS)
            fleet.links.cut(cut_off, set(fleet.hosts) - cut_off)
            fleet.platform.unreachable = cut_off
            revision = fleet.apply("floor", port=8000 + number)
            await trio.sleep(_CUT_S)
            fleet.links.heal()
            fleet.platform.unreachable = set()
            delays.append(await _wait_in_force(fleet, revision))
            await trio.sleep(_CHANGE_GAP_S)
        nursery.cancel_scope.cancel()
    return in_force_delays.summarize("healed cut", hosts, delays)


def fit_slope(sizes: list[int], values: list[float]) -> float:
    """Returns the slope of the least-squares line."""
    mean_x = sum(sizes) / len(sizes)
    mean_y = sum(values) / len(values)
    above = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True)
    )
    return above / sum((x - mean_x) ** 2 for x in sizes)


async def _start(nursery: trio.Nursery, hosts: int) -> fleets.Fleet:
    fleet = fleets.Fleet(nursery, hosts)
    fleet.apply("floor")
    fleet.apply("intake", port=7100)
    await fleet.start(_SETTLE_S)
    return fleet


async def _measure_change(fleet: fleets.Fleet, load: Load) -> float:
    before = _count(fleet)
    for number in range(_CHANGES):
        fleet.apply("floor", port=8000 + number)
        await trio.sleep(_CHANGE_GAP_S)
    _, octets = _subtract(_count(fleet), before)
    steady = load.octets * _CHANGE_GAP_S
    return octets / len(fleet.hosts) / _CHANGES - steady


async def _wait_in_force(fleet: fleets.Fleet, revision: int) -> float:
    began = trio.current_time()
    while not fleet.knows("floor", revision):
        await trio.sleep(_LOOK_S)
    return trio.current_time() - began


def _count(fleet: fleets.Fleet) -> tuple[int, int]:
    return fleet.links.messages.total(), fleet.links.octets.total()


def _subtract(now: tuple[int, int], before: tuple[int, int]) -> tuple[int, int]:
    return now[0] - before[0], now[1] - before[1]


def _print_loads(loads: list[Load]) -> None:
    sizes = [load.hosts for load in loads]
    for load in loads:
        with_headers = load.octets + load.messages * _HEADER_OCTETS
        print(
            f"{load.hosts:3} hosts: {load.messages:5.2f} messages/s, "
            f"{load.octets:5.0f} octets/s ({with_headers:.0f} with headers), "
            f"{load.processor:.3%} of a core for each host; "
            f"{load.change_octets:.0f} octets for each change; "
            f"platform {sum(load.calls.values()):.2f} calls/s {load.calls}"
        )
    calls = [sum(load.calls.values()) for load in loads]
    octets = [load.octets for load in loads]
    print(f"slope: {fit_slope(sizes, calls):+.4f} platform calls/s a host")
    print(f"slope: {fit_slope(sizes, octets):+.2f} octets/s a host, each host")


def main() -> None:
    """Prints all measurements, and as the last line a JSON object."""
    logging.disable()
    loads = [_run(measure_load, size) for size in _SIZES]
    _print_loads(loads)
    delays = [_run(measure_delay, size, 0.0) for size in _SIZES]
    delays += [_run(measure_delay, size, _LOSS) for size in _SIZES]
    delays.append(_run(measure_delay, _LARGEST, _LOSS, _LARGEST_CHANGES))
    delays.append(_run(measure_healed_cut, 24))
    for delay in delays:
        print(
            f"{delay.hosts:3} hosts, {delay.case}: in force after "
            f"p50 {delay.p50_s} s, p99 {delay.p99_s} s, max {delay.max_s} s "
            f"({delay.changes} changes)"
        )
    document = {
        "loads": [dataclasses.asdict(load) for load in loads],
        "delays": [dataclasses.asdict(delay) for delay in delays],
    }
    print(json.dumps(document))


def _run(
    measure: Callable[Concatenate[int, P], Awaitable[T]],
    hosts: int,
    *arguments: P.args,
    **options: P.kwargs,
) -> T:
    clock = trio.testing.MockClock(autojump_threshold=0)
    task = functools.partial(measure, hosts, *arguments, **options)
    return trio.run(task, clock=clock)


if __name__ == "__main__":
    main()
