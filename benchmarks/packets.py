"""Cost of a request on its way through a host.

Run it with `python -m benchmarks.packets`. An entry host that is a real
process passes GET requests to an upstream that answers at once. The floor is a
bare relay of datagrams in trio, measured in the same run with the same
generators. Then two hosts serve, and each packet goes to the one that is not
its home. Figures are medians of some rounds.
"""

from __future__ import annotations

import dataclasses
import itertools
import json
import pathlib
import statistics
import sys
import tempfile
from typing import Annotated

import httpx
import trio
import typer

from benchmarks import profiles
from benchmarks import usage
from persimmonhinge.contracts import contract as contracts
from tests.standins import child as children
from tests.standins import plan as plans
from tests.standins import ports
from tests.standins import processes

_SERVICE = "clock"
_SLOTS = 10_000
_LIMIT_S = 90.0
_MOST_PORTS = 400
_WARM_S = 0.5
_RUN_MARGIN_S = 20.0
program = typer.Typer(add_completion=False)
# A request that two runs make alike would be answered as a copy.
_seeds = itertools.count(1)


@dataclasses.dataclass(frozen=True)
class Options:
    """What to measure.

    Attributes:
        seconds: Length of one run.
        rounds: Runs of each kind.
        generators: Processes that send.
    """

    seconds: float
    rounds: int
    generators: int


@dataclasses.dataclass(frozen=True)
class Run:
    """What one run showed.

    Attributes:
        rate: Answered requests a second.
        cost_us: Processor time of the measured processes for one request.
        lost: Requests without an answer.
        p50_ms: Median time to the answer.
        p99_ms: 99th percentile of it.
    """

    rate: float
    cost_us: float
    lost: int
    p50_ms: float
    p99_ms: float


async def generate(
    address: str, seconds: float, window: int, source_ports: list[int]
) -> list[dict[str, float]]:
    """Runs one generator for each source port; returns what they print."""
    found: list[dict[str, float]] = []

    async def run_one(source_port: int) -> None:
        command = [sys.executable, "-m", "benchmarks.generator", address]
        command += ["--seconds", str(seconds), "--seed", str(next(_seeds))]
        command += ["--window", str(window)]
        command += ["--source-port", str(source_port)]
        with trio.fail_after(seconds + _RUN_MARGIN_S):
            done = await trio.run_process(
                command, capture_stdout=True, cwd=children.ROOT
            )
        found.append(json.loads(done.stdout))

    async with trio.open_nursery() as nursery:
        for source_port in source_ports:
            nursery.start_soon(run_one, source_port)
    return found


async def measure(
    address: str,
    pids: list[int],
    seconds: float,
    window: int,
    source_ports: list[int],
) -> Run:
    """Measures one run.

    Args:
        address: Where the requests go, `address:port`.
        pids: Processes whose time counts.
        seconds: How long the generators send.
        window: Requests in flight for each generator.
        source_ports: One generator for each; 0 for any port.
    """
    before = sum(usage.read_processor_s(pid) for pid in pids)
    found = await generate(address, seconds, window, source_ports)
    spent_s = sum(usage.read_processor_s(pid) for pid in pids) - before
    answered = sum(one["answered"] for one in found)
    return Run(
        answered / seconds,
        spent_s / max(answered, 1) * 1e6,
        int(sum(one["lost"] for one in found)),
        statistics.median(one["p50_ms"] for one in found),
        statistics.median(one["p99_ms"] for one in found),
    )


def take_median(runs: list[Run]) -> Run:
    """Returns the median of each figure."""
    return Run(
        *(
            statistics.median(getattr(run, field.name) for run in runs)
            for field in dataclasses.fields(Run)
        )
    )


def make_plan(hosts: int) -> plans.DeploymentPlan:
    """Returns hosts of one failure domain and a service without upstreams."""
    service = plans.ServicePlan(_SERVICE, (), (plans.READ_CLASS,))
    domain = plans.DOMAINS[0]
    return plans.DeploymentPlan(
        tuple(
            plans.HostPlan(f"entry-{n + 1}", domain, f"127.1.0.{n + 1}")
            for n in range(hosts)
        ),
        (service,),
    )


