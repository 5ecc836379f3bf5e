"""A relay of TCP connections, which can be cut."""

from __future__ import annotations

import asyncio
import contextlib

_OCTETS = 65_536


class Relay:
    """Carries the connections to one address while it is not cut.

    Attributes:
        address: Address and port at which it accepts connections.
        is_cut: While true, nothing passes, and nothing is answered.
    """

    def __init__(self, to: str) -> None:
        """Makes a relay; `start` lets it accept connections.

        Args:
            to: Address and port of the other side.
        """
        self._to = to
        self.address = ""
        self.is_cut = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, ip: str) -> None:
        """Accepts connections at a free port of a loopback address."""
        server = await asyncio.start_server(self._serve, ip, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._to.rpartition(":")
        with contextlib.suppress(OSError):
            other_reader, other_writer = await asyncio.open_connection(
                host, int(port)
            )
            await asyncio.gather(
                self._carry(reader, other_writer),
                self._carry(other_reader, writer),
            )
        writer.close()

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_OCTETS):
                if self.is_cut:
                    # The bytes are lost, as the sender gives up the call.
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()
