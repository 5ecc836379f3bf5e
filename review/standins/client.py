"""Clients: they open flows and send requests, as PROTOCOL.md says."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import itertools
import json
import random

from review.standins import fabric as fabrics
from review.standins import packets
from review.standins import record as records

_COPIES_S = (0.0, 0.2, 0.6)
_OPENING_LIMIT_S = 1.4
_FIRST_REPEAT_S = 0.2
_LONGEST_REPEAT_S = 1.6
# A reset of the system counts if it lies this close to what was acknowledged.
_RESET_WINDOW = 76_800
_FIRST_PORT = 20_000


class Outcome(enum.Enum):
    """How a request ended."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    RESET = "reset"
    LATE = "late"
    NOT_OPENED = "not opened"


@dataclasses.dataclass(frozen=True)
class Reset:
    """A reset that a client got on an open flow.

    Attributes:
        at: When it came, seconds since the start.
        by_system: Whether a host sent it, and not a target.
    """

    at: float
    by_system: bool


class Client:
    """A machine with clients; its flows differ by their ports.

    Attributes:
        address: Its address.
        zone: Its zone.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        packet_port: int,
        delay_s: float,
        fabric: fabrics.Fabric,
        record: records.Record,
    ) -> None:
        """Makes a machine.

        Args:
            address: Its address.
            zone: Its zone.
            packet_port: Port of packets, at hosts and here.
            delay_s: Time that a packet takes to the hosts, seconds.
            fabric: Picks the host of each packet.
            record: Receives what is sent and answered.
        """
        self.address = address
        self.zone = zone
        self.record = record
        self._packet_port = packet_port
        self._delay_s = delay_s
        self._fabric = fabric
        self._ports = itertools.count(_FIRST_PORT)
        self._flows: dict[int, Flow] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Binds its socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._receive),
            local_addr=(self.address, self._packet_port),
        )

    def stop(self) -> None:
        """Closes its socket."""
        if self._transport is not None:
            self._transport.close()

    def make_flow(self, route: tuple[str, int], port: int = 0) -> Flow:
        """Returns a new flow, from a new port unless one is given."""
        flow = Flow(self, (self.address, port or next(self._ports)), route)
        self._flows[flow.source[1]] = flow
        return flow

    def send(self, packet: packets.Packet) -> None:
        """Sends a packet to the fabric."""
        loop = asyncio.get_running_loop()
        loop.call_later(self._delay_s, self._pass_on, packet)

    def _pass_on(self, packet: packets.Packet) -> None:
        """Hands a packet to the host that the fabric picks now."""
        host = self._fabric.pick(self.zone, packet)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(packet.encode(), host.packet_address)

    def _receive(self, octets: bytes) -> None:
        packet = packets.decode(octets)
        flow = self._flows.get(packet.destination[1])
        if flow is not None and flow.destination == packet.source:
            flow.receive(packet)


class Flow:
    """A flow of a client.

    Attributes:
        source: Address and port of the client.
        destination: Address and port of the route.
        resets: Resets that came while it was open.
        is_open: Whether it is open.
        is_closed: Whether it has ended.
    """

    def __init__(
        self,
        client: Client,
        source: tuple[str, int],
        destination: tuple[str, int],
    ) -> None:
        self.source = source
        self.destination = destination
        self.resets: list[Reset] = []
        self.is_open = False
        self.is_closed = False
        self._client = client
        self._echo = 0
        self._sequence = random.getrandbits(31)
        self._expected = 0
        self._changed = asyncio.Event()
        self._responses: list[bytes] = []

    async def open(self) -> bool:
        """Opens the flow; returns whether a target accepted it in time."""
        first = self._sequence
        for copy, at_s in enumerate(_COPIES_S):
            self._send(packets.SYN, sequence=first, acknowledged=copy)
            ends_s = (*_COPIES_S, _OPENING_LIMIT_S)[copy + 1]
            await self._wait(lambda: self.is_open, ends_s - at_s)
            if self.is_open or self.is_closed:
                break
        return self.is_open and not self.is_closed

    async def request(self, request_id: str, limit_s: float) -> Outcome:
        """Sends a request and waits for its response."""
        data = json.dumps({"id": request_id}).encode()
        first = self._sequence
        self._sequence = _add(first, len(data))
        self._client.record.write(f"{request_id} sent from {self.source}")
        self._responses.clear()
        ends_at = asyncio.get_running_loop().time() + limit_s
        wait_s = _FIRST_REPEAT_S
        while not self._responses and not self.is_closed:
            left_s = ends_at - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            self._send(packets.ACK, data=data, sequence=first)
            await self._wait(lambda: bool(self._responses), min(wait_s, left_s))
            wait_s = min(2 * wait_s, _LONGEST_REPEAT_S)
        outcome = self._judge(request_id)
        self._client.record.write(f"{request_id} {outcome.value}")
        return outcome

    def close(self) -> None:
        """Says that nothing more comes."""
        if self.is_open and not self.is_closed:
            self._send(packets.FIN | packets.ACK)
        self.is_closed = True

    def receive(self, packet: packets.Packet) -> None:
        """Handles a packet of a target, or a reset of a host."""
        if packet.has(packets.RST):
            self._receive_reset(packet)
        else:
            # Any packet of the flow, the last one that came.
            self._echo = packet.echo
            if packet.has(packets.SYN):
                self._receive_acceptance(packet)
            elif self.is_open:
                self._receive_data(packet)
        self._changed.set()

    def _receive_acceptance(self, packet: packets.Packet) -> None:
        """Goes on with the first target that accepts the flow."""
        if self.is_open or self.is_closed:
            return
        self.is_open = True
        self._sequence = _add(self._sequence, 1)
        self._expected = _add(packet.sequence, 1)
        self._send(packets.ACK)

    def _receive_data(self, packet: packets.Packet) -> None:
        if packet.data:
            if packet.sequence == self._expected:
                self._expected = _add(self._expected, len(packet.data))
                self._responses.append(packet.data)
            self._send(packets.ACK)
        if packet.has(packets.FIN) and not self.is_closed:
            self.close()

    def _receive_reset(self, packet: packets.Packet) -> None:
        distance = (packet.sequence - self._expected) % packets.SEQUENCE_MODULUS
        distance = min(distance, packets.SEQUENCE_MODULUS - distance)
        if self.is_closed or (self.is_open and distance > _RESET_WINDOW):
            return
        if self.is_open:
            now = self._client.record.now()
            self.resets.append(Reset(now, packet.by_system))
            sender = "a host" if packet.by_system else "a target"
            self._client.record.say(f"{self.source} reset by {sender}")
        self.is_closed = True

    def _judge(self, request_id: str) -> Outcome:
        for response in self._responses:
            answer = json.loads(response)
            if answer["id"] == request_id:
                return Outcome.ANSWERED if answer["run"] else Outcome.NOT_RUN
        return Outcome.RESET if self.resets else Outcome.LATE

    async def _wait(self, holds: Callable[[], bool], limit_s: float) -> None:
        """Waits until something holds, the flow ends or the limit is over."""
        try:
            async with asyncio.timeout(limit_s):
                while not holds() and not self.is_closed:
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            pass

    def _send(
        self,
        flags: int,
        data: bytes = b"",
        sequence: int | None = None,
        acknowledged: int | None = None,
    ) -> None:
        opens = flags & packets.SYN
        self._client.send(
            packets.Packet(
                source=self.source,
                destination=self.destination,
                flags=flags,
                echo=0 if opens else self._echo,
                sequence=self._sequence if sequence is None else sequence,
                acknowledged=(
                    self._expected if acknowledged is None else acknowledged
                ),
                data=data,
            )
        )


class _Receiver(asyncio.DatagramProtocol):
    """Hands datagrams to a function."""

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """See the base class."""
        self._receive(data)


def _add(sequence: int, count: int) -> int:
    return (sequence + count) % packets.SEQUENCE_MODULUS
