"""Stand-ins for clients and for the routers before the hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools
import random
import time
from typing import Any
import zlib

import wire

# As PROTOCOL says: copies of the SYN, and the end of an attempt.
_COPIES_S = (0.0, 0.2, 0.6)
_OPENING_LIMIT_S = 1.4
_FIRST_REPEAT_S = 0.2
_LONGEST_REPEAT_S = 1.6
_PROBE_S = 0.5
_MOST_MISSES = 2


@dataclasses.dataclass
class Entrance:
    """A host, as the routers see it.

    Attributes:
        name: Its name.
        zone: Its zone.
        address: Where it takes packets.
        page: Address and port of its readiness page.
        misses: Probes in a row that it left without 200.
    """

    name: str
    zone: str
    address: tuple[str, int]
    page: tuple[str, int]
    misses: int = _MOST_MISSES


class Routers:
    """Hands each packet to a host of the client's zone."""

    def __init__(
        self, entrances: Sequence[Entrance], note: Callable[[str], None]
    ) -> None:
        self._entrances = list(entrances)
        self._note = note

    def pick(self, zone: str, key: tuple[int, ...]) -> Entrance:
        """Returns the host of a packet, by the hash `mod`."""
        local = [e for e in self._entrances if e.zone == zone]
        usable = [e for e in local if e.misses < _MOST_MISSES]
        if not usable:
            usable = [e for e in self._entrances if e.misses < _MOST_MISSES]
        elif 2 * len(usable) < len(local):
            usable = local
        usable = usable or local
        return usable[zlib.crc32(repr(key).encode()) % len(usable)]

    async def run(self) -> None:
        """Probes all hosts twice a second until cancelled."""
        await asyncio.gather(*(self._probe(e) for e in self._entrances))

    async def _probe(self, entrance: Entrance) -> None:
        while True:
            is_ready = await ask_ready(entrance.page)
            was_in = entrance.misses < _MOST_MISSES
            entrance.misses = 0 if is_ready else entrance.misses + 1
            is_in = entrance.misses < _MOST_MISSES
            if was_in != is_in:
                state = "in" if is_in else "out of"
                self._note(f"routers: {entrance.name} {state} rotation")
            await asyncio.sleep(_PROBE_S)


async def ask_ready(page: tuple[str, int]) -> bool:
    """Returns whether a host answers `GET /ready` with 200."""
    writer = None
    try:
        async with asyncio.timeout(0.4):
            reader, writer = await asyncio.open_connection(*page)
            head = f"GET /ready HTTP/1.1\r\nHost: {page[0]}\r\n"
            writer.write(f"{head}Connection: close\r\n\r\n".encode())
            line = await reader.readline()
            return b" 200" in line
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.close()


class ClientAddress(asyncio.DatagramProtocol):
    """All flows of one client address."""

    def __init__(
        self,
        address: str,
        zone: str,
        routers: Routers,
        note: Callable[[str], None],
    ) -> None:
        self.address = address
        self.zone = zone
        self.routers = routers
        self.note = note
        self.flows: dict[tuple[int, int, int], ClientFlow] = {}
        self.ports = itertools.count(random.randrange(20_000, 30_000))
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Keeps the socket."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """A datagram met a closed port: it is lost."""

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Gives a packet to its flow."""
        packet = wire.decode(data)
        flow = self.flows.get((packet.dport, packet.src, packet.sport))
        if flow is not None:
            flow.take(packet, addr[0])

    def send(self, packet: wire.Packet) -> None:
        """Sends a packet to the host that the routers pick."""
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        entrance = self.routers.pick(self.zone, key)
        self._transport.sendto(packet.encode(), entrance.address)


