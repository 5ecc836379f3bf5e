"""Two hosts, and what the steps between them cost."""

from __future__ import annotations

import dataclasses

import httpx

from benchmarks import packet_deployment
from benchmarks import packet_runs
from tests.standins import child as children
from tests.standins import plan as plans
from tests.standins import ports
from tests.standins import processes

_MOST_PORTS = 400


@dataclasses.dataclass
class _Case:
    """A way of requests through two hosts.

    Attributes:
        title: What it is.
        entry: The host that gets the packets.
        source_ports: Ports of the callers, by which their home is set.
        loaded: Runs with many requests in flight.
        alone: Runs with one in flight.
        relayed: Part of the packets that was relayed.
    """

    title: str
    entry: plans.HostPlan
    source_ports: list[int]
    loaded: list[packet_runs.Run] = dataclasses.field(default_factory=list)
    alone: list[packet_runs.Run] = dataclasses.field(default_factory=list)
    relayed: float = 0.0


async def compare_relayed(echo: str, options: packet_runs.Options) -> None:
    """Prints what a relay costs, and what a dispatch over a link.

    The home of all callers is the keeper at first, so that the relay is the
    only step between hosts. Cases take turns, so that other load on the
    machine meets all alike.
    """
    async with processes.run_deployment(
        packet_deployment.make_plan(2)
    ) as deployment:
        await packet_deployment.give_upstream(deployment, echo)
        keeper = await _find_keeper(deployment)
        other = next(h for h in deployment.plan.hosts if h != keeper)
        kept = await _find_source_ports(deployment, keeper, options.generators)
        away = await _find_source_ports(deployment, other, options.generators)
        cases = (
            _Case("all steps on one", keeper, kept),
            _Case("relayed", other, kept),
            _Case("dispatched over a link", other, away),
        )
        for _ in range(options.rounds):
            for case in cases:
                await _measure_case(deployment, case, options)
    for case in cases:
        packet_runs.print_run(
            f"two hosts, {case.title}, loaded",
            packet_runs.take_median(case.loaded),
        )
        packet_runs.print_run(
            f"two hosts, {case.title}, alone",
            packet_runs.take_median(case.alone),
        )
        print(f"  {case.relayed:.1%} of packets relayed")


async def _measure_case(
    deployment: processes.Deployment, case: _Case, options: packet_runs.Options
) -> None:
    address = packet_deployment.find_address(deployment, case.entry)
    pids = [host.pid for host in deployment.hosts.values()]
    ports_used = case.source_ports
    before = await packet_deployment.read_counts(deployment, case.entry)
    case.loaded.append(
        await packet_runs.measure(
            address, pids, options.seconds, 32, ports_used
        )
    )
    case.alone.append(
        await packet_runs.measure(
            address, pids, options.seconds / 2, 1, ports_used[:1]
        )
    )
    after = await packet_deployment.read_counts(deployment, case.entry)
    relayed = _subtract(after, before, "datagrams_relayed_total")
    received = _subtract(after, before, "datagrams_received_total")
    case.relayed = relayed / max(received, 1)


async def _find_keeper(deployment: processes.Deployment) -> plans.HostPlan:
    url = f"{deployment.metrics_url(deployment.plan.hosts[0].name)}/explain"
    query = {"service": packet_deployment.SERVICE, "caller": "127.0.0.1:1"}
    async with httpx.AsyncClient(trust_env=False) as client:
        answer = await client.get(url, params=query)
    name = answer.json()["upstreams"][0]["keeper"]
    return next(h for h in deployment.plan.hosts if h.name == name)


async def _find_source_ports(
    deployment: processes.Deployment, home: plans.HostPlan, count: int
) -> list[int]:
    """Returns free ports of callers whose home is a host."""
    found: list[int] = []
    url = f"{deployment.metrics_url(home.name)}/explain"
    async with httpx.AsyncClient(trust_env=False) as client:
        for _ in range(_MOST_PORTS):
            port = ports.find_udp_port(["127.0.0.1"])
            query = {
                "service": packet_deployment.SERVICE,
                "caller": f"127.0.0.1:{port}",
            }
            answer = await client.get(url, params=query)
            if answer.json()["home"] == home.name and port not in found:
                found.append(port)
            if len(found) == count:
                return found
    raise children.ChildError(f"no caller has {home.name} as its home")


def _subtract(after: dict[str, int], before: dict[str, int], name: str) -> int:
    return after.get(name, 0) - before.get(name, 0)
