"""One run of packet generators, and its figures."""

from __future__ import annotations

import dataclasses
import itertools
import json
import statistics
import sys

import trio

from benchmarks import usage
from tests.standins import child as children

_WARM_S = 0.5
RUN_MARGIN_S = 20.0
# A request that two runs make alike would be answered as a copy.
seeds = itertools.count(1)


@dataclasses.dataclass(frozen=True)
class Options:
    """What to measure.

    Attributes:
        seconds: Length of one run.
        rounds: Runs of each kind.
        generators: Processes that send.
    """

    seconds: float
    rounds: int
    generators: int


@dataclasses.dataclass(frozen=True)
class Run:
    """What one run showed.

    Attributes:
        rate: Answered requests a second.
        cost_us: Processor time of the measured processes for one request.
        lost: Requests without an answer.
        p50_ms: Median time to the answer.
        p99_ms: 99th percentile of it.
    """

    rate: float
    cost_us: float
    lost: int
    p50_ms: float
    p99_ms: float


async def generate(
    address: str, seconds: float, window: int, source_ports: list[int]
) -> list[dict[str, float]]:
    """Runs one generator for each source port; returns what they print."""
    found: list[dict[str, float]] = []

    async def run_one(source_port: int) -> None:
        command = [sys.executable, "-m", "benchmarks.generator", address]
        command += ["--seconds", str(seconds), "--seed", str(next(seeds))]
        command += ["--window", str(window)]
        command += ["--source-port", str(source_port)]
        with trio.fail_after(seconds + RUN_MARGIN_S):
            done = await trio.run_process(
                command, capture_stdout=True, cwd=children.ROOT
            )
        found.append(json.loads(done.stdout))

    async with trio.open_nursery() as nursery:
        for source_port in source_ports:
            nursery.start_soon(run_one, source_port)
    return found


async def measure(
    address: str,
    pids: list[int],
    seconds: float,
    window: int,
    source_ports: list[int],
) -> Run:
    """Measures one run.

    Args:
        address: Where the requests go, `address:port`.
        pids: Processes whose time counts.
        seconds: How long the generators send.
        window: Requests in flight for each generator.
        source_ports: One generator for each; 0 for any port.
    """
    before = sum(usage.read_processor_s(pid) for pid in pids)
    found = await generate(address, seconds, window, source_ports)
    spent_s = sum(usage.read_processor_s(pid) for pid in pids) - before
    answered = sum(one["answered"] for one in found)
    return Run(
        answered / seconds,
        spent_s / max(answered, 1) * 1e6,
        int(sum(one["lost"] for one in found)),
        statistics.median(one["p50_ms"] for one in found),
        statistics.median(one["p99_ms"] for one in found),
    )


def take_median(runs: list[Run]) -> Run:
    """Returns the median of each figure."""
    return Run(
        *(
            statistics.median(getattr(run, field.name) for run in runs)
            for field in dataclasses.fields(Run)
        )
    )


async def wait_served(address: str) -> None:
    """Waits until requests to an address are answered.

    Raises:
        TooSlowError: They are not within `RUN_MARGIN_S`.
    """
    with trio.fail_after(RUN_MARGIN_S):
        while True:
            found = await generate(address, _WARM_S, 1, [0])
            if found[0]["answered"] > 1:
                return


def any_ports(options: Options) -> list[int]:
    """Returns source ports that leave the choice to the kernel."""
    return [0] * options.generators


def print_run(title: str, run: Run) -> None:
    """Prints the figures of a run."""
    print(
        f"{title}: {run.rate:.0f} requests/s, {run.cost_us:.0f} us of "
        f"processor time a request, p50 {run.p50_ms} ms, p99 {run.p99_ms} ms, "
        f"{run.lost} lost"
    )


def print_spread(title: str, runs: list[Run]) -> None:
    """Prints the rates of all rounds."""
    rates = sorted(round(run.rate) for run in runs)
    print(f"{title}: rates of the rounds {rates}")
