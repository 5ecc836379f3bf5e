"""A deployment whose one service has an upstream that answers at once."""

from __future__ import annotations

import httpx

from benchmarks import packet_runs
from persimmonhinge.contracts import contract as contracts
from tests.standins import plan as plans
from tests.standins import processes

SERVICE = "clock"
_SLOTS = 10_000
# A cold upstream gets its full slots only after the slow start.
_LIMITS = contracts.Limits(slow_start_s=0, queue=_SLOTS)


def make_plan(hosts: int) -> plans.DeploymentPlan:
    """Returns hosts of one failure domain and a service without upstreams."""
    service = plans.ServicePlan(SERVICE, (), (plans.READ_CLASS,))
    domain = plans.DOMAINS[0]
    return plans.DeploymentPlan(
        tuple(
            plans.HostPlan(f"entry-{n + 1}", domain, f"127.1.0.{n + 1}")
            for n in range(hosts)
        ),
        (service,),
    )


async def give_upstream(
    deployment: processes.Deployment,
    echo: str,
    limits: contracts.Limits = _LIMITS,
    connections: int = 0,
) -> None:
    """Gives the service its upstream and waits until it serves."""
    service = deployment.plan.services[0]
    empty = deployment.layout.make_contract(service)
    upstream = contracts.Upstream(
        id="echo",
        address=contracts.Address.model_validate(echo),
        domain=plans.DOMAINS[0],
        slots=_SLOTS,
        connections=connections,
    )
    await deployment.apply(
        empty.model_copy(update={"upstreams": (upstream,), "limits": limits})
    )
    for host in deployment.plan.hosts:
        await packet_runs.wait_served(find_address(deployment, host))


def find_address(deployment: processes.Deployment, host: plans.HostPlan) -> str:
    """Returns where a host takes the service's packets."""
    _, port = deployment.layout.service_address(SERVICE)
    return f"{host.address}:{port}"


async def read_counts(
    deployment: processes.Deployment, host: plans.HostPlan
) -> dict[str, int]:
    """Returns the counters of a host."""
    async with httpx.AsyncClient(trust_env=False) as client:
        answer = await client.get(f"{deployment.metrics_url(host.name)}/status")
    counts: dict[str, int] = answer.json()["counts"]
    return counts
