"""Gives commands to a running fabric stand-in."""

from __future__ import annotations

import json
from typing import Any

import trio


class FabricControl:
    """One connection to the control port of a fabric."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._lock = trio.Lock()

    async def add_host(self, host: str, address: str) -> None:
        """Sprays over one more host."""
        await self.do("add-host", host=host, address=address)

    async def remove_host(self, host: str) -> None:
        """Sends nothing more to a host; what it sends still passes."""
        await self.do("remove-host", host=host)

    async def cut(self, host: str) -> None:
        """Drops all datagrams to and from a host."""
        await self.do("cut", host=host)

    async def heal(self, host: str) -> None:
        """Ends a cut."""
        await self.do("heal", host=host)

    async def set_sticky(self, on: bool) -> None:
        """Gives each flow one host, or sprays."""
        await self.do("sticky", on=on)

    async def set_faults(
        self,
        loss: float = 0.0,
        duplicate: float = 0.0,
        reorder: float = 0.0,
    ) -> None:
        """Sets the probabilities of faults, 0 to 1."""
        faults = {"loss": loss, "duplicate": duplicate, "reorder": reorder}
        await self.do("faults", faults=faults)

    async def get_forwarded(self) -> dict[str, int]:
        """Returns the datagrams that each host was sent."""
        answer = await self.do("counts")
        forwarded: dict[str, int] = answer["forwarded"]
        return forwarded

    async def do(self, action: str, **details: Any) -> dict[str, Any]:
        """Carries out a command; see `tests.standins.fabric`.

        Raises:
            RuntimeError: The fabric refused it.
        """
        line = json.dumps({"do": action, **details}).encode() + b"\n"
        async with self._lock:
            await self._stream.send_all(line)
            answer = await self._read_line()
        if not answer["ok"]:
            raise RuntimeError(f"fabric refused {action}: {answer['error']}")
        return answer

    async def _read_line(self) -> dict[str, Any]:
        line = b""
        while not line.endswith(b"\n"):
            data = await self._stream.receive_some()
            if not data:
                raise RuntimeError("the fabric closed its control port")
            line += data
        answer: dict[str, Any] = json.loads(line)
        return answer


async def connect_fabric(address: str) -> FabricControl:
    """Connects to a fabric at the `address:port` that it printed."""
    host, _, port = address.strip().rpartition(":")
    return FabricControl(await trio.open_tcp_stream(host, int(port)))
