"""Hosts that forward packets, as processes, with a store and upstreams."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import json
import pathlib
import signal
import socket
import subprocess
import sys
from typing import Any

import httpx
import trio

from tests.standins import flow_upstream
from tests.standins import packet_upstream
from tests.standins import platform_process
from tests.standins import ports
from tests.support import kept_folders

_ROOT = pathlib.Path(__file__).parents[2]
SERVICE = "floor"
ADDRESS = "198.18.0.1"
PORT = 443
_WAIT_S = 10.0
_CHECK_S = 0.02
# UDP sockets of the machine, a line each: number, local address and port.
_UDP_SOCKETS = pathlib.Path("/proc/net/udp")


class ForwardHost:
    """A host that forwards packets.

    Attributes:
        address: Its loopback address.
        program: Module that it runs.
        process: Its process; None while it is stopped.
    """

    def __init__(self, name: str, packets: str, settings: pathlib.Path) -> None:
        self.name = name
        self.address = packets.rpartition(":")[0]
        self._packets = packets
        self.settings = settings
        self.program = "persimmonhinge.cmd.forward"
        self.process: trio.Process | None = None

    def change_settings(self, **fields: Any) -> None:
        """Writes fields of its settings anew."""
        settings = json.loads(self.settings.read_text())
        self.settings.write_text(json.dumps({**settings, **fields}))

    async def start(self) -> None:
        """Starts its process."""
        with self.settings.with_suffix(".log").open("ab") as log:
            self.process = await trio.lowlevel.open_process(
                self.make_command(),
                cwd=_ROOT,
                env=self.make_environment(),
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def make_command(self) -> list[str]:
        """Returns the program and its arguments."""
        return [sys.executable, "-m", self.program, str(self.settings)]

    def make_environment(self) -> dict[str, str] | None:
        """Returns its environment; None for that of this process."""
        return None

    async def stop(self, number: int = signal.SIGTERM) -> int:
        """Sends a signal and waits for the end; returns the exit code."""
        assert self.process is not None
        process, self.process = self.process, None
        process.send_signal(number)
        with trio.CancelScope(shield=True):
            await process.wait()
        assert process.returncode is not None
        return process.returncode

    async def end(self, limit_s: float) -> int | None:
        """Begins a planned stop and waits for its end.

        Returns:
            The exit code; None if it runs on after the limit.
        """
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        with trio.move_on_after(limit_s):
            code = await self.process.wait()
            self.process = None
            return code
        return None

    def is_bound(self) -> bool:
        """Tells whether its socket of packets is bound.

        The kernel's list is read, as a probe that binds the address would keep
        the host from binding it.
        """
        address, _, number = self._packets.rpartition(":")
        octets = reversed(socket.inet_aton(address))
        local = f"{bytes(octets).hex().upper()}:{int(number):04X}"
        lines = _UDP_SOCKETS.read_text().splitlines()
        return any(line.split()[1] == local for line in lines[1:])

    def read_log(self) -> list[dict[str, Any]]:
        """Returns the lines of its log."""
        text = self.settings.with_suffix(".log").read_text()
        return [json.loads(line) for line in text.splitlines()]


HostFactory = Callable[[str, str, pathlib.Path], ForwardHost]


class ForwardingDeployment:
    """Some hosts, the store, and what callers and upstreams see.

    Attributes:
        store: The store's stand-in.
        hosts: The hosts, started or not.
        packet_port: UDP port of packets, the same everywhere.
        page_port: TCP port of the pages of each host.
        peer_port: UDP port of reports, the same at all hosts.
    """

    def __init__(
        self,
        store: platform_process.PlatformProcess,
        folder: pathlib.Path,
        count: int,
        make_host: HostFactory = ForwardHost,
    ) -> None:
        self._make_one = make_host
        self.store = store
        self._folder = folder
        addresses = [f"127.0.0.{11 + number}" for number in range(count)]
        self.packet_port = ports.find_udp_port([*addresses, "127.0.0.7"])
        self.page_port = ports.find_tcp_port(addresses[0])
        self.peer_port = ports.find_udp_port(addresses)
        self.hosts = [
            self._make_host(number, address, addresses)
            for number, address in enumerate(addresses)
        ]

    def _make_host(
        self, number: int, address: str, addresses: list[str]
    ) -> ForwardHost:
        name = f"host-{number}"
        settings = {
            "host": name,
            "domain": "north",
            "packets": f"{address}:{self.packet_port}",
            "pages": f"{address}:{self.page_port}",
            "peer_ports": [self.peer_port, self.peer_port + 15],
            "seeds": [f"{other}:1" for other in addresses],
            "store": {"address": self.store.url.removeprefix("http://")},
            "stop_limit_s": 3,
        }
        path = self._folder / f"{name}.yaml"
        path.write_text(json.dumps(settings))
        return self._make_one(name, str(settings["packets"]), path)

    async def put_state(self, version: int, *routes: int) -> None:
        """Writes a desired state with routes at the ports given."""
        ports_of_routes = routes or (PORT,)
        await self.put_routes(version, dict.fromkeys(ports_of_routes, SERVICE))

    async def put_routes(self, version: int, routes: dict[int, str]) -> None:
        """Writes a desired state with a service at each port."""
        state = {
            "Version": version,
            "Routes": [
                {
                    "Name": f"r-{port}",
                    "Host": ADDRESS,
                    "Prefix": f"/{port}/",
                    "Kind": "idempotent",
                    "Service": service,
                }
                for port, service in routes.items()
            ],
            "Limits": {"IdleTimeoutMs": 15_000},
        }
        await self.store.put("op/config", json.dumps(state))

    async def put_upstream(
        self,
        upstream: packet_upstream.PacketUpstream
        | packet_upstream.Renamed
        | flow_upstream.FlowUpstream,
        state: str = "ready",
        service: str = SERVICE,
        address: str | None = None,
    ) -> None:
        """Writes the entry of an upstream.

        Args:
            upstream: The upstream.
            state: Its state.
            service: Its service.
            address: Where hosts reach it; None for its own address.
        """
        own = upstream.address
        if not isinstance(own, str):
            own = f"{own[0]}:{own[1]}"
        entry = {
            "Service": service,
            "Addr": address or own,
            "Zone": "north",
            "Version": "v1",
            "Slots": 2,
            "State": state,
            "ColdLeftMs": 0,
            "Seq": 1,
        }
        name = upstream.id
        if isinstance(upstream, flow_upstream.FlowUpstream):
            name = upstream.name
            entry["born"] = upstream.started_at_ms
        await self.store.put(f"servers/{name}", json.dumps(entry))

    async def is_ready(self, host: ForwardHost) -> bool:
        """Tells whether a host says that it is ready."""
        url = f"http://{host.address}:{self.page_port}/ready"
        try:
            async with httpx.AsyncClient() as client:
                return (await client.get(url)).status_code == 200
        except httpx.HTTPError:
            return False

    async def wait_ready(self, host: ForwardHost) -> None:
        """Waits until a host is ready."""
        with trio.fail_after(_WAIT_S):
            while not await self.is_ready(host):
                await trio.sleep(_CHECK_S)


async def wait_until(holds: Callable[[], bool], limit_s: float) -> None:
    """Waits until something holds.

    Raises:
        trio.TooSlowError: It does not within the limit.
    """
    with trio.fail_after(limit_s):
        while not holds():
            await trio.sleep(_CHECK_S)


@contextlib.asynccontextmanager
async def run_deployment(
    count: int,
    kept: pathlib.Path | None = None,
    make_host: HostFactory = ForwardHost,
) -> AsyncIterator[ForwardingDeployment]:
    """Gives a deployment whose hosts are not yet started.

    Args:
        count: Number of hosts.
        kept: Folder of settings and logs; None for one that is removed.
        make_host: Makes a host of its name, packet address and settings.
    """
    async with platform_process.run_platform() as store:
        with kept_folders.FOLDERS.open_folder() as folder:
            deployment = ForwardingDeployment(
                store, kept or folder, count, make_host
            )
            try:
                yield deployment
            finally:
                for host in deployment.hosts:
                    if host.process is not None:
                        await host.stop(signal.SIGKILL)
