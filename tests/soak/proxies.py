"""The processes through which everything in a soak passes."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Mapping
import contextlib

from tests.standins import faults_client
from tests.standins import faults_process
from tests.standins import faults_rules as rules

# Mappings that one process serves: a host has four (packets, pages, snapshots,
# the store), an upstream one. With twenty a run of six hosts has two processes
# for them, and one for what hosts tell each other.
_MAPPINGS_EACH = 20


class Proxies:
    """Spreads mappings over processes, and harms each where it is."""

    def __init__(self, stack: contextlib.AsyncExitStack, seed: int) -> None:
        """Makes none yet.

        Args:
            stack: Ends the processes.
            seed: Seed of the faults of all.
        """
        self._stack = stack
        self._seed = seed
        self._owners: dict[str, faults_client.FaultClient] = {}
        self._newest: faults_client.FaultClient | None = None
        self._free = 0

    async def add_tcp(
        self,
        name: str,
        target: tuple[str, int],
        listen: tuple[str, int] = ("127.0.0.1", 0),
    ) -> tuple[str, int]:
        """Begins to forward TCP connections; returns where it listens."""
        client = await self._choose(name)
        return listen[0], await client.add_tcp(name, target, listen)

    async def add_udp(
        self, name: str, target: tuple[str, int], listen: tuple[str, int]
    ) -> tuple[str, int]:
        """Begins to forward UDP datagrams; returns where it listens."""
        client = await self._choose(name)
        return listen[0], await client.add_udp(name, target, listen)

    async def add_mesh(
        self, name: str, hosts: Mapping[str, tuple[str, str]], port: int
    ) -> None:
        """Begins to forward what hosts tell each other.

        Args:
            name: First word of the names of its mappings.
            hosts: Inner and outer IP address of each host, by its name.
            port: The port of all.
        """
        client = await self._start()
        await client.add_mesh(name, dict(hosts), port)
        for host in hosts:
            self._owners[f"{name} {host}"] = client

    async def set(
        self,
        fault: rules.Fault,
        name: str,
        *,
        source: str | None = None,
        direction: rules.Direction | None = None,
    ) -> None:
        """Sets a fault of a mapping; see `FaultTable.set`."""
        await self._owners[name].set(
            fault, name=name, source=source, direction=direction
        )

    async def reset(self, name: str) -> None:
        """Resets the open connections of a mapping."""
        await self._owners[name].reset(name)

    async def black_hole(self, name: str) -> None:
        """Silently loses what is open through a mapping, for good."""
        await self._owners[name].black_hole(name)

    async def _choose(self, name: str) -> faults_client.FaultClient:
        if self._newest is None or not self._free:
            self._newest = await self._start()
            self._free = _MAPPINGS_EACH
        self._free -= 1
        self._owners[name] = self._newest
        return self._newest

    async def _start(self) -> faults_client.FaultClient:
        running = faults_process.run_proxy(self._seed)
        return await self._stack.enter_async_context(running)


@contextlib.asynccontextmanager
async def run_proxies(seed: int) -> AsyncIterator[Proxies]:
    """Gives proxies, and ends their processes."""
    async with contextlib.AsyncExitStack() as stack:
        yield Proxies(stack, seed)
