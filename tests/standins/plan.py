"""What a deployment on one machine is made of."""

from __future__ import annotations

import dataclasses

from persimmonhinge.contracts import contract as contracts
from persimmonhinge.settings import entry

DOMAINS = ("north", "middle", "south")
_HOSTS_PER_DOMAIN = 2
# Targets of the larger service in each failure domain.
_LARGE = (3, 2, 2)
_SMALL = (1, 1, 1)
_MARKET_SLOTS = 2
_UTILITY_SLOTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class HostPlan:
    """An entry host.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        address: Its loopback address for data and peers.
    """

    name: str
    domain: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamPlan:
    """An upstream.

    Attributes:
        id: Its id.
        domain: Its failure domain.
        slots: Requests that it may run at a time.
        connections: Feeds that it may have open.
    """

    id: str
    domain: str
    slots: int = 2
    connections: int = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlan:
    """A service.

    Attributes:
        name: Its name.
        upstreams: Its targets.
        call_classes: Call classes of its contract.
        limits: Limits of its contract.
    """

    name: str
    upstreams: tuple[UpstreamPlan, ...]
    call_classes: tuple[contracts.CallClass, ...]
    limits: contracts.Limits = contracts.Limits()


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """All processes of a deployment.

    Attributes:
        hosts: The entry hosts.
        services: The services.
        seed: Seed of the fabric.
        secure: True for TLS between hosts and signed heartbeats.
        flows: Settings of homes.
        upstream_options: More arguments for each upstream stand-in.
    """

    hosts: tuple[HostPlan, ...]
    services: tuple[ServicePlan, ...]
    seed: int = 1
    secure: bool = True
    flows: entry.FlowSettings = entry.FlowSettings()
    upstream_options: tuple[str, ...] = ()


FEED_CLASS = contracts.CallClass(
    name="board",
    method=contracts.Method.GET,
    path="/board",
    kind=contracts.CallKind.FEED,
    priority=0,
)
READ_CLASS = contracts.CallClass(
    name="board-read", method=contracts.Method.GET, path="/*", priority=3
)
LOT_CLASS = contracts.CallClass(
    name="lots", method=contracts.Method.POST, path="/lots/*", priority=1
)
MANIFEST_CLASS = contracts.CallClass(
    name="manifests",
    method=contracts.Method.POST,
    path="/manifests/*",
    priority=5,
)


def make_hosts(count: int = 6) -> tuple[HostPlan, ...]:
    """Returns hosts that are spread evenly over the domains."""
    return tuple(
        HostPlan(
            f"entry-{number + 1}",
            DOMAINS[number % len(DOMAINS)],
            f"127.1.0.{number + 1}",
        )
        for number in range(count)
    )


def make_market_plan(seed: int = 1) -> DeploymentPlan:
    """Returns the sizes of the market."""
    return _make_plan("floor-trading", "grower-intake", _MARKET_SLOTS, seed)


def make_utility_plan(seed: int = 1) -> DeploymentPlan:
    """Returns the sizes of the utility."""
    return _make_plan("dispatch", "timetable-intake", _UTILITY_SLOTS, seed)


def make_upstreams(
    prefix: str, counts: tuple[int, ...], slots: int
) -> tuple[UpstreamPlan, ...]:
    """Returns upstreams: as many in each domain as `counts` says."""
    return tuple(
        UpstreamPlan(f"{prefix}-{domain}-{number + 1}", domain, slots)
        for domain, count in zip(DOMAINS, counts, strict=True)
        for number in range(count)
    )


def _make_plan(large: str, small: str, slots: int, seed: int) -> DeploymentPlan:
    services = (
        ServicePlan(
            large,
            make_upstreams(large, _LARGE, slots),
            (FEED_CLASS, READ_CLASS, LOT_CLASS),
        ),
        ServicePlan(
            small, make_upstreams(small, _SMALL, slots), (MANIFEST_CLASS,)
        ),
    )
    hosts = make_hosts(_HOSTS_PER_DOMAIN * len(DOMAINS))
    return DeploymentPlan(hosts, services, seed)