class ClientFlow:
    """A flow of a client.

    Attributes:
        name: The client's address and port.
        state: `new`, `open`, `reset` or `closed`.
        reset_by: `host` or `target`, if a reset ended the flow.
        reset_at: When it came, seconds of the monotonic clock.
        answers: Answers by request.
    """

    def __init__(
        self, client: ClientAddress, route: tuple[str, int], port: int = 0
    ) -> None:
        """Makes a flow that is not yet opened.

        Args:
            client: The address that it belongs to.
            route: Address and port of the route.
            port: The port; 0 for a new one.
        """
        self._client = client
        self._route = (wire.number_of(route[0]), route[1])
        self.port = port or next(client.ports)
        self.name = f"{client.address}:{self.port}"
        self.state = "new"
        self.reset_by = ""
        self.reset_at = 0.0
        self.opened_at = 0.0
        self.answers: dict[str, str] = {}
        self._src = wire.number_of(client.address)
        self._seq = random.randrange(wire.MODULUS)
        self._expected = 0
        self._echo = 0
        self._changed = asyncio.Event()
        client.flows[self._key] = self

    @property
    def _key(self) -> tuple[int, int, int]:
        return (self.port, *self._route)

    async def open(self) -> bool:
        """Opens the flow; returns whether a target accepted it in time."""
        begun_at = time.monotonic()
        syn_seq = self._seq
        self._seq = (self._seq + 1) % wire.MODULUS
        self._client.note(f"client {self.name}: SYN")
        for copy, at_s in enumerate((*_COPIES_S, _OPENING_LIMIT_S)):
            await self._wait(
                lambda: self.state != "new", begun_at + at_s - time.monotonic()
            )
            if self.state != "new" or copy == len(_COPIES_S):
                break
            self._send(wire.SYN, syn_seq, copy)
        if self.state == "open":
            self._client.note(f"client {self.name}: open")
            self._send(wire.ACK, self._seq, self._expected)
        else:
            self._client.note(f"client {self.name}: not opened, {self.state}")
        return self.state == "open"

    async def request(
        self, request: str, work_ms: int, limit_s: float, method: str = "GET"
    ) -> str:
        """Sends a request; returns `answered`, `reset` or `no answer`."""
        data = (
            f"{method} / HTTP/1.1\r\nHost: route\r\nRequest-Id: {request}\r\n"
            f"Work-Ms: {work_ms}\r\n\r\n"
        ).encode()
        sent_at = time.monotonic()
        seq, repeat_s = self._seq, _FIRST_REPEAT_S
        self._seq = (seq + len(data)) % wire.MODULUS
        self._client.note(f"client {self.name}: request {request}")
        while time.monotonic() < sent_at + limit_s:
            self._send(wire.ACK, seq, self._expected, data)
            await self._wait(
                lambda: request in self.answers or self.state != "open",
                min(repeat_s, sent_at + limit_s - time.monotonic()),
            )
            if request in self.answers or self.state != "open":
                break
            repeat_s = min(2 * repeat_s, _LONGEST_REPEAT_S)
        outcome = "no answer"
        if request in self.answers:
            outcome = "answered"
        elif self.state == "reset":
            outcome = "reset"
        text = self.answers.get(request, "")
        self._client.note(
            f"client {self.name}: request {request}: {outcome} {text}"
        )
        return outcome

    def close(self) -> None:
        """Ends the flow with a FIN and forgets it."""
        if self.state in ("open", "closed by target"):
            self._send(wire.ACK | wire.FIN, self._seq, self._expected)
            self._client.note(f"client {self.name}: FIN")
        self.state = "closed"
        if self._client.flows.get(self._key) is self:
            del self._client.flows[self._key]

    def take(self, packet: wire.Packet, sender: str) -> None:
        """Takes a packet of the flow."""
        if packet.flags & wire.RST:
            self._take_reset(packet, sender)
        elif packet.flags & wire.SYN:
            # A SYN+ACK of a second target is no packet of an open flow.
            if self.state == "new" and packet.ack == self._seq:
                self.state = "open"
                self.opened_at = time.monotonic()
                self._expected = (packet.seq + 1) % wire.MODULUS
                self._echo = packet.echo
        elif self.state == "open":
            self._echo = packet.echo
            self._take_data(packet)
        self._changed.set()

    def _take_reset(self, packet: wire.Packet, sender: str) -> None:
        if self.state not in ("new", "open"):
            return
        was_open = self.state == "open"
        by = "host" if packet.sum == 0 else "target"
        self._client.note(
            f"client {self.name}: reset by {by} {sender}, "
            f"{'open' if was_open else 'not open'}"
        )
        self.state, self.reset_by = "reset", by
        self.reset_at = time.monotonic()

    def _take_data(self, packet: wire.Packet) -> None:
        if packet.data and packet.seq == self._expected:
            length = len(packet.data)
            self._expected = (packet.seq + length) % wire.MODULUS
            body = packet.data.decode().partition("\r\n\r\n")[2].strip()
            self.answers[body.split()[1]] = body
        if packet.data:
            self._send(wire.ACK, self._seq, self._expected)
        if packet.flags & wire.FIN:
            self._expected = (self._expected + 1) % wire.MODULUS
            self.state = "closed by target"
            self._client.note(f"client {self.name}: FIN came")

    def _send(self, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        self._client.send(
            wire.Packet(
                self._src,
                self.port,
                *self._route,
                flags,
                seq,
                ack,
                0 if flags & wire.SYN else self._echo,
                data,
            )
        )

    async def _wait(self, holds: Callable[[], bool], limit_s: float) -> None:
        """Waits until something holds, at most for a time."""
        try:
            async with asyncio.timeout(max(limit_s, 0.0)):
                while not holds():
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return
