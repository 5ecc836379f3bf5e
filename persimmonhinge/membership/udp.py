"""Implements the `Datagrams` interface on a UDP socket."""

from __future__ import annotations

from collections.abc import AsyncIterator
import socket

import trio

_MAX_DATAGRAM_OCTETS = 65_535


class UdpDatagrams:
    """Sends and receives on one bound UDP socket."""

    def __init__(self, bound: trio.socket.SocketType) -> None:
        """Creates an object that owns a bound socket."""
        self._socket = bound

    @property
    def port(self) -> int:
        """The local port."""
        port: int = self._socket.getsockname()[1]
        return port

    async def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends one datagram.

        Raises:
            OSError: The kernel refused the datagram.
        """
        await self._socket.sendto(data, address)

    async def __aiter__(self) -> AsyncIterator[tuple[bytes, tuple[str, int]]]:
        """Yields the received datagrams, each with its source address."""
        while True:
            data, source = await self._socket.recvfrom(_MAX_DATAGRAM_OCTETS)
            yield data, (source[0], source[1])

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()


async def bind(address: str, port: int) -> UdpDatagrams:
    """Binds a UDP socket; port 0 lets the kernel choose the port.

    Raises:
        OSError: The address or port is not available.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    bound = trio.socket.socket(family, socket.SOCK_DGRAM)
    try:
        await bound.bind((address, port))
    except BaseException:
        bound.close()
        raise
    return UdpDatagrams(bound)
