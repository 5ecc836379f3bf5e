"""Time from an accepted contract to its being in force, in real processes.

Runs entry hosts behind the fault-injecting proxy and changes one contract
again and again by a write to the platform. The time runs from the platform's
answer until each host shows the revision, which each is asked for every
`_LOOK_S`. Cases: all well, 10% loss, and from the end of a cut in which the
change was accepted.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterable
import dataclasses
import json
import random

import trio

from benchmarks import in_force_delays
from benchmarks import usage
from persimmonhinge import ids
from persimmonhinge.contracts import audit_trail
from persimmonhinge.contracts import change_writer
from persimmonhinge.contracts import repository as repositories
from persimmonhinge.contracts import request as requests
from persimmonhinge.platform import opening as platform_opening
from persimmonhinge.store import port as store_ports
from tests.standins import cut_deployment
from tests.test_integration import control_plans

_SIZES = (6, 12)
_CHANGES = 20
_CUTS = 8
_LOOK_S = 0.02
_LOSS = 0.1
# Changes come this far apart, so that exchanges stand at random places.
_GAP_S = (0.3, 1.3)
_SETTLE_S = 5.0
_AUDIT_ENTRIES = 1000


class Operator:
    """Changes the contract by writes to the platform."""

    def __init__(
        self,
        deployment: cut_deployment.CutDeployment,
        platform: store_ports.Platform,
    ) -> None:
        prefix = deployment.platform.settings().prefix
        trail = audit_trail.AuditTrail(platform, prefix, _AUDIT_ENTRIES)
        writer = change_writer.ChangeWriter(platform, trail)
        self._deployment = deployment
        self._contracts = repositories.ContractRepository(
            platform, prefix, writer
        )
        self._queue = 100

    async def change(self) -> int:
        """Has a changed contract accepted; returns its revision."""
        self._queue += 1
        contract = control_plans.make_contract(self._deployment, self._queue)
        service = ids.ServiceName(contract.service)
        before = await self._contracts.get(service)
        request = requests.ChangeRequest("benchmark")
        done = await self._contracts.apply(contract, request, before.revision)
        return int(done.revision)


async def wait_in_force(
    deployment: cut_deployment.CutDeployment,
    hosts: Iterable[str],
    revision: int,
) -> float:
    """Returns the time until the last host shows a revision, seconds."""
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        for host in hosts:
            nursery.start_soon(_wait_host, deployment, host, revision)
    return trio.current_time() - began


async def _wait_host(
    deployment: cut_deployment.CutDeployment, host: str, revision: int
) -> None:
    while True:
        status = await deployment.pages.status(host)
        if status["contracts"].get(control_plans.SERVICE, 0) >= revision:
            return
        await trio.sleep(_LOOK_S)


async def measure(hosts: int) -> list[in_force_delays.Delay]:
    """Measures all cases at one size."""
    plan = control_plans.make_plan(hosts)
    async with cut_deployment.run_cut_deployment(plan) as deployment:
        settings = deployment.platform.settings()
        async with platform_opening.open_store(settings) as platform:
            operator = Operator(deployment, platform)
            names = deployment.names()
            await deployment.pages.wait_sees(names, names)
            await trio.sleep(_SETTLE_S)
            well = await _measure_changes(deployment, operator)
            await deployment.lose_datagrams(_LOSS)
            lossy = await _measure_changes(deployment, operator)
            await deployment.heal()
            healed = await _measure_cuts(deployment, operator)
    return [
        in_force_delays.summarize("all well", hosts, well),
        in_force_delays.summarize("10% loss", hosts, lossy),
        in_force_delays.summarize("healed cut", hosts, healed),
    ]


async def _measure_changes(
    deployment: cut_deployment.CutDeployment, operator: Operator
) -> list[float]:
    gaps = random.Random(1)
    delays = []
    for _ in range(_CHANGES):
        await trio.sleep(gaps.uniform(*_GAP_S))
        revision = await operator.change()
        names = deployment.names()
        delays.append(await wait_in_force(deployment, names, revision))
    return delays


async def _measure_cuts(
    deployment: cut_deployment.CutDeployment, operator: Operator
) -> list[float]:
    """Measures from the end of a cut that hid a change from a domain."""
    delays = []
    names = deployment.names()
    domains = sorted({host.domain for host in deployment.plan.hosts})
    for number in range(_CUTS):
        domain = domains[number % len(domains)]
        cut_off = deployment.names(domain)
        others = [name for name in names if name not in cut_off]
        await deployment.cut_both_ways(cut_off, others)
        await deployment.cut_platform(domain)
        await deployment.pages.wait_sees(cut_off, cut_off)
        await deployment.pages.wait_sees(others, others)
        revision = await operator.change()
        await wait_in_force(deployment, others, revision)
        await deployment.heal()
        delays.append(await wait_in_force(deployment, names, revision))
        await deployment.pages.wait_sees(names, names)
    return delays


def main() -> None:
    """Prints all measurements, and as the last line a JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=_SIZES)
    options = parser.parse_args()
    print(usage.describe_load())
    delays: list[in_force_delays.Delay] = []
    for size in options.sizes:
        delays += trio.run(measure, size)
    for delay in delays:
        print(
            f"{delay.hosts:3} hosts, {delay.case}: p50 {delay.p50_s} s, "
            f"p99 {delay.p99_s} s, max {delay.max_s} s "
            f"({delay.changes} changes)"
        )
    print(json.dumps([dataclasses.asdict(delay) for delay in delays]))


if __name__ == "__main__":
    main()
