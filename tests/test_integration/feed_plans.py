"""Plans and steps that the tests of feeds, stops and drains share."""

from __future__ import annotations

import trio

from persimmonhinge.contracts import contract as contracts
from tests.standins import plan as plans
from tests.standins import processes

SERVICE = "floor"
_SLOTS = 2
_POLL_S = 0.1
_LIMIT_S = 30.0
QUICK_LIMITS = contracts.Limits(silent_feed_s=1.0)
_CLASSES = (plans.FEED_CLASS, plans.READ_CLASS, plans.LOT_CLASS)


def make_plan(
    hosts: int = 6,
    *,
    upstreams: tuple[int, ...] = (1, 1, 1),
    limits: contracts.Limits | None = None,
    upstream_options: tuple[str, ...] = (),
) -> plans.DeploymentPlan:
    """Returns three failure domains with one service."""
    targets = plans.make_upstreams(SERVICE, upstreams, _SLOTS)
    service = plans.ServicePlan(
        SERVICE, targets, _CLASSES, limits or contracts.Limits()
    )
    return plans.DeploymentPlan(
        plans.make_hosts(hosts),
        (service,),
        upstream_options=upstream_options,
    )


async def count_feeds(
    deployment: processes.Deployment, host: str, gauge: str = "feeds_open"
) -> int:
    """Returns how many feeds a host is home of, or another of its gauges."""
    text = await deployment.pages.read(host, "metrics")
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        if name.partition("{")[0] in (gauge, f"persimmonhinge_{gauge}"):
            return int(float(value))
    raise AssertionError(f"{host} does not show {gauge}:\n{text}")


async def find_busiest(
    deployment: processes.Deployment, *, keeper: bool = True
) -> str:
    """Returns the host that is home of most feeds.

    Args:
        deployment: The processes.
        keeper: False to pass over hosts that keep feeds for homes.
    """
    feeds = {
        host: await count_feeds(deployment, host)
        for host in deployment.hosts
        if keeper or not await count_feeds(deployment, host, "keeper_feeds")
    }
    return max(feeds, key=feeds.__getitem__)


async def wait_feeds(
    deployment: processes.Deployment, host: str, *, some: bool
) -> None:
    """Waits until a host is home of some feeds, or of none."""
    with trio.fail_after(_LIMIT_S):
        while bool(await count_feeds(deployment, host)) is not some:
            await trio.sleep(_POLL_S)


async def replace_host(
    deployment: processes.Deployment, former: str, new: plans.HostPlan
) -> None:
    """Starts a new host and then stops the former one.

    Raises:
        AssertionError: The former one did not end as planned.
    """
    await deployment.add_host(new)
    assert await deployment.stop_host(former) == 0


async def drain_upstream(
    deployment: processes.Deployment, upstream: str
) -> None:
    """Drains an upstream; returns once all hosts know."""
    await deployment.ctl(
        *("upstream", "drain", SERVICE, upstream, "--wait", "20")
    )


async def undrain_upstream(
    deployment: processes.Deployment, upstream: str
) -> None:
    """Takes an upstream back; returns once all hosts know."""
    await deployment.ctl(
        *("upstream", "undrain", SERVICE, upstream, "--wait", "20")
    )


async def drain_host(deployment: processes.Deployment, host: str) -> None:
    """Drains a host; returns once it says that it leaves."""
    await deployment.ctl("host", "drain", host, "--wait", "20")


async def undrain_host(deployment: processes.Deployment, host: str) -> None:
    """Takes a host back; returns once it says that it takes roles."""
    await deployment.ctl("host", "undrain", host, "--wait", "20")


async def apply_upstreams(
    deployment: processes.Deployment,
    upstreams: tuple[plans.UpstreamPlan, ...],
) -> None:
    """Writes a contract that names just these upstreams."""
    (service,) = deployment.plan.services
    contract = deployment.layout.make_contract(service)
    named = tuple(map(deployment.layout.make_upstream, upstreams))
    await deployment.apply(contract.model_copy(update={"upstreams": named}))
