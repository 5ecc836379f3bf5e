"""Measures what membership costs each host, and where flows are placed.

`python -m benchmarks.membership` runs hosts in one process on loopback;
`--in-memory` runs them on a network in memory with a clock that jumps, which
allows hundreds of them but says nothing of processor time.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import gc
import logging
import random
import statistics
import time
import tracemalloc
from typing import Annotated
from typing import Any

import rich.console
import rich.table
import trio
import trio.testing
import typer

from benchmarks import slopes
from benchmarks import usage
from persimmonhinge import ids
from persimmonhinge.membership import codec as codecs
from persimmonhinge.membership import member as members
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import record as records
from persimmonhinge.membership import table as tables
from persimmonhinge.membership import view as views
from tests.test_membership import hosts
from tests.test_membership import lossy_network

_SIZES = (6, 12, 24, 48)
_DESIGN_HOSTS = 610
_DESIGN_DOMAINS = 11
_FLOWS = 20_000
_HEADER_OCTETS = 28  # IPv4 and UDP.
_SETTLE_LIMIT_S = 600.0
_OCTETS = "heartbeat_octets_sent_total"
_NEWS = "membership_news_queued"
_DATAGRAMS = "heartbeat_datagrams_sent_total"
program = typer.Typer(add_completion=False)


@dataclasses.dataclass(frozen=True)
class Cost:
    """What one host spends in steady state.

    Attributes:
        hosts: Number of hosts.
        joined_s: Time until all knew all, seconds.
        sent_octets: Octets sent a second, without headers.
        sent_datagrams: Datagrams sent a second.
        processor: Part of one core; 0 if not measured.
    """

    hosts: int
    joined_s: float
    sent_octets: float
    sent_datagrams: float
    processor: float


async def run_on_loopback(count: int, duration_s: float) -> Cost:
    """Runs hosts on sockets and measures them."""
    running: list[hosts.Host] = []
    seeds: list[dict[str, Any]] = []
    async with trio.open_nursery() as nursery:
        began = trio.current_time()
        for number in range(count):
            settings = hosts.make_settings(
                f"host-{number}",
                number,
                seeds,
                address="127.0.0.1",
                heartbeat_port=0,
            )
            host = hosts.make_host(settings, 1, random.Random(number))
            port = await nursery.start(host.run)
            running.append(host)
            if number < 2:
                seed = hosts.make_seed(number)
                seed.update(address="127.0.0.1", heartbeat_port=port)
                seeds = [*seeds, seed]
        await wait_until_all_know_all(running)
        joined_s = trio.current_time() - began
        cost = await measure(running, joined_s, duration_s)
        nursery.cancel_scope.cancel()
    return cost


async def run_in_memory(count: int, duration_s: float) -> Cost:
    """Runs hosts on a network in memory and measures what they send."""
    async with trio.open_nursery() as nursery:
        network = lossy_network.LossyNetwork(random.Random(1))
        await nursery.start(network.run)
        running = []
        began = trio.current_time()
        for number in range(count):
            address = f"10.0.{number // 250}.{number % 250 + 1}"
            seeds = [hosts.make_seed(0), hosts.make_seed(1)]
            settings = hosts.make_settings(
                f"host-{number}", number, seeds, address=address
            )
            port = network.open((address, settings.peers.heartbeat_port))
            host = hosts.make_host(
                settings, 1, random.Random(number), datagrams=port
            )
            await nursery.start(host.run)
            running.append(host)
        await wait_until_all_know_all(running)
        joined_s = trio.current_time() - began
        cost = await measure(running, joined_s, duration_s)
        nursery.cancel_scope.cancel()
    return dataclasses.replace(cost, processor=0.0)


async def wait_until_all_know_all(running: list[hosts.Host]) -> None:
    """Waits until each host believes that all live."""
    with trio.fail_after(_SETTLE_LIMIT_S):
        while not all(
            len(host.view.role_candidates()) == len(running) for host in running
        ):
            await trio.sleep(0.05)


async def measure(
    running: list[hosts.Host], joined_s: float, duration_s: float
) -> Cost:
    """Measures hosts once the news of their joining have ceased."""
    with trio.fail_after(_SETTLE_LIMIT_S):
        while any(host.counts.gauges()[_NEWS] for host in running):
            await trio.sleep(0.2)
    octets = sum_up(running, _OCTETS)
    datagrams = sum_up(running, _DATAGRAMS)
    processor_before = time.process_time()
    began = trio.current_time()
    await trio.sleep(duration_s)
    took_s = trio.current_time() - began
    processor = (time.process_time() - processor_before) / took_s
    count = len(running)
    return Cost(
        hosts=count,
        joined_s=joined_s,
        sent_octets=(sum_up(running, _OCTETS) - octets) / took_s / count,
        sent_datagrams=(sum_up(running, _DATAGRAMS) - datagrams)
        / took_s
        / count,
        processor=processor / count,
    )


def sum_up(running: list[hosts.Host], name: str) -> int:
    """Returns the sum of a counter over all hosts."""
    return sum(host.counts.sum(name) for host in running)


def make_member(number: int, domains: int) -> members.Member:
    """Returns a member as they are named and addressed in the field."""
    return members.Member(
        host=ids.HostId(f"entry-{number:03}"),
        domain=ids.DomainId(f"domain-{number % domains:02}"),
        address=f"10.20.{number // 250}.{number % 250 + 1}",
        peer_port=7000,
        heartbeat_port=7001,
        incarnation=ids.Incarnation(1_700_000_000_000 + number),
    )


def make_view(count: int, domains: int) -> views.View:
    """Returns a view of members."""
    view = views.View(make_member(0, domains))
    for number in range(1, count):
        view.put(make_member(number, domains))
    return view


def measure_state(count: int) -> tuple[int, int]:
    """Returns octets of memory, and octets on the wire, of a whole state."""
    gc.collect()
    tracemalloc.start()
    view = make_view(count, _DESIGN_DOMAINS)
    table = tables.Table(3600.0, time.monotonic)
    for member in view.all():
        table.merge_record(records.Record.from_member(member))
    placement = placements.Placement(view)
    placement.rank_homes(ids.ServiceName("s"), ("10.0.0.1", 1))
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    codec = codecs.DatagramCodec(None)
    wire = sum(codec.measure_record(record) for record in table.all())
    return memory, wire


def place_flows(view: views.View) -> list[ids.HostId]:
    """Returns the homes of many flows."""
    placement = placements.Placement(view)
    service = ids.ServiceName("floor-trading")
    return [
        placement.rank_homes(
            service, (f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}", 40_000)
        )[0].host
        for i in range(_FLOWS)
    ]


def show_costs(console: rich.console.Console, costs: list[Cost]) -> None:
    """Prints what hosts spend and how it grows with their number."""
    table = rich.table.Table("hosts", "all know all s", "octets/s sent")
    table.add_column("with headers")
    table.add_column("datagrams/s sent")
    table.add_column("% of a core")
    for cost in costs:
        headers = cost.sent_datagrams * _HEADER_OCTETS
        table.add_row(
            str(cost.hosts),
            f"{cost.joined_s:.1f}",
            f"{cost.sent_octets:.0f}",
            f"{cost.sent_octets + headers:.0f}",
            f"{cost.sent_datagrams:.2f}",
            f"{cost.processor * 100:.3f}",
        )
    console.print(table)
    if len(costs) < 3:
        return
    sizes = [cost.hosts for cost in costs]
    for name, values in (
        ("octets/s", [cost.sent_octets for cost in costs]),
        ("datagrams/s", [cost.sent_datagrams for cost in costs]),
        ("% of a core", [cost.processor * 100 for cost in costs]),
    ):
        line = slopes.fit_line(sizes, values)
        residual = statistics.fmean(
            (value - line.offset - line.slope * size) ** 2
            for size, value in zip(sizes, values, strict=True)
        )
        at_design = line.offset + line.slope * _DESIGN_HOSTS
        console.print(
            f"{name}: {line.offset:.4g} + {line.slope:.3g} a host, "
            f"residual {residual**0.5:.3g}; "
            f"at {_DESIGN_HOSTS}: {at_design:.4g}"
        )


def show_state(console: rich.console.Console) -> None:
    """Prints what the state takes."""
    sizes = (50, 200, _DESIGN_HOSTS)
    states = [measure_state(size) for size in sizes]
    memory = slopes.fit_line(sizes, [float(state[0]) for state in states])
    console.print(
        f"state: {memory.slope:.0f} octets of memory a member "
        f"(fit {memory.fit:.4f}); at {_DESIGN_HOSTS}: "
        f"{states[-1][0] / 1024:.0f} KiB, "
        f"{states[-1][1] / 1024:.1f} KiB to a host that joins"
    )


def show_placement(console: rich.console.Console) -> None:
    """Prints how evenly flows are placed, and how many a join moves."""
    table = rich.table.Table("hosts", "domains", "max/mean", "variation")
    table.add_column("moved by a join")
    table.add_column("least possible")
    table.add_column("us a flow")
    for count, domains in ((6, 3), (7, 3), (24, 3), (48, 3), (610, 11)):
        began = time.perf_counter()
        homes = place_flows(make_view(count, domains))
        took_s = time.perf_counter() - began
        amounts = collections.Counter(homes).values()
        mean = _FLOWS / count
        after = place_flows(make_view(count + 1, domains))
        moved = sum(a != b for a, b in zip(homes, after, strict=True))
        table.add_row(
            str(count),
            str(domains),
            f"{max(amounts) / mean:.3f}",
            f"{statistics.pstdev(amounts) / mean:.3f}",
            f"{moved / _FLOWS:.4f}",
            f"{1 / (count + 1):.4f}",
            f"{took_s / _FLOWS * 1e6:.1f}",
        )
    console.print(table)


@program.command()
def main(
    sizes: Annotated[
        list[int] | None, typer.Option(help="Numbers of hosts.")
    ] = None,
    duration_s: Annotated[
        float, typer.Option(help="Measured time for each size, seconds.")
    ] = 5.0,
    in_memory: Annotated[
        bool, typer.Option(help="No sockets and no real time.")
    ] = False,
) -> None:
    """Measures membership."""
    logging.disable(logging.CRITICAL)
    console = rich.console.Console()
    console.print(usage.describe_load())
    costs = []
    for count in sizes or _SIZES:
        if in_memory:
            clock = trio.testing.MockClock(autojump_threshold=0)
            run = functools.partial(run_in_memory, count, duration_s)
            costs.append(trio.run(run, clock=clock))
        else:
            costs.append(trio.run(run_on_loopback, count, duration_s))
    show_costs(console, costs)
    if not in_memory:
        show_state(console)
        show_placement(console)


if __name__ == "__main__":
    program()
