"""Load on a deployment of real processes, with one policy after another."""

from __future__ import annotations

import dataclasses
import pathlib

from benchmarks import busy_slots
from persimmonhinge.client import settings as client_settings
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.load import balance
from persimmonhinge.load import executions as execution_logs
from persimmonhinge.load import report as reports
from persimmonhinge.load import run as load_runs
from persimmonhinge.settings import load as load_settings
from tests.standins import plan as plans
from tests.standins import processes

RUN_TIME_S = 0.25
# Before a run is measured its hosts have a new contract and warm costs.
_SETTLE_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Measured:
    """What one run of load came to.

    Attributes:
        report: What the load program says.
        runs: Runs by upstream.
        feeds: Mean of open feeds by upstream.
        slots: How the busy slots were spread at each moment.
    """

    report: reports.Report
    runs: balance.Amounts
    feeds: balance.Amounts
    slots: busy_slots.BusySlots


def make_requests(
    kind: str, path: str, rate: float, deadline_s: float = 5.0
) -> load_settings.RequestLoad:
    """Returns requests of one kind, spread over many callers."""
    return load_settings.RequestLoad(
        kind=kind,
        path=path,
        rate=rate,
        callers=60,
        deadline_s=deadline_s,
    )


def make_contract(
    deployment: processes.Deployment, service: plans.ServicePlan, choice: str
) -> contracts.Contract:
    """Returns the contract of a service with a policy of choice."""
    contract = deployment.layout.make_contract(service)
    policies = contract.policies.model_copy(update={"choice": choice})
    return contract.model_copy(update={"policies": policies})


def make_settings(
    deployment: processes.Deployment,
    service: plans.ServicePlan,
    requests: tuple[load_settings.RequestLoad, ...],
    duration_s: float,
    feeds: int = 0,
) -> load_settings.LoadSettings:
    """Returns the load on one service."""
    host, port = deployment.layout.service_address(service.name)
    feed_loads = (load_settings.FeedLoad(count=feeds),) if feeds else ()
    load = load_settings.ServiceLoad(
        service=service.name,
        address=contracts.Address(host=host, port=port),
        upstreams=tuple(upstream.id for upstream in service.upstreams),
        feeds=feed_loads,
        requests=requests,
    )
    return load_settings.LoadSettings(
        seed=deployment.plan.seed,
        duration_s=duration_s,
        ramp_s=1.0,
        settle_s=_SETTLE_S,
        client=client_settings.ClientSettings(ack_timeout_s=0.5),
        services=(load,),
    )


async def measure(
    deployment: processes.Deployment,
    service: plans.ServicePlan,
    settings: load_settings.LoadSettings,
) -> Measured:
    """Sends load and reads what the upstreams logged meanwhile."""
    logs = [deployment.execution_log(u.id) for u in service.upstreams]
    before = {log: _count_lines(log) for log in logs}
    load = load_runs.LoadRun(settings)
    await load.run()
    executions: list[execution_logs.Execution] = []
    for log in logs:
        executions += execution_logs.read_executions([log])[before[log] :]
    known = load.book.upstreams
    start_s, end_s = load.book.started_at, load.book.ended_at
    (runs,) = balance.count_runs(executions, known).values()
    (feeds,) = balance.average_feeds(executions, known, start_s, end_s).values()
    slots = busy_slots.measure_busy(
        executions,
        {u.id: u.slots for u in service.upstreams},
        RUN_TIME_S,
        start_s,
        end_s,
    )
    return Measured(
        reports.make_report(load.book, executions), runs, feeds, slots
    )


def _count_lines(log: pathlib.Path) -> int:
    return log.read_bytes().count(b"\n")
