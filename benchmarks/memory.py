"""Memory of a host as flows and feeds grow, and control octets meanwhile.

Run it with `python -m benchmarks.memory`. A flow is a caller with a socket of
its own that got a ticket and an answer to one non-idempotent request; a feed
is a caller that opened one and stays. One entry host, a real process, is home
and keeper of all. Then two hosts hold flows and do nothing else, and what they
send meanwhile is control.
"""

from __future__ import annotations

import dataclasses
import json
import pathlib
import sys
import tempfile
import time
from typing import Annotated

import trio
import typer

from benchmarks import packet_deployment
from benchmarks import slopes
from benchmarks import usage
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.settings import entry as settings_entry
from tests.standins import child as children
from tests.standins import plan as plans
from tests.standins import processes

_WORKERS = 2
_SETTLE_S = 1.0
_LOOK_S = 5.0
# Rows stay for the whole measurement.
_TICKET_LIFE_S = 3000.0
_CONNECTIONS = 1_000_000
_CONTROL = ("heartbeat_octets_sent_total", "peer_octets_sent_total")
program = typer.Typer(add_completion=False)


@dataclasses.dataclass(frozen=True)
class Point:
    """A host that holds so much.

    Attributes:
        count: Flows or feeds.
        memory: What the process holds.
        rate: New ones a second since the point before.
        cost_us: Processor time of the host for one new one.
    """

    count: int
    memory: usage.Memory
    rate: float
    cost_us: float


def make_plan(hosts: int) -> plans.DeploymentPlan:
    """Returns hosts that forget nothing while they are measured."""
    plan = packet_deployment.make_plan(hosts)
    service = dataclasses.replace(
        plan.services[0],
        call_classes=(plans.FEED_CLASS, plans.READ_CLASS, plans.LOT_CLASS),
    )
    flows = settings_entry.FlowSettings(ticket_life_s=_TICKET_LIFE_S)
    return dataclasses.replace(plan, services=(service,), flows=flows)


async def add_callers(address: str, count: int, *, observe: bool) -> None:
    """Runs new callers to their answers.

    Raises:
        ChildError: Some got none.
    """
    answered: list[int] = []

    async def run_some(size: int) -> None:
        command = [sys.executable, "-m", "benchmarks.callers", address]
        command.append(str(size))
        if observe:
            command += ["--observe", "--path", "/board"]
        done = await trio.run_process(
            command, capture_stdout=True, cwd=children.ROOT
        )
        answered.append(json.loads(done.stdout)["answered"])

    async with trio.open_nursery() as nursery:
        for _ in range(_WORKERS):
            nursery.start_soon(run_some, count // _WORKERS)
    if sum(answered) < count // _WORKERS * _WORKERS:
        raise children.ChildError(f"{sum(answered)} of {count} answered")


async def measure_growth(
    echo: str, sizes: list[int], *, observe: bool
) -> list[Point]:
    """Measures one host at each size, one after the other."""
    points: list[Point] = []
    async with processes.run_deployment(make_plan(1)) as deployment:
        await _serve(deployment, echo)
        host = deployment.plan.hosts[0]
        address = packet_deployment.find_address(deployment, host)
        pid = deployment.hosts[host.name].pid
        await trio.sleep(_SETTLE_S)
        points.append(Point(0, usage.read_memory(pid), 0, 0))
        for size in sizes:
            more = size - points[-1].count
            spent_s = usage.read_processor_s(pid)
            began = time.monotonic()
            await add_callers(address, more, observe=observe)
            rate = more / (time.monotonic() - began)
            spent_s = usage.read_processor_s(pid) - spent_s
            await trio.sleep(_SETTLE_S)
            memory = usage.read_memory(pid)
            points.append(Point(size, memory, rate, spent_s / more * 1e6))
    return points


async def measure_control(echo: str, sizes: list[int]) -> None:
    """Prints what two hosts send while they hold flows."""
    values: list[float] = []
    async with processes.run_deployment(make_plan(2)) as deployment:
        await _serve(deployment, echo)
        host = deployment.plan.hosts[0]
        address = packet_deployment.find_address(deployment, host)
        held = 0
        for size in sizes:
            if size > held:
                await add_callers(address, size - held, observe=False)
                held = size
            await trio.sleep(_SETTLE_S)
            before = await packet_deployment.read_counts(deployment, host)
            await trio.sleep(_LOOK_S)
            after = await packet_deployment.read_counts(deployment, host)
            sent = sum(after.get(n, 0) - before.get(n, 0) for n in _CONTROL)
            values.append(sent / _LOOK_S)
            print(f"{size:7} flows: control sends {values[-1]:.0f} octets/s")
    line = slopes.fit_line(sizes, values)
    print(f"slope: {line.slope * 1000:+.2f} octets/s for 1000 flows")


async def _serve(deployment: processes.Deployment, echo: str) -> None:
    limits = contracts.Limits(slow_start_s=0, queue=10_000, silent_feed_s=3600)
    await packet_deployment.give_upstream(
        deployment, echo, limits, _CONNECTIONS
    )


def print_growth(title: str, points: list[Point]) -> None:
    """Prints the points and the slope of memory."""
    for point in points:
        print(
            f"{point.count:7} {title}: RSS {point.memory.rss / 1e6:.1f} MB, "
            f"PSS {point.memory.pss / 1e6:.1f} MB; {point.rate:.0f} new "
            f"a second, {point.cost_us:.0f} us of processor time each"
        )
    # The first point lacks what any first work brings.
    used = points[1:] if len(points) > 3 else points
    line = slopes.fit_line(
        [point.count for point in used], [point.memory.rss for point in used]
    )
    print(
        f"slope: {line.slope:.0f} octets a {title[:-1]}, offset "
        f"{line.offset / 1e6:.1f} MB, fit {line.fit:.4f}"
    )


async def measure_all(flows: list[int], feeds: list[int]) -> None:
    """Measures flows, feeds and control, with one upstream for all."""
    with tempfile.TemporaryDirectory() as name:
        echo = await children.start_child(
            "echo", "benchmarks.echo_upstream", [], pathlib.Path(name)
        )
        try:
            address = (await echo.find_text("listening on ")).strip()
            grown = await measure_growth(address, flows, observe=False)
            print_growth("flows", grown)
            grown = await measure_growth(address, feeds, observe=True)
            print_growth("feeds", grown)
            await measure_control(address, [0, flows[0] // 5, flows[0]])
        finally:
            with trio.CancelScope(shield=True):
                await echo.kill()


@program.command()
def main(
    flows: Annotated[str, typer.Option(help="sizes")] = "10000,30000,50000",
    feeds: Annotated[str, typer.Option(help="sizes")] = "1000,5000,20000",
) -> None:
    """Measures at some sizes; `--flows 10000,50000,200000` takes minutes."""
    print(f"begins at {usage.describe_load()}")
    sizes = [[int(n) for n in text.split(",")] for text in (flows, feeds)]
    trio.run(measure_all, sizes[0], sizes[1])
    print(f"ends at {usage.describe_load()}")


if __name__ == "__main__":
    program()
