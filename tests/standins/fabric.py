"""A stand-in of the fabric: sprays datagrams over the entry hosts.

Each caller of a service gets a socket of its own towards the hosts, as
behind address translation, so that hosts see one address a flow. Any host
may answer any flow. A TCP port takes commands, one JSON object a line; its
address is the first line on standard output. Commands:

    {"do": "add-host", "host": NAME, "address": IP}
    {"do": "remove-host", "host": NAME}
    {"do": "cut", "host": NAME}         drop all to and from a host
    {"do": "heal", "host": NAME}
    {"do": "sticky", "on": true}        one host for each flow
    {"do": "faults", "faults": {"loss": 0.1, "duplicate": 0, "reorder": 0}}
    {"do": "counts"}
"""

from __future__ import annotations

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import random
import sys
from typing import Any

import trio
import xxhash

from tests.standins import starvation

Address = tuple[str, int]
Send = Callable[[bytes, Address], Awaitable[int]]
Command = dict[str, Any]

_MAX_DATAGRAM_OCTETS = 65_535
_MAX_LINE_OCTETS = 65_536


@dataclasses.dataclass(slots=True)
class Faults:
    """What the fabric does to datagrams.

    Attributes:
        loss: Probability that one is dropped.
        duplicate: Probability that one is sent twice.
        reorder: Probability that one is held back.
        delay_s: Longest time that one is held back, seconds.
    """

    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    delay_s: float = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service as the fabric knows it.

    Attributes:
        name: Its name.
        address: Address and port that callers send to; the hosts take the
            same port.
    """

    name: str
    address: Address


class Fabric:
    """Forwards datagrams between callers and hosts."""

    def __init__(
        self, hosts: dict[str, str], seed: int, nursery: trio.Nursery
    ) -> None:
        self.hosts = hosts
        self.faults = Faults()
        self.cut: set[str] = set()
        self.sticky = False
        self.forwarded: dict[str, int] = {}
        self.flows = 0
        self._seed = seed
        self._random = random.Random(seed)
        self._nursery = nursery

    async def serve(self, service: Service) -> None:
        """Takes the datagrams of callers of one service."""
        front = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        await front.bind(service.address)
        back: dict[Address, trio.socket.SocketType] = {}
        while True:
            data, caller = await front.recvfrom(_MAX_DATAGRAM_OCTETS)
            if caller not in back:
                back[caller] = await self._open_flow(front, caller)
            host = self._pick_host(service, caller)
            if host is None:
                continue
            self.forwarded[host] = self.forwarded.get(host, 0) + 1
            target = (self.hosts[host], service.address[1])
            await self._forward(data, target, back[caller].sendto)

    async def _open_flow(
        self, front: trio.socket.SocketType, caller: Address
    ) -> trio.socket.SocketType:
        socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        await socket.bind(("127.0.0.1", 0))
        self.flows += 1
        self._nursery.start_soon(self._return, socket, front, caller)
        return socket

    async def _return(
        self,
        back: trio.socket.SocketType,
        front: trio.socket.SocketType,
        caller: Address,
    ) -> None:
        while True:
            data, source = await back.recvfrom(_MAX_DATAGRAM_OCTETS)
            if not self._is_cut(source[0]):
                await self._forward(data, caller, front.sendto)

    def _is_cut(self, address: str) -> bool:
        return any(self.hosts.get(host) == address for host in self.cut)

    def _pick_host(self, service: Service, caller: Address) -> str | None:
        names = sorted(self.hosts)
        if not names:
            return None
        if self.sticky:
            flow = f"{self._seed} {service.name} {caller}"
            host = max(names, key=lambda name: _weigh(f"{flow} {name}"))
        else:
            host = self._random.choice(names)
        return None if host in self.cut else host

    async def _forward(self, data: bytes, target: Address, send: Send) -> None:
        faults = self.faults
        if self._random.random() < faults.loss:
            return
        copies = 2 if self._random.random() < faults.duplicate else 1
        for _ in range(copies):
            if self._random.random() < faults.reorder:
                delay_s = self._random.uniform(0, faults.delay_s)
                self._nursery.start_soon(
                    _send_late, data, target, send, delay_s
                )
            else:
                await _send(data, target, send)


def _weigh(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())


async def _send_late(
    data: bytes, target: Address, send: Send, delay_s: float
) -> None:
    await trio.sleep(delay_s)
    await _send(data, target, send)


async def _send(data: bytes, target: Address, send: Send) -> None:
    try:
        await send(data, target)
    except OSError:
        # The kernel reports an ICMP error of an earlier datagram; this one
        # is lost, as on a real fabric.
        return


class Control:
    """Carries out commands for a fabric."""

    def __init__(self, fabric: Fabric) -> None:
        self._fabric = fabric

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answers each line of one connection with a line."""
        buffer = b""
        async with stream:
            async for chunk in stream:
                *lines, buffer = (buffer + chunk).split(b"\n")
                if len(buffer) > _MAX_LINE_OCTETS:
                    return
                for line in lines:
                    answer = self._run(line)
                    await stream.send_all(json.dumps(answer).encode() + b"\n")

    def _run(self, line: bytes) -> Command:
        try:
            return self.run(json.loads(line))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return {"ok": False, "error": repr(error)}

    def run(self, command: Command) -> Command:
        """Carries out one command."""
        fabric = self._fabric
        action = command["do"]
        if action == "add-host":
            fabric.hosts[command["host"]] = command["address"]
        elif action == "remove-host":
            fabric.hosts.pop(command["host"], None)
        elif action == "cut":
            fabric.cut.add(command["host"])
        elif action == "heal":
            fabric.cut.discard(command["host"])
        elif action == "sticky":
            fabric.sticky = bool(command["on"])
        elif action == "faults":
            fabric.faults = Faults(**command["faults"])
        elif action != "counts":
            raise ValueError(f"no command {action!r}")
        return {
            "ok": True,
            "forwarded": fabric.forwarded,
            "flows": fabric.flows,
        }


async def run(
    services: list[Service], hosts: dict[str, str], seed: int, port: int
) -> None:
    """Runs a fabric until cancelled."""
    async with trio.open_nursery() as nursery:
        fabric = Fabric(hosts, seed, nursery)
        nursery.start_soon(starvation.report_gaps)
        for service in services:
            nursery.start_soon(fabric.serve, service)
        listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
        address = listeners[0].socket.getsockname()
        print(f"listening on {address[0]}:{address[1]}", flush=True)
        await trio.serve_listeners(Control(fabric).serve, listeners)


def _read_service(text: str) -> Service:
    name, _, place = text.partition("=")
    host, _, port = place.rpartition(":")
    return Service(name, (host, int(port)))


def _read_host(text: str) -> tuple[str, str]:
    name, _, address = text.partition("=")
    return name, address


def main(arguments: list[str]) -> None:
    """Runs the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--service", type=_read_service, action="append", required=True
    )
    parser.add_argument("--hosts", type=_read_host, nargs="*", default=[])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args(arguments)
    hosts = dict(options.hosts)
    try:
        trio.run(run, options.service, hosts, options.seed, options.port)
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    main(sys.argv[1:])
