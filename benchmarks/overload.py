"""Measures a service from half of its capacity to twice as much.

`python -m benchmarks.overload` runs real processes on this machine. Callers
reserve lots, the most valuable calls, and send more manifests than that, which
have a share of the slots. At the end all upstreams shed everything, to count
how often each request is tried.
"""

from __future__ import annotations

import dataclasses
import time
from typing import Annotated

import trio
import typer

from benchmarks import policy_runs
from benchmarks import refusals
from persimmonhinge.client import answer as answers
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.load import executions as execution_logs
from persimmonhinge.load import latency
from persimmonhinge.load import request_record
from persimmonhinge.load import run as load_runs
from tests.standins import plan as plans
from tests.standins import processes
from tests.standins import upstream_control

SERVICE = "floor-trading"
_SLOTS = 2
_COUNTS = (3, 2, 2)
_SHARE = 0.2
_LOTS_PART = 0.3
_DEADLINE_S = 3.0
_MANIFESTS = plans.MANIFEST_CLASS.model_copy(update={"share": _SHARE})
_COLUMNS = (
    "load",
    "offered /s",
    "goodput /s",
    "of capacity",
    "lots p50 ms",
    "lots p99 ms",
    "lots refused",
    "manifests p50 ms",
    "manifests p99 ms",
    "manifests refused",
    "wasted runs",
    "refusals",
    "needless",
    "refusal p50 ms",
)
program = typer.Typer(add_completion=False)


def make_plan(seed: int) -> plans.DeploymentPlan:
    """Returns one service with two classes of requests."""
    service = plans.ServicePlan(
        SERVICE,
        plans.make_upstreams("floor", _COUNTS, _SLOTS),
        (plans.LOT_CLASS, _MANIFESTS),
    )
    run_time_ms = policy_runs.RUN_TIME_S * 1000
    return plans.DeploymentPlan(
        plans.make_hosts(),
        (service,),
        seed,
        upstream_options=("--run-time-ms", f"{run_time_ms:.0f}"),
    )


@dataclasses.dataclass(slots=True)
class Outcome:
    """What one run of load came to.

    Attributes:
        ends: Each request with the wall clock of its end.
        executions: What the upstreams ran meanwhile.
        window: Wall clock in which requests arrived.
    """

    ends: list[tuple[float, request_record.RequestRecord]]
    executions: list[execution_logs.Execution]
    window: tuple[float, float]

    def count_goodput(self) -> int:
        """Returns the runs in the window whose callers got their answer."""
        keys = {record.key for _, record in self.ends if record.successful}
        start_s, end_s = self.window
        return sum(
            execution.key in keys
            for execution in self.executions
            if execution.kind == execution_logs.RUN
            and start_s <= execution.t < end_s
        )

    def count_wasted(self) -> int:
        """Returns the runs whose callers got no answer."""
        keys = {record.key for _, record in self.ends if record.successful}
        return sum(
            execution.key not in keys
            for execution in self.executions
            if execution.kind == execution_logs.RUN
        )


async def send(
    deployment: processes.Deployment, rate: float, duration_s: float
) -> Outcome:
    """Sends lots and manifests at a rate, and reads what ran."""
    (service,) = deployment.plan.services
    requests = (
        policy_runs.make_requests(
            "lots", "/lots/{number}", rate * _LOTS_PART, _DEADLINE_S
        ),
        policy_runs.make_requests(
            "manifests",
            "/manifests/{number}",
            rate * (1 - _LOTS_PART),
            _DEADLINE_S,
        ),
    )
    settings = policy_runs.make_settings(
        deployment, service, requests, duration_s
    )
    load = load_runs.LoadRun(settings)
    ends: list[tuple[float, request_record.RequestRecord]] = []
    add = load.book.add

    def note(record: request_record.RequestRecord) -> None:
        ends.append((time.time(), record))
        add(record)

    load.book.add = note  # type: ignore[method-assign]
    began_at = time.time()
    await load.run()
    executions = [
        execution
        for execution in execution_logs.read_executions(
            deployment.execution_logs()
        )
        if execution.t >= began_at
    ]
    window = (load.book.started_at, load.book.started_at + duration_s)
    return Outcome(ends, executions, window)


