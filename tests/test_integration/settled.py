"""Deployments in which each host sees all others."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib

from tests.standins import plan as plans
from tests.standins import processes


@contextlib.asynccontextmanager
async def run_settled(
    plan: plans.DeploymentPlan,
) -> AsyncIterator[processes.Deployment]:
    """Runs a deployment in which each host sees all others."""
    async with processes.run_deployment(plan) as deployment:
        names = list(deployment.hosts)
        await deployment.pages.wait_sees(names, names)
        yield deployment
