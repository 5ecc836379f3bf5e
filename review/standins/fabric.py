"""Routers: they pick the host for each packet of a client."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import zlib

from review.standins import hosts as host_module
from review.standins import packets
from review.standins import record as records

_CHECK_S = 0.5
_MOST_MISSES = 2


class Fabric:
    """Checks hosts and spreads flows over those in rotation, hash `mod`."""

    def __init__(
        self, hosts: Sequence[host_module.Host], record: records.Record
    ) -> None:
        self._hosts = hosts
        self._record = record
        self._misses = {host.name: _MOST_MISSES for host in hosts}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts to check all hosts."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._check(host)) for host in self._hosts
        ]

    def stop(self) -> None:
        """Stops the checks."""
        for task in self._tasks:
            task.cancel()

    def count_in_rotation(self) -> int:
        """Returns the number of hosts in rotation."""
        return sum(self._is_in_rotation(host) for host in self._hosts)

    def pick(self, zone: str, packet: packets.Packet) -> host_module.Host:
        """Returns the host for a packet of a client in a zone."""
        nodes = self._list_nodes(zone)
        text = repr((packet.source, packet.destination))
        return nodes[zlib.crc32(text.encode()) % len(nodes)]

    def _list_nodes(self, zone: str) -> Sequence[host_module.Host]:
        own = [host for host in self._hosts if host.zone == zone]
        in_rotation = [host for host in own if self._is_in_rotation(host)]
        if not in_rotation:
            others = [h for h in self._hosts if self._is_in_rotation(h)]
            return others or self._hosts
        return own if 2 * len(in_rotation) < len(own) else in_rotation

    def _is_in_rotation(self, host: host_module.Host) -> bool:
        return self._misses[host.name] < _MOST_MISSES

    async def _check(self, host: host_module.Host) -> None:
        while True:
            was_in = self._is_in_rotation(host)
            if await _is_ready(*host.ready_address):
                self._misses[host.name] = 0
            else:
                self._misses[host.name] += 1
            is_in = self._is_in_rotation(host)
            if was_in != is_in:
                self._record.write(f"{host.name} in rotation: {is_in}")
            await asyncio.sleep(_CHECK_S)


async def _is_ready(address: str, port: int) -> bool:
    """Returns whether `GET /ready` is answered with 200 in time."""
    try:
        async with asyncio.timeout(_CHECK_S):
            reader, writer = await asyncio.open_connection(address, port)
            request = f"GET /ready HTTP/1.1\r\nHost: {address}\r\n\r\n"
            writer.write(request.encode())
            line = await reader.readline()
            writer.close()
            return line.split()[1:2] == [b"200"]
    except (OSError, TimeoutError):
        return False
