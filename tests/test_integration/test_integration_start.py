"""A host that starts takes roles only once it knows what it needs."""

from __future__ import annotations

import httpx
import trio

from persimmonhinge.membership import member as members
from tests.standins import plan
from tests.standins import processes
from tests.support import trios

SERVICE = plan.ServicePlan(
    "trading", plan.make_upstreams("trading", (1, 0, 0), 2), (plan.LOT_CLASS,)
)
_POLL_S = 0.05
_LIMIT_S = 40.0


async def _read_state(deployment: processes.Deployment, host: str) -> str:
    url = f"{deployment.metrics_url(host)}/status"
    async with httpx.AsyncClient(trust_env=False) as client:
        state: str = (await client.get(url)).json()["state"]
    return state


async def _wait_healthy(deployment: processes.Deployment, host: str) -> None:
    url = f"{deployment.metrics_url(host)}/healthz"
    async with httpx.AsyncClient(trust_env=False) as client:
        while True:
            try:
                await client.get(url)
                return
            except httpx.ConnectError:
                await trio.sleep(_POLL_S)


@trios.trio_test
async def test_host_without_knowledge_takes_no_roles() -> None:
    """Buyers are told "outcome unknown" whenever a host is restarted.

    A host starts and its peers see it alive. They relay flows to it as their
    home, and it answers without a contract. Cause: it took roles before it
    had synchronized. Here the platform is down at the start, so that the
    time in between is as long as the test wants.
    """
    one = plan.DeploymentPlan(plan.make_hosts(1), (SERVICE,))
    (host,) = one.hosts
    with trio.fail_after(_LIMIT_S):
        async with processes.run_deployment(one) as deployment:
            await deployment.kill_host(host.name)
            await deployment.platform.set_faults(down=True)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(deployment.start_host, host.name)
                await _wait_healthy(deployment, host.name)
                before = await _read_state(deployment, host.name)
                await deployment.platform.set_faults(down=False)
            after = await _read_state(deployment, host.name)
    assert before == members.MemberState.LEAVING.value
    assert after == members.MemberState.ALIVE.value
