"""Plans and steps that the tests of load in real processes share."""

from __future__ import annotations

import trio

from persimmonhinge.contracts import contract as contracts
from persimmonhinge.load import executions as execution_logs
from tests.standins import plan as plans
from tests.standins import processes

SERVICE = "floor"
_POLL_S = 0.1
_LIMIT_S = 40.0
_MANIFEST_SHARE = 0.2
_MANIFESTS = plans.MANIFEST_CLASS.model_copy(update={"share": _MANIFEST_SHARE})


def make_plan(
    upstreams: tuple[int, ...] = (1, 1, 1),
    *,
    slots: int = 2,
    run_time_ms: float = 40.0,
    limits: contracts.Limits | None = None,
) -> plans.DeploymentPlan:
    """Returns three failure domains with one service of two classes."""
    service = plans.ServicePlan(
        SERVICE,
        plans.make_upstreams(SERVICE, upstreams, slots),
        (plans.FEED_CLASS, plans.READ_CLASS, plans.LOT_CLASS, _MANIFESTS),
        limits or contracts.Limits(),
    )
    return plans.DeploymentPlan(
        plans.make_hosts(),
        (service,),
        upstream_options=("--run-time-ms", str(run_time_ms)),
    )


async def find_keepers(deployment: processes.Deployment) -> dict[str, str]:
    """Returns the keeper of each upstream, as the first host sees it."""
    host = next(iter(deployment.hosts))
    status = await deployment.pages.status(host)
    return {u["upstream"]: u["keeper"] for u in status["upstreams"]}


def read_log(
    deployment: processes.Deployment, kind: str
) -> list[execution_logs.Execution]:
    """Returns all lines of one kind, in order of time."""
    found = execution_logs.read_executions(deployment.execution_logs())
    return sorted((e for e in found if e.kind == kind), key=lambda e: e.t)


def count_runs(
    deployment: processes.Deployment, after: float = 0.0
) -> dict[str, int]:
    """Returns the runs of each upstream since a wall clock time."""
    counts = dict.fromkeys(deployment.upstreams, 0)
    for execution in read_log(deployment, execution_logs.RUN):
        if execution.t >= after:
            counts[execution.upstream] += 1
    return counts


async def wait_runs(
    deployment: processes.Deployment, upstream: str, count: int, after: float
) -> None:
    """Waits until an upstream has run so much since a time.

    Raises:
        TooSlowError: It has not.
    """
    with trio.fail_after(_LIMIT_S):
        while count_runs(deployment, after)[upstream] < count:
            await trio.sleep(_POLL_S)
