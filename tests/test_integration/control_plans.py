"""Plans and steps that the tests of control in real processes share."""

from __future__ import annotations

import json
from typing import Any

from persimmonhinge.contracts import contract as contracts
from persimmonhinge.settings import entry
from tests.standins import plan as plans
from tests.standins import processes

SERVICE = "floor"
_SLOTS = 2


def make_plan(
    hosts: int = 6, flows: entry.FlowSettings | None = None
) -> plans.DeploymentPlan:
    """Returns three failure domains with one service."""
    upstreams = plans.make_upstreams(SERVICE, (1, 1, 1), _SLOTS)
    classes = (plans.FEED_CLASS, plans.READ_CLASS, plans.LOT_CLASS)
    service = plans.ServicePlan(SERVICE, upstreams, classes)
    return plans.DeploymentPlan(
        plans.make_hosts(hosts),
        (service,),
        flows=flows or entry.FlowSettings(),
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
