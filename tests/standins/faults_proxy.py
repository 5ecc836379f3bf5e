"""The fault-injecting proxy as a class."""

from __future__ import annotations

import trio

from tests.standins import faults_mesh
from tests.standins import faults_rules as rules
from tests.standins import faults_tcp
from tests.standins import faults_udp

LOOPBACK = "127.0.0.1"
_ANY_PORT = (LOOPBACK, 0)
Mapping = faults_tcp.TcpMapping | faults_udp.UdpMapping


class FaultProxy:
    """Forwards TCP and UDP between given addresses, through faults.

    Attributes:
        table: Faults in force.
    """

    def __init__(self, nursery: trio.Nursery, seed: int = 0) -> None:
        self.table = rules.FaultTable(seed)
        self._nursery = nursery
        self._mappings: dict[str, Mapping] = {}

    async def add_tcp(
        self,
        name: str,
        target: tuple[str, int],
        listen: tuple[str, int] = _ANY_PORT,
    ) -> tuple[str, int]:
        """Begins to forward TCP connections; returns where it listens."""
        mapping = faults_tcp.TcpMapping(name, target, self.table)
        return await self._add(mapping, listen)

    async def add_udp(
        self,
        name: str,
        target: tuple[str, int],
        listen: tuple[str, int] = _ANY_PORT,
    ) -> tuple[str, int]:
        """Begins to forward UDP datagrams; returns where it listens."""
        mapping = faults_udp.UdpMapping(name, target, self.table)
        return await self._add(mapping, listen)

    async def add_mesh(self, mesh: faults_mesh.UdpMesh) -> None:
        """Begins to forward the datagrams of a mesh."""
        await self._nursery.start(mesh.run, self.table)

    def reset(self, name: str | None = None) -> None:
        """Resets the open connections of a mapping, or of all."""
        for mapping in self._find(name):
            mapping.reset()

    def black_hole(self, name: str | None = None) -> None:
        """Silently loses what is open through a mapping, or all, for good."""
        for mapping in self._find(name):
            mapping.black_hole()

    def counts(self) -> dict[str, dict[str, int]]:
        """Returns the counters of each mapping."""
        return {name: dict(m.counts) for name, m in self._mappings.items()}

    async def _add(
        self, mapping: Mapping, listen: tuple[str, int]
    ) -> tuple[str, int]:
        if mapping.name in self._mappings:
            raise ValueError(f"mapping {mapping.name!r} is there already")
        await self._nursery.start(mapping.run, listen)
        self._mappings[mapping.name] = mapping
        return mapping.address

    def _find(self, name: str | None) -> list[Mapping]:
        if name is None:
            return list(self._mappings.values())
        if name not in self._mappings:
            raise ValueError(f"no mapping {name!r}")
        return [self._mappings[name]]