# A cold upstream gets its full slots only after the slow start.
_LIMITS = contracts.Limits(slow_start_s=0, queue=_SLOTS)


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
        await _wait_served(find_address(deployment, host))


async def _wait_served(address: str) -> None:
    with trio.fail_after(_RUN_MARGIN_S):
        while True:
            found = await generate(address, _WARM_S, 1, [0])
            if found[0]["answered"] > 1:
                return


def find_address(deployment: processes.Deployment, host: plans.HostPlan) -> str:
    """Returns where a host takes the service's packets."""
    _, port = deployment.layout.service_address(_SERVICE)
    return f"{host.address}:{port}"


async def measure_floor(
    echo: str, folder: pathlib.Path, options: Options, rounds: int
) -> list[Run]:
    """Measures the bare relay."""
    # A log of its own, for the address is read from it.
    relay = await children.start_child(
        f"relay-{next(_seeds)}", "benchmarks.bare_relay", [echo], folder
    )
    try:
        address = (await relay.find_text("listening on ")).strip()
        return [
            await measure(
                address, [relay.pid], options.seconds, 32, _any(options)
            )
            for _ in range(rounds)
        ]
    finally:
        await relay.kill()


async def compare_with_floor(echo: str, options: Options) -> None:
    """Prints one host beside the bare relay."""
    floor: list[Run] = []
    host: list[Run] = []
    async with processes.run_deployment(make_plan(1)) as deployment:
        await give_upstream(deployment, echo)
        address = find_address(deployment, deployment.plan.hosts[0])
        pid = deployment.hosts["entry-1"].pid
        for _ in range(options.rounds):
            floor += await measure_floor(echo, deployment.folder, options, 1)
            host.append(
                await measure(
                    address, [pid], options.seconds, 32, _any(options)
                )
            )
    bare, whole = take_median(floor), take_median(host)
    _print("bare trio relay", bare)
    _print("one host", whole)
    print(
        f"one host against the floor: {whole.rate / bare.rate:.3f} of its "
        f"rate, {whole.cost_us / bare.cost_us:.1f} times its processor time"
    )
    _print_spread("one host", host)


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
    loaded: list[Run] = dataclasses.field(default_factory=list)
    alone: list[Run] = dataclasses.field(default_factory=list)
    relayed: float = 0.0


async def compare_relayed(echo: str, options: Options) -> None:
    """Prints what a relay costs, and what a dispatch over a link.

    The home of all callers is the keeper at first, so that the relay is the
    only step between hosts. Cases take turns, so that other load on the
    machine meets all alike.
    """
    async with processes.run_deployment(make_plan(2)) as deployment:
        await give_upstream(deployment, echo)
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
        _print(f"two hosts, {case.title}, loaded", take_median(case.loaded))
        _print(f"two hosts, {case.title}, alone", take_median(case.alone))
        print(f"  {case.relayed:.1%} of packets relayed")


async def _measure_case(
    deployment: processes.Deployment, case: _Case, options: Options
) -> None:
    address = find_address(deployment, case.entry)
    pids = [host.pid for host in deployment.hosts.values()]
    ports_used = case.source_ports
    before = await read_counts(deployment, case.entry)
    case.loaded.append(
        await measure(address, pids, options.seconds, 32, ports_used)
    )
    case.alone.append(
        await measure(address, pids, options.seconds / 2, 1, ports_used[:1])
    )
    after = await read_counts(deployment, case.entry)
    relayed = _subtract(after, before, "datagrams_relayed_total")
    received = _subtract(after, before, "datagrams_received_total")
    case.relayed = relayed / max(received, 1)


async def _find_keeper(deployment: processes.Deployment) -> plans.HostPlan:
    url = f"{deployment.metrics_url(deployment.plan.hosts[0].name)}/explain"
    query = {"service": _SERVICE, "caller": "127.0.0.1:1"}
    async with httpx.AsyncClient(trust_env=False) as client:
        answer = await client.get(url, params=query)
    name = answer.json()["upstreams"][0]["keeper"]
    return next(h for h in deployment.plan.hosts if h.name == name)


