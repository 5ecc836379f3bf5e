"""Measures how policies of choice spread requests and feeds.

`python -m benchmarks.balance` runs real processes on this machine. All
policies meet the same arrivals on the same processes, one after the other,
the first of which changes with the seed.
"""

from __future__ import annotations

import collections
import dataclasses
import random
import statistics
from typing import Annotated

import trio
import typer

from benchmarks import policy_runs
from persimmonhinge import ids
from persimmonhinge.load import balance
from persimmonhinge.policies import builtin  # noqa: F401
from persimmonhinge.policies import choice
from tests.standins import plan as plans
from tests.standins import processes

_PLANS = {
    "market": plans.make_market_plan,
    "utility": plans.make_utility_plan,
}
_RUN_TIME = ("--run-time-ms", f"{policy_runs.RUN_TIME_S * 1000:.0f}")
_DRAWS = 500
_FLOOR = "(drawn blindly)"
program = typer.Typer(add_completion=False)

Row = dict[str, float]


def describe(measured: policy_runs.Measured) -> Row:
    """Returns the figures of a run, by the name of their column."""
    (kind,) = measured.report.kinds
    return {
        "requests": kind.requests,
        "busy %": measured.slots.utilization * 100,
        "runs max/mean": balance.compute_imbalance(measured.runs),
        "runs cv": balance.compute_variation(measured.runs),
        "busy max/mean": measured.slots.imbalance,
        "busy cv": measured.slots.variation,
        "uneven %": measured.slots.uneven * 100,
        "feeds max/mean": balance.compute_imbalance(measured.feeds),
        "feeds cv": balance.compute_variation(measured.feeds),
        "p50 ms": kind.p50_ms,
        "p99 ms": kind.p99_ms,
        "refused": kind.refused,
    }


def draw_floor(requests: int, feeds: int, upstreams: int) -> Row:
    """Returns what chance alone gives if each draw is blind and fair."""
    source = random.Random(1)
    row: Row = {"requests": requests}
    for name, amount in (("runs", requests), ("feeds", feeds)):
        drawn = [_draw(amount, upstreams, source) for _ in range(_DRAWS)]
        row[f"{name} max/mean"] = statistics.fmean(
            balance.compute_imbalance(amounts) for amounts in drawn
        )
        row[f"{name} cv"] = statistics.fmean(
            balance.compute_variation(amounts) for amounts in drawn
        )
    return row


def _draw(
    amount: int, upstreams: int, source: random.Random
) -> balance.Amounts:
    counts = collections.Counter(source.choices(range(upstreams), k=amount))
    return {
        ids.UpstreamId(str(number)): counts[number]
        for number in range(upstreams)
    }


async def run_seed(
    sizes: str,
    seed: int,
    names: list[str],
    load: float,
    duration_s: float,
    feeds: int,
) -> dict[str, Row]:
    """Runs all policies on one deployment."""
    plan = dataclasses.replace(_PLANS[sizes](seed), upstream_options=_RUN_TIME)
    service = plan.services[0]
    slots = sum(upstream.slots for upstream in service.upstreams)
    rate = load * slots / policy_runs.RUN_TIME_S
    order = names[seed % len(names) :] + names[: seed % len(names)]
    rows: dict[str, Row] = {}
    async with processes.run_deployment(plan) as deployment:
        requests = (policy_runs.make_requests("lots", "/lots/{number}", rate),)
        for name in order:
            await deployment.apply(
                policy_runs.make_contract(deployment, service, name)
            )
            settings = policy_runs.make_settings(
                deployment, service, requests, duration_s, feeds
            )
            measured = await policy_runs.measure(deployment, service, settings)
            rows[name] = describe(measured)
    rows[_FLOOR] = draw_floor(
        round(rate * duration_s), feeds, len(service.upstreams)
    )
    return rows


def print_table(rows: dict[str, list[Row]]) -> None:
    """Prints the mean over the seeds as a table of Markdown."""
    columns = list(next(iter(rows.values()))[0])
    print("| policy | " + " | ".join(columns) + " |")
    print("| --- |" + " ---: |" * len(columns))
    for name, found in rows.items():
        cells = [
            f"{statistics.fmean(row[column] for row in found):.2f}"
            if column in found[0]
            else ""
            for column in columns
        ]
        print(f"| {name} | " + " | ".join(cells) + " |", flush=True)


@program.command()
def run(
    sizes: Annotated[str, typer.Option(help="market or utility")] = "market",
    seeds: str = "1",
    policies: str = "random,round-robin,least-connections,least-loaded,"
    "power-of-two,free-slot",
    load: Annotated[float, typer.Option(help="part of capacity")] = 0.6,
    seconds: Annotated[float, typer.Option(help="of each run")] = 10.0,
    feeds: int = 70,
) -> None:
    """Prints a table: a line for each policy, means over the seeds."""
    names = policies.split(",")
    for name in names:
        choice.choice_policies.get(name)
    rows: dict[str, list[Row]] = collections.defaultdict(list)
    for seed in seeds.split(","):
        found = trio.run(
            run_seed, sizes, int(seed), names, load, seconds, feeds
        )
        for name in (*names, _FLOOR):
            rows[name].append(found[name])
    print(f"\n{sizes}, {load:.0%} of capacity, seeds {seeds}\n")
    print_table(rows)


if __name__ == "__main__":
    program()
