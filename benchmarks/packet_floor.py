"""One host beside a bare relay of datagrams."""

from __future__ import annotations

import pathlib

from benchmarks import packet_deployment
from benchmarks import packet_runs
from tests.standins import child as children
from tests.standins import processes


async def measure_floor(
    echo: str, folder: pathlib.Path, options: packet_runs.Options, rounds: int
) -> list[packet_runs.Run]:
    """Measures the bare relay."""
    # A log of its own, for the address is read from it.
    relay = await children.start_child(
        f"relay-{next(packet_runs.seeds)}",
        "benchmarks.bare_relay",
        [echo],
        folder,
    )
    try:
        address = (await relay.find_text("listening on ")).strip()
        return [
            await packet_runs.measure(
                address,
                [relay.pid],
                options.seconds,
                32,
                packet_runs.any_ports(options),
            )
            for _ in range(rounds)
        ]
    finally:
        await relay.kill()


async def compare_with_floor(echo: str, options: packet_runs.Options) -> None:
    """Prints one host beside the bare relay."""
    floor: list[packet_runs.Run] = []
    host: list[packet_runs.Run] = []
    async with processes.run_deployment(
        packet_deployment.make_plan(1)
    ) as deployment:
        await packet_deployment.give_upstream(deployment, echo)
        address = packet_deployment.find_address(
            deployment, deployment.plan.hosts[0]
        )
        pid = deployment.hosts["entry-1"].pid
        for _ in range(options.rounds):
            floor += await measure_floor(echo, deployment.folder, options, 1)
            host.append(
                await packet_runs.measure(
                    address,
                    [pid],
                    options.seconds,
                    32,
                    packet_runs.any_ports(options),
                )
            )
    bare, whole = packet_runs.take_median(floor), packet_runs.take_median(host)
    packet_runs.print_run("bare trio relay", bare)
    packet_runs.print_run("one host", whole)
    print(
        f"one host against the floor: {whole.rate / bare.rate:.3f} of its "
        f"rate, {whole.cost_us / bare.cost_us:.1f} times its processor time"
    )
    packet_runs.print_spread("one host", host)