async def profile_host(echo: str, options: Options) -> None:
    """Prints where the time of a host under load goes."""
    async with processes.run_deployment(make_plan(1)) as deployment:
        await give_upstream(deployment, echo)
        found = deployment.folder / "host.profile"
        await deployment.stop_host("entry-1")
        arguments = [str(found), "--config"]
        arguments.append(str(deployment.folder / "entry-1.yaml"))
        deployment.hosts["entry-1"] = await children.start_child(
            "entry-1", "benchmarks.profiled_host", arguments, deployment.folder
        )
        await deployment.wait_ready("entry-1")
        address = find_address(deployment, deployment.plan.hosts[0])
        await _wait_served(address)
        answered = await generate(address, options.seconds, 32, _any(options))
        await deployment.hosts["entry-1"].stop()
        requests = int(sum(one["answered"] for one in answered))
        profiles.print_profile(found, requests)


async def _find_source_ports(
    deployment: processes.Deployment, home: plans.HostPlan, count: int
) -> list[int]:
    """Returns free ports of callers whose home is a host."""
    found: list[int] = []
    url = f"{deployment.metrics_url(home.name)}/explain"
    async with httpx.AsyncClient(trust_env=False) as client:
        for _ in range(_MOST_PORTS):
            port = ports.find_udp_port(["127.0.0.1"])
            query = {"service": _SERVICE, "caller": f"127.0.0.1:{port}"}
            answer = await client.get(url, params=query)
            if answer.json()["home"] == home.name and port not in found:
                found.append(port)
            if len(found) == count:
                return found
    raise children.ChildError(f"no caller has {home.name} as its home")


async def read_counts(
    deployment: processes.Deployment, host: plans.HostPlan
) -> dict[str, int]:
    """Returns the counters of a host."""
    async with httpx.AsyncClient(trust_env=False) as client:
        answer = await client.get(f"{deployment.metrics_url(host.name)}/status")
    counts: dict[str, int] = answer.json()["counts"]
    return counts


def _subtract(after: dict[str, int], before: dict[str, int], name: str) -> int:
    return after.get(name, 0) - before.get(name, 0)


def _any(options: Options) -> list[int]:
    return [0] * options.generators


def _print(title: str, run: Run) -> None:
    print(
        f"{title}: {run.rate:.0f} requests/s, {run.cost_us:.0f} us of "
        f"processor time a request, p50 {run.p50_ms} ms, p99 {run.p99_ms} ms, "
        f"{run.lost} lost"
    )


def _print_spread(title: str, runs: list[Run]) -> None:
    rates = sorted(round(run.rate) for run in runs)
    print(f"{title}: rates of the rounds {rates}")


async def measure_all(options: Options, profile: bool) -> None:
    """Runs what was asked for, with one upstream for all."""
    with tempfile.TemporaryDirectory() as name, trio.fail_after(_LIMIT_S):
        folder = pathlib.Path(name)
        echo = await children.start_child(
            "echo", "benchmarks.echo_upstream", [], folder
        )
        try:
            address = (await echo.find_text("listening on ")).strip()
            if profile:
                await profile_host(address, options)
                return
            await compare_with_floor(address, options)
            await compare_relayed(address, options)
        finally:
            with trio.CancelScope(shield=True):
                await echo.kill()


@program.command()
def main(
    seconds: float = 2.0,
    rounds: int = 3,
    generators: int = 3,
    profile: Annotated[
        bool, typer.Option("--profile", help="Show where the time goes.")
    ] = False,
) -> None:
    """Measures, or profiles a host."""
    print(f"begins at {usage.describe_load()}")
    options = Options(seconds, rounds, generators)
    trio.run(measure_all, options, profile)
    print(f"ends at {usage.describe_load()}")


if __name__ == "__main__":
    program()
