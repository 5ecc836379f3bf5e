"""An upstream and a caller of packets, within a test's own process."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import socket

import trio

from persimmonhinge.platform import header

SYN = header.OPENS
ACK = header.ACKNOWLEDGES
RST = header.ABORTS


class PacketUpstream:
    """Keeps what it receives; answers nothing, as the tests need no answers.

    Attributes:
        id: Its id.
        received: Number and packet of each datagram.
    """

    def __init__(self, number: int, bound: trio.socket.SocketType) -> None:
        self.number = number
        self.id = f"i-{number:010x}"
        self.received: list[tuple[int, bytes]] = []
        self._socket = bound

    @property
    def address(self) -> str:
        """Its address and port."""
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    def count_openings(self) -> int:
        """Returns the opening packets that came."""
        return sum(1 for _, packet in self.received if packet[12] & SYN)

    def last_token(self) -> int:
        """Returns the routing token of the newest packet."""
        return int.from_bytes(self.received[-1][1][:4])

    async def run(self) -> None:
        """Receives until cancelled."""
        while True:
            octets = await self._socket.recv(2048)
            self.received.append((int.from_bytes(octets[:8]), octets[8:]))


class Renamed:
    """Another upstream at the address of one that has ended."""

    def __init__(self, former: PacketUpstream, number: int) -> None:
        self.id = f"i-{number:010x}"
        self.address = former.address


class PacketCaller:
    """Sends packets of flows, and keeps the resets that come back."""

    def __init__(self, bound: trio.socket.SocketType, port: int) -> None:
        self.resets: list[bytes] = []
        self._socket = bound
        self._port = port

    async def send(
        self,
        host: str,
        flow_port: int,
        flags: int,
        *,
        token: int = 0,
        service_port: int = 443,
        data: bytes = b"",
    ) -> None:
        """Sends a packet to a host, as the fabric would."""
        address = int.from_bytes(
            socket.inet_aton(self._socket.getsockname()[0])
        )
        head = header.HEAD.pack(
            token,
            1,
            0,
            flags,
            bytes(5),
            7,
            len(data),
            service_port,
            address,
            0xC6120001,
            flow_port,
        )
        await self._socket.sendto(head + data, (host, self._port))

    async def run(self) -> None:
        """Receives until cancelled."""
        while True:
            self.resets.append(await self._socket.recv(2048))


@contextlib.asynccontextmanager
async def run_upstreams(count: int) -> AsyncIterator[list[PacketUpstream]]:
    """Runs upstreams at ports of the kernel's choice."""
    async with trio.open_nursery() as nursery:
        upstreams = []
        for number in range(1, count + 1):
            bound = await _bind("127.0.0.1", 0)
            upstream = PacketUpstream(number, bound)
            nursery.start_soon(upstream.run)
            upstreams.append(upstream)
        yield upstreams
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def run_caller(port: int) -> AsyncIterator[PacketCaller]:
    """Runs a caller at 127.0.0.7 and the port of packets."""
    async with trio.open_nursery() as nursery:
        caller = PacketCaller(await _bind("127.0.0.7", port), port)
        nursery.start_soon(caller.run)
        yield caller
        nursery.cancel_scope.cancel()


async def _bind(host: str, port: int) -> trio.socket.SocketType:
    bound = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await bound.bind((host, port))
    return bound
