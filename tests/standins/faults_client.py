"""Drives a fault-injecting proxy in another process."""

from __future__ import annotations

import msgspec
import trio

from tests.standins import faults_control as control
from tests.standins import faults_proxy
from tests.standins import faults_rules as rules


class FaultClient:
    """The control port of a proxy; one command at a time, others wait."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._waiting = b""
        self._lock = trio.Lock()

    @classmethod
    async def connect(cls, port: int) -> FaultClient:
        """Connects to the control port on loopback."""
        return cls(await trio.open_tcp_stream(faults_proxy.LOOPBACK, port))

    async def aclose(self) -> None:
        """Closes the connection; the faults stay."""
        await self._stream.aclose()

    async def add_tcp(
        self,
        name: str,
        target: tuple[str, int],
        listen: tuple[str, int] = (faults_proxy.LOOPBACK, 0),
    ) -> int:
        """Forwards TCP; returns the port."""
        return (await self._do(control.AddTcp(name, target, listen))).port

    async def add_udp(
        self,
        name: str,
        target: tuple[str, int],
        listen: tuple[str, int] = (faults_proxy.LOOPBACK, 0),
    ) -> int:
        """Forwards UDP; returns the port."""
        return (await self._do(control.AddUdp(name, target, listen))).port

    async def add_mesh(
        self, name: str, hosts: dict[str, tuple[str, str]], port: int
    ) -> None:
        """Forwards datagrams among hosts; see `faults_mesh`."""
        await self._do(control.AddMesh(name, hosts, port))

    async def set(
        self,
        fault: rules.Fault,
        *,
        name: str | None = None,
        source: str | None = None,
        direction: rules.Direction | None = None,
    ) -> None:
        """Sets a fault; see `FaultTable.set`."""
        await self._do(control.SetFault(fault, name, source, direction))

    async def clear(self) -> None:
        """Ends all faults."""
        await self._do(control.Clear())

    async def reset(self, name: str | None = None) -> None:
        """Resets open connections."""
        await self._do(control.Reset(name))

    async def black_hole(self, name: str | None = None) -> None:
        """Loses what is open, silently and for good."""
        await self._do(control.BlackHole(name))

    async def counts(self) -> dict[str, dict[str, int]]:
        """Returns the counters of each mapping."""
        return (await self._do(control.ReadCounts())).counts

    async def _do(self, command: control.Command) -> control.Reply:
        async with self._lock:
            return await self._do_alone(command)

    async def _do_alone(self, command: control.Command) -> control.Reply:
        await self._stream.send_all(msgspec.json.encode(command) + b"\n")
        while b"\n" not in self._waiting:
            data = await self._stream.receive_some()
            if not data:
                raise EOFError("the proxy closed its control port")
            self._waiting += data
        line, self._waiting = self._waiting.split(b"\n", 1)
        reply = msgspec.json.decode(line, type=control.Reply)
        if reply.error:
            raise ValueError(reply.error)
        return reply
