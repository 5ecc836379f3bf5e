"""A deployment of real processes on one machine, for tests and the demo."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import json
import pathlib
import signal
import subprocess
import sys

import httpx
import trio
import yaml

from persimmonhinge import ids
from persimmonhinge import processor_times
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.platform import opening as platform_opening
from persimmonhinge.settings import entry
from persimmonhinge.store import keys
from persimmonhinge.store import port as platform_ports
from tests.standins import child as children
from tests.standins import credentials as credential_files
from tests.standins import fabric_control
from tests.standins import host_pages
from tests.standins import layout as layouts
from tests.standins import plan as plans
from tests.standins import platform_process
from tests.support import kept_folders

_READY_LIMIT_S = 30.0
_POLL_S = 0.05
# The fabric learns late that a host leaves, as the platform's list does.
_FABRIC_LAG_S = 0.5
_COMMAND_LIMIT_S = 30.0
_SLOW_COMMAND_S = 3.0
_NO_TIMES = processor_times.ProcessorTimes(0.0, 0.0)


class Deployment:
    """Platform, fabric, entry hosts and upstreams that run.

    Attributes:
        plan: What it was made of.
        layout: Where everything listens.
        folder: Settings, logs and execution logs.
        platform: The platform's stand-in.
        fabric: Commands to the fabric.
        hosts: Entry host processes by name.
        upstreams: Upstream processes by id.
        pages: What hosts tell over HTTP.
    """

    def __init__(
        self, plan: plans.DeploymentPlan, folder: pathlib.Path
    ) -> None:
        self.plan = plan
        self.layout = layouts.Layout(plan)
        self.folder = folder
        self.platform: platform_process.PlatformProcess
        self.fabric: fabric_control.FabricControl
        self.hosts: dict[str, children.Child] = {}
        self.upstreams: dict[str, children.Child] = {}
        self.pages = host_pages.HostPages(self.metrics_url)
        self._credentials = None
        if plan.secure:
            self._credentials = credential_files.Credentials(folder)
        self._plans = {host.name: host for host in plan.hosts}
        self._others: list[children.Child] = []

    async def start(self) -> None:
        """Starts all, applies the contracts, and waits until all is ready.

        A host that read the platform before a contract was applied is ready
        without it, and hears of it later: that is waited for, too.
        """
        await self._start_platform()
        await self._start_fabric()
        for host in self.plan.hosts:
            await self._list_host(host, "live")
        async with trio.open_nursery() as nursery:
            for service in self.plan.services:
                for upstream in service.upstreams:
                    nursery.start_soon(
                        self.start_upstream, service.name, upstream
                    )
            for host in self.plan.hosts:
                nursery.start_soon(self._start_entry, host)
        for service in self.plan.services:
            await self.apply(self.layout.make_contract(service))
        async with trio.open_nursery() as nursery:
            for host in self.plan.hosts:
                nursery.start_soon(self.wait_ready, host.name)
        services = [service.name for service in self.plan.services]
        await self.pages.wait_serves(list(self.hosts), services)

    async def stop(self) -> None:
        """Ends all processes, whatever their state."""
        everything = (
            *self.hosts.values(),
            *self.upstreams.values(),
            *self._others,
        )
        async with trio.open_nursery() as nursery:
            for process in everything:
                nursery.start_soon(process.kill)
        await self.pages.aclose()

    async def start_host(self, name: str) -> None:
        """Starts an entry host, waits until ready, shows it to the fabric."""
        host = self._plans[name]
        await self._start_entry(host)
        await self.wait_ready(name)
        await self._list_host(host, "live")
        await self.fabric.add_host(name, host.address)

    async def add_host(self, host: plans.HostPlan) -> None:
        """Starts an entry host that was not planned at the start."""
        self._plans[host.name] = host
        self.layout.add_host(host)
        await self.start_host(host.name)

    async def stop_host(self, name: str) -> int:
        """Makes a planned stop; returns the exit code of the host."""
        process = self.hosts[name]
        process.send(signal.SIGTERM)
        await trio.sleep(_FABRIC_LAG_S)
        await self.fabric.remove_host(name)
        await self._list_host(self._plans[name], "leaving")
        return await process.stop()

    async def kill_host(self, name: str) -> None:
        """Kills a host; the fabric goes on sending to it."""
        await self.hosts[name].kill()

    def lose_power(self, name: str) -> None:
        """Ends a host without a word: unlike a kill it closes no link."""
        self.hosts[name].send(signal.SIGSTOP)

    def pause_host(self, name: str) -> None:
        """Stops a host where it stands."""
        self.hosts[name].send(signal.SIGSTOP)

    def resume_host(self, name: str) -> None:
        """Lets a paused host go on."""
        self.hosts[name].send(signal.SIGCONT)

    async def wait_ready(self, name: str) -> None:
        """Waits until a host says that it is ready.

        Raises:
            ChildError: It ended or did not become ready in time.
        """
        host = self.hosts[name]
        url = f"{self.metrics_url(name)}/readyz"
        async with httpx.AsyncClient(trust_env=False) as client:
            with trio.move_on_after(_READY_LIMIT_S):
                while not await _is_good(client, url):
                    host.check_running()
                    await trio.sleep(_POLL_S)
                return
        raise children.ChildError(f"{name} is not ready:\n{host.tail()}")

    def metrics_url(self, name: str) -> str:
        """Returns the base URL of a host's page."""
        address = self._plans[name].address
        return f"http://{address}:{self.layout.hosts[name].metrics}"

    async def start_upstream(
        self, service: str, upstream: plans.UpstreamPlan
    ) -> None:
        """Starts an upstream and waits until it listens."""
        address = self.layout.upstream_address(upstream.id)
        arguments = [
            *("--service", service),
            *("--id", upstream.id),
            *("--address", address.host),
            *("--port", str(address.port)),
            *("--slots", str(upstream.slots)),
            *("--connections", str(upstream.connections)),
            *("--log", str(self.execution_log(upstream.id))),
            *self.plan.upstream_options,
        ]
        process = await children.start_child(
            upstream.id, "tests.standins.upstream", arguments, self.folder
        )
        self.upstreams[upstream.id] = process
        await process.find_text("listening on ")

    def execution_log(self, upstream: str) -> pathlib.Path:
        """Returns the file in which an upstream logs what it ran."""
        return self.folder / f"{upstream}.executions"

    def execution_logs(self) -> list[pathlib.Path]:
        """Returns the execution logs of all upstreams."""
        return [self.execution_log(upstream) for upstream in self.upstreams]

    async def apply(self, contract: contracts.Contract) -> None:
        """Applies a contract by the command line."""
        path = self.folder / f"{contract.service}.contract.yaml"
        document = contract.model_dump(mode="json", exclude_none=True)
        path.write_text(yaml.safe_dump(document), encoding="utf-8")
        await self.ctl("contract", "apply", str(path), "--replace")

    async def ctl(
        self, *arguments: str, check: bool = True
    ) -> subprocess.CompletedProcess[bytes]:
        """Runs the operators' command line.

        Raises:
            ChildError: It failed, and `check` is true.
        """
        command = [
            sys.executable,
            *("-m", "persimmonhinge.cmd.ctl"),
            *("--config", str(self._write_ctl_settings())),
            *arguments,
        ]
        began_at = trio.current_time()
        with trio.fail_after(_COMMAND_LIMIT_S):
            done = await trio.run_process(
                command,
                capture_stdout=True,
                capture_stderr=True,
                check=False,
                cwd=children.ROOT,
                deliver_cancel=_report_and_kill,
            )
        took_s = trio.current_time() - began_at
        if took_s > _SLOW_COMMAND_S:
            print(f"ctl {' '.join(arguments)} took {took_s:.1f} s", flush=True)
        if check and done.returncode:
            raise children.ChildError(
                f"ctl {' '.join(arguments)} ended with {done.returncode}: "
                f"{done.stderr.decode()}{done.stdout.decode()}"
            )
        return done

    def find_failed(self) -> list[children.Child]:
        """Returns the processes that ended with an error."""
        everything = (
            *self.hosts.values(),
            *self.upstreams.values(),
            *self._others,
        )
        return [process for process in everything if process.exit_code]

    def _write_ctl_settings(self) -> pathlib.Path:
        path = self.folder / "ctl.yaml"
        if not path.exists():
            platform = self.platform.settings().model_dump(mode="json")
            path.write_text(yaml.safe_dump({"platform": platform}))
        return path

    async def _start_platform(self) -> None:
        process = await children.start_child(
            "platform",
            "tests.standins.platform",
            ["--port", "0"],
            self.folder,
        )
        self._others.append(process)
        address = await process.find_text("listening on ")
        self.platform = platform_process.PlatformProcess(address.strip())

    async def _start_fabric(self) -> None:
        arguments = ["--seed", str(self.plan.seed)]
        for service in self.plan.services:
            host, port = self.layout.service_address(service.name)
            arguments += ["--service", f"{service.name}={host}:{port}"]
        arguments.append("--hosts")
        arguments += [f"{host.name}={host.address}" for host in self.plan.hosts]
        process = await children.start_child(
            "fabric", "tests.standins.fabric", arguments, self.folder
        )
        self._others.append(process)
        address = await process.find_text("listening on ")
        self.fabric = await fabric_control.connect_fabric(address)

    async def _start_entry(self, host: plans.HostPlan) -> None:
        path = self.folder / f"{host.name}.yaml"
        settings = self.layout.make_settings(
            host, self.platform.settings(), self._credentials
        )
        layouts.write_settings(path, settings)
        self.hosts[host.name] = await children.start_child(
            host.name,
            "persimmonhinge.cmd.entry",
            ["--config", str(path)],
            self.folder,
        )

    async def _list_host(self, host: plans.HostPlan, state: str) -> None:
        """Writes a host into the platform's list, as the platform would."""
        found = self.layout.hosts[host.name]
        value = {
            "host": host.name,
            "domain": host.domain,
            "address": host.address,
            "port": found.peer,
            "heartbeat_port": found.heartbeat,
            "metrics_port": found.metrics,
            "state": state,
        }
        settings: entry.PlatformSettings = self.platform.settings()
        key = keys.host_key(settings.prefix, ids.HostId(host.name))
        write = platform_ports.Write(key, json.dumps(value).encode())
        async with platform_opening.open_store(settings) as client:
            await client.write_if((), (write,))


async def _report_and_kill(process: trio.Process) -> None:
    """Ends a command that takes too long; prints what it did meanwhile."""
    times = processor_times.describe(
        _NO_TIMES, processor_times.read(process.pid)
    )
    print(f"ended a command after {_COMMAND_LIMIT_S} s: {times}", flush=True)
    process.kill()


async def _is_good(client: httpx.AsyncClient, url: str) -> bool:
    try:
        response = await client.get(url)
    except httpx.HTTPError:
        return False
    return response.is_success


@contextlib.asynccontextmanager
async def run_deployment(
    plan: plans.DeploymentPlan, folder: pathlib.Path | None = None
) -> AsyncIterator[Deployment]:
    """Runs a deployment; ends all its processes on the way out.

    Args:
        plan: What it is made of.
        folder: Where settings and logs go; None for a temporary folder that
            is removed at the end.
    """
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = stack.enter_context(kept_folders.FOLDERS.open_folder())
        deployment = Deployment(plan, folder)
        try:
            await deployment.start()
            yield deployment
        finally:
            with trio.CancelScope(shield=True):
                await deployment.stop()
