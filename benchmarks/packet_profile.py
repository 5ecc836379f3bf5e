"""Where the time of a host under load goes."""

from __future__ import annotations

from benchmarks import packet_deployment
from benchmarks import packet_runs
from benchmarks import profiles
from tests.standins import child as children
from tests.standins import processes


async def profile_host(echo: str, options: packet_runs.Options) -> None:
    """Prints where the time of a host under load goes."""
    async with processes.run_deployment(
        packet_deployment.make_plan(1)
    ) as deployment:
        await packet_deployment.give_upstream(deployment, echo)
        found = deployment.folder / "host.profile"
        await deployment.stop_host("entry-1")
        arguments = [str(found), "--config"]
        arguments.append(str(deployment.folder / "entry-1.yaml"))
        deployment.hosts["entry-1"] = await children.start_child(
            "entry-1", "benchmarks.profiled_host", arguments, deployment.folder
        )
        await deployment.wait_ready("entry-1")
        address = packet_deployment.find_address(
            deployment, deployment.plan.hosts[0]
        )
        await packet_runs.wait_served(address)
        answered = await packet_runs.generate(
            address, options.seconds, 32, packet_runs.any_ports(options)
        )
        await deployment.hosts["entry-1"].stop()
        requests = int(sum(one["answered"] for one in answered))
        profiles.print_profile(found, requests)