def describe(
    part: float, capacity: float, duration_s: float, outcome: Outcome
) -> list[str]:
    """Returns the cells of a line."""
    goodput = outcome.count_goodput() / duration_s
    refused = [
        at_s
        for at_s, record in outcome.ends
        if record.outcome is answers.Outcome.REFUSED
    ]
    slots = {
        f"floor-{domain}-{number + 1}": _SLOTS
        for domain, count in zip(plans.DOMAINS, _COUNTS, strict=True)
        for number in range(count)
    }
    needless = refusals.count_needless(
        refused, outcome.executions, slots, policy_runs.RUN_TIME_S
    )
    return [
        f"{part:.1f}",
        f"{len(outcome.ends) / duration_s:.1f}",
        f"{goodput:.1f}",
        f"{goodput / capacity:.0%}",
        *_describe_kind(outcome, "lots"),
        *_describe_kind(outcome, "manifests"),
        f"{outcome.count_wasted()}",
        f"{len(refused)}",
        f"{needless}",
        f"{_find_refusal_ms(outcome):.0f}",
    ]


def _find_refusal_ms(outcome: Outcome) -> float:
    found = latency.Latencies(
        record.latency_s
        for _, record in outcome.ends
        if record.outcome is answers.Outcome.REFUSED
    )
    return found.percentile_ms(latency.MEDIAN)


def _describe_kind(outcome: Outcome, kind: str) -> list[str]:
    records = [record for _, record in outcome.ends if record.kind == kind]
    found = latency.Latencies(
        record.latency_s for record in records if record.successful
    )
    refused = sum(r.outcome is answers.Outcome.REFUSED for r in records)
    return [
        f"{found.percentile_ms(latency.MEDIAN):.0f}",
        f"{found.percentile_ms(latency.P99):.0f}",
        f"{refused / max(1, len(records)):.0%}",
    ]


async def measure_amplification(
    deployment: processes.Deployment, rate: float, duration_s: float
) -> float:
    """Returns how often a request reached an upstream that sheds it."""
    (service,) = deployment.plan.services
    names = [upstream.id for upstream in service.upstreams]
    for name in names:
        await upstream_control.set_faults(deployment, name, shed=True)
    before = [await upstream_control.read_stats(deployment, n) for n in names]
    outcome = await send(deployment, rate, duration_s)
    after = [await upstream_control.read_stats(deployment, n) for n in names]
    tried = sum(
        now[kind] - then[kind]
        for now, then in zip(after, before, strict=True)
        for kind in ("sheds", "runs")
    )
    return tried / len(outcome.ends)


async def run_all(
    parts: list[float], seed: int, choice: str, duration_s: float
) -> None:
    """Runs all loads on one deployment, and prints their table."""
    plan = make_plan(seed)
    (service,) = plan.services
    slots = sum(upstream.slots for upstream in service.upstreams)
    capacity = slots / policy_runs.RUN_TIME_S
    async with processes.run_deployment(plan) as deployment:
        await deployment.apply(
            policy_runs.make_contract(deployment, service, choice)
        )
        # A short run before, so that keepers know how long requests take.
        await send(deployment, capacity / 2, 1.0)
        print("| " + " | ".join(_COLUMNS) + " |")
        print("|" + " ---: |" * len(_COLUMNS))
        for part in parts:
            outcome = await send(deployment, part * capacity, duration_s)
            cells = describe(part, capacity, duration_s, outcome)
            print("| " + " | ".join(cells) + " |", flush=True)
        amplification = await measure_amplification(
            deployment, capacity / 2, duration_s
        )
        print(f"\ntries of each request while all shed: {amplification:.2f}")


@program.command()
def run(
    loads: Annotated[str, typer.Option(help="parts")] = "0.5,0.9,1.2,2",
    seed: int = 1,
    choice: str = contracts.Policies().choice,
    seconds: Annotated[float, typer.Option(help="of each run")] = 8.0,
) -> None:
    """Prints a table: a line for each load."""
    parts = [float(part) for part in loads.split(",")]
    trio.run(run_all, parts, seed, choice, seconds)


if __name__ == "__main__":
    program()
