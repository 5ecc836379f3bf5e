"""The control port of the fault-injecting proxy: a JSON object a line."""

from __future__ import annotations

import msgspec
import trio

from tests.standins import faults_mesh
from tests.standins import faults_proxy
from tests.standins import faults_rules as rules

_MOST_LINE_OCTETS = 65_536


class Command(
    msgspec.Struct, tag_field="do", tag=str.lower, forbid_unknown_fields=True
):
    """Base of all commands; the member `do` says which."""


class AddTcp(Command, tag="add-tcp"):
    """Forwards TCP; the reply carries the port."""

    name: str
    target: tuple[str, int]
    listen: tuple[str, int] = (faults_proxy.LOOPBACK, 0)


class AddUdp(Command, tag="add-udp"):
    """Forwards UDP; the reply carries the port."""

    name: str
    target: tuple[str, int]
    listen: tuple[str, int] = (faults_proxy.LOOPBACK, 0)


class AddMesh(Command, tag="add-mesh"):
    """Forwards datagrams among hosts; see `faults_mesh.UdpMesh`."""

    name: str
    hosts: dict[str, tuple[str, str]]
    port: int


class SetFault(Command, tag="set"):
    """Sets a fault; see `FaultTable.set`."""

    fault: rules.Fault
    name: str | None = None
    source: str | None = None
    direction: rules.Direction | None = None


class Clear(Command, tag="clear"):
    """Ends all faults; what is reset or lost stays so."""


class Reset(Command, tag="reset"):
    """Resets open connections."""

    name: str | None = None


class BlackHole(Command, tag="black-hole"):
    """Loses what is open, silently and for good."""

    name: str | None = None


class ReadCounts(Command, tag="counts"):
    """Asks for the counters of each mapping."""


AnyCommand = (
    AddTcp
    | AddUdp
    | AddMesh
    | SetFault
    | Clear
    | Reset
    | BlackHole
    | ReadCounts
)


class Reply(msgspec.Struct):
    """Answers a command.

    Attributes:
        error: What went wrong; empty if nothing did.
        port: Port of a new mapping.
        counts: Counters of each mapping.
    """

    error: str = ""
    port: int = 0
    counts: dict[str, dict[str, int]] = msgspec.field(default_factory=dict)


class ControlServer:
    """Carries out the commands that come in on the control port."""

    def __init__(self, proxy: faults_proxy.FaultProxy) -> None:
        self._proxy = proxy
        self._decoder = msgspec.json.Decoder(AnyCommand)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one client until it closes its side."""
        try:
            await self._serve_lines(stream)
        except trio.BrokenResourceError:
            # A test that fails goes without closing; the proxy stays.
            pass

    async def _serve_lines(self, stream: trio.SocketStream) -> None:
        waiting = b""
        async with stream:
            async for data in stream:
                waiting += data
                *lines, waiting = waiting.split(b"\n")
                for line in lines:
                    reply = await self._answer(line)
                    await stream.send_all(msgspec.json.encode(reply) + b"\n")
                if len(waiting) > _MOST_LINE_OCTETS:
                    return

    async def _answer(self, line: bytes) -> Reply:
        try:
            return await self._carry_out(self._decoder.decode(line))
        except (ValueError, OSError) as error:
            return Reply(error=str(error))

    async def _carry_out(self, command: AnyCommand) -> Reply:
        proxy = self._proxy
        match command:
            case AddTcp(name, target, listen):
                address = await proxy.add_tcp(name, target, listen)
                return Reply(port=address[1])
            case AddUdp(name, target, listen):
                address = await proxy.add_udp(name, target, listen)
                return Reply(port=address[1])
            case AddMesh(name, hosts, port):
                await proxy.add_mesh(faults_mesh.UdpMesh(name, hosts, port))
            case SetFault(fault, name, source, direction):
                proxy.table.set(
                    fault, name=name, source=source, direction=direction
                )
            case Clear():
                proxy.table.clear()
            case Reset(name):
                proxy.reset(name)
            case BlackHole(name):
                proxy.black_hole(name)
            case ReadCounts():
                return Reply(counts=proxy.counts())
        return Reply()
