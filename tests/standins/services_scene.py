"""Two services whose callers and upstreams must never meet."""

from __future__ import annotations

from persimmonhinge.contracts import contract as contracts
from persimmonhinge.load import executions as execution_logs
from tests.standins import plan as plans
from tests.standins import processes

FLOOR = "floor"
INTAKE = "intake"
_SLOTS = 16
_CLASSES = (plans.FEED_CLASS, plans.READ_CLASS, plans.LOT_CLASS)


def make_plan(hosts: int = 4, seed: int = 1) -> plans.DeploymentPlan:
    """Returns two services with the same paths, one upstream a domain."""
    services = tuple(
        plans.ServicePlan(
            name, plans.make_upstreams(name, (1, 1, 1), _SLOTS), _CLASSES
        )
        for name in (FLOOR, INTAKE)
    )
    return plans.DeploymentPlan(plans.make_hosts(hosts), services, seed=seed)


def find_contract(
    deployment: processes.Deployment, service: str
) -> contracts.Contract:
    """Returns the contract of a service as it was first applied."""
    (planned,) = (s for s in deployment.plan.services if s.name == service)
    return deployment.layout.make_contract(planned)


def check_no_stray(
    executions: list[execution_logs.Execution],
    services: dict[str, str],
) -> None:
    """Checks that nothing reached an upstream of another service.

    Args:
        executions: The logs of all upstreams.
        services: Service that each key was sent to.

    Raises:
        AssertionError: Something did.
    """
    stray = [e for e in executions if e.kind == execution_logs.MISROUTED]
    assert not stray, stray
    for line in executions:
        if line.kind == execution_logs.RUN:
            assert services.get(str(line.key)) == line.service, line
