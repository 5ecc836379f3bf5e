"""Plans and steps that the tests of control in real processes share."""

from __future__ import annotations

import json
from typing import Any

from persimmonhinge.contracts import contract as contracts
from tests.standins import plan as plans
from tests.standins import processes

SERVICE = "floor"
_SLOTS = 2


def make_plan(hosts: int = 6, run_time_ms: int = 40) -> plans.DeploymentPlan:
    """Returns three failure domains with one service.

    Args:
        hosts: Number of entry hosts.
        run_time_ms: How long a request runs, milliseconds.
    """
    upstreams = plans.make_upstreams(SERVICE, (1, 1, 1), _SLOTS)
    classes = (plans.FEED_CLASS, plans.READ_CLASS, plans.LOT_CLASS)
    service = plans.ServicePlan(SERVICE, upstreams, classes)
    return plans.DeploymentPlan(
        plans.make_hosts(hosts),
        (service,),
        upstream_options=("--run-time-ms", str(run_time_ms)),
    )


def make_contract(
    deployment: processes.Deployment, queue: int
) -> contracts.Contract:
    """Returns the contract of the service with another limit."""
    (service,) = deployment.plan.services
    found = deployment.layout.make_contract(service)
    return found.model_copy(update={"limits": contracts.Limits(queue=queue)})


async def read_json(deployment: processes.Deployment, *arguments: str) -> Any:
    """Runs the command line and returns its JSON result."""
    done = await deployment.ctl(*arguments, "--output", "json")
    return json.loads(done.stdout)


async def find_revision(deployment: processes.Deployment) -> int:
    """Returns the revision of the contract in the platform."""
    trail = await read_json(deployment, "audit", "--target", SERVICE)
    revision: int = trail[-1]["revision"]
    return revision
