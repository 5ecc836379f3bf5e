"""Targets: they take flows from hosts and answer clients directly."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
from typing import Any

from review.standins import packets
from review.standins import record as records
from review.standins import store as stores

_ANY_TARGET = 0
_QUEUE = 8
_RESPONSE_OCTETS = 1000
_FIRST_REPEAT_S = 0.2
_LONGEST_REPEAT_S = 1.6
_MOST_REPEATS = 8
# Time that a packet takes from a host of another zone.
_HOST_DELAY_S = 0.0009

FlowKey = tuple[tuple[str, int], tuple[str, int]]


@dataclasses.dataclass(frozen=True)
class TargetSettings:
    """What a target is.

    Attributes:
        id: Its id, new for each start.
        service: Its service.
        zone: Its zone.
        address: Where it takes datagrams.
        slots: Requests that it processes concurrently.
        work_s: Time that a request takes, seconds.
        heartbeat_s: Interval of its writes to the store, seconds.
        born_ms: Unix time of its start, which it tells in its entry; None if
            the installation has no such field.
    """

    id: str
    service: str
    zone: str
    address: tuple[str, int]
    slots: int
    work_s: float
    heartbeat_s: float
    born_ms: int | None = None

    @property
    def number(self) -> int:
        """Number that its datagrams carry: the hex digits of its id."""
        digits = (c for c in self.id if c in "0123456789abcdef")
        return int("".join(digits), 16)


@dataclasses.dataclass
class HeldFlow:
    """A flow at a target.

    Attributes:
        client_sequence: Sequence number of the client's opening packet.
        sequence: Next sequence number of the target.
        expected: Next sequence number that is expected of the client.
        echo: Last echo that was received.
        opened: Whether the end of the handshake has come.
        ended: Whether the client has ended the flow.
        unacknowledged: The last response while the client has not
            acknowledged it.
    """

    client_sequence: int
    sequence: int
    expected: int
    echo: int
    opened: bool = False
    ended: bool = False
    unacknowledged: packets.Packet | None = None


class Target(asyncio.DatagramProtocol):
    """A target that is sound and undisturbed.

    Attributes:
        settings: What it is.
        state: Its state in its entry, `ready` or `draining`.
        opened: Flows that opened here, with the time.
    """

    def __init__(
        self,
        settings: TargetSettings,
        store: stores.Store,
        record: records.Record,
        client_port: int,
        client_delay_s: float,
    ) -> None:
        """Makes a target.

        Args:
            settings: What it is.
            store: Where it registers.
            record: Receives what it runs.
            client_port: Port of packets at the clients' addresses.
            client_delay_s: Time that a packet takes to a client, seconds.
        """
        self.settings = settings
        self.state = "ready"
        self.opened: dict[FlowKey, float] = {}
        self._store = store
        self._record = record
        self._client_port = client_port
        self._client_delay_s = client_delay_s
        self._flows: dict[FlowKey, HeldFlow] = {}
        self._slots = asyncio.Semaphore(settings.slots)
        self._in_progress = 0
        self._beats = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Binds its socket and registers."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.settings.address
        )
        self._start_task(self._register())

    def stop(self) -> None:
        """Closes its socket; says nothing more."""
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.close()

    def make_entry(self) -> dict[str, Any]:
        """Returns its entry."""
        settings = self.settings
        entry = {
            "Service": settings.service,
            "Addr": f"{settings.address[0]}:{settings.address[1]}",
            "Zone": settings.zone,
            "Version": "v1",
            "Slots": settings.slots,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": self._beats,
        }
        if settings.born_ms is not None:
            entry["born"] = settings.born_ms
        return entry

    def write_entry(self) -> None:
        """Writes its entry, if more than `Seq` changes."""
        self._beats += 1
        key = f"servers/{self.settings.id}"
        entry = self.make_entry()
        stored = self._store.get(key)
        if stored is None or _drop_seq(json.loads(stored)) != _drop_seq(entry):
            self._store.put(key, json.dumps(entry).encode())

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handles a datagram of a host once it has crossed the link."""
        loop = asyncio.get_running_loop()
        loop.call_later(_HOST_DELAY_S, self._handle, data)

    def _handle(self, data: bytes) -> None:
        number, packet = packets.decode_for_target(data)
        if number not in (_ANY_TARGET, self.settings.number):
            return
        key = (packet.source, packet.destination)
        if packet.has(packets.SYN):
            self._accept(packet, key)
            return
        held = self._flows.get(key)
        if held is not None and not held.opened:
            held = self._open(packet, held, key)
        if held is not None:
            self._continue(packet, held, key)
        elif not packet.has(packets.RST):
            self._record.write(f"{self.settings.id} holds no {key}: reset")
            self._send(packet, packets.RST, packet.acknowledged, packet.echo)

    async def _register(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(self.settings.heartbeat_s)

    def _accept(self, packet: packets.Packet, key: FlowKey) -> None:
        held = self._flows.get(key)
        if held is None or held.client_sequence != packet.sequence:
            held = HeldFlow(
                client_sequence=packet.sequence,
                sequence=random.getrandbits(31),
                expected=_add(packet.sequence, 1),
                echo=packet.echo,
            )
            self._flows[key] = held
        held.echo = packet.echo
        flags = packets.SYN | packets.ACK
        self._send(packet, flags, held.sequence, held.echo, held.expected)

    def _open(
        self, packet: packets.Packet, held: HeldFlow, key: FlowKey
    ) -> HeldFlow | None:
        """Opens a flow here if its client acknowledges this target."""
        if packet.acknowledged != _add(held.sequence, 1):
            del self._flows[key]
            return None
        held.opened = True
        held.sequence = _add(held.sequence, 1)
        self.opened[key] = self._record.now()
        return held

    def _continue(
        self, packet: packets.Packet, held: HeldFlow, key: FlowKey
    ) -> None:
        held.echo = packet.echo
        if packet.acknowledged == held.sequence:
            held.unacknowledged = None
        if packet.has(packets.RST):
            del self._flows[key]
        elif packet.has(packets.FIN):
            held.ended = True
            end = _add(packet.sequence, 1)
            flags = packets.FIN | packets.ACK
            self._send(packet, flags, held.sequence, held.echo, end)
        elif packet.data and held.ended:
            self._send(packet, packets.RST, held.sequence, held.echo)
        elif packet.data and packet.sequence == held.expected:
            held.expected = _add(packet.sequence, len(packet.data))
            self._start_task(self._run(packet, held))
        elif packet.data and held.unacknowledged is not None:
            self._repeat(held)

    async def _run(self, packet: packets.Packet, held: HeldFlow) -> None:
        """Runs a request and repeats its response until it is acknowledged."""
        request = json.loads(packet.data)
        has_run = self._in_progress < self.settings.slots + _QUEUE
        if has_run:
            self._in_progress += 1
            async with self._slots:
                self._record.write(f"{self.settings.id} runs {request['id']}")
                await asyncio.sleep(self.settings.work_s)
            self._in_progress -= 1
        response = {
            "id": request["id"],
            "target": self.settings.id,
            "run": has_run,
        }
        data = json.dumps(response).encode().ljust(_RESPONSE_OCTETS)
        flags = packets.ACK
        if self.state == "draining":
            flags |= packets.FIN
        held.unacknowledged = packets.Packet(
            source=packet.destination,
            destination=packet.source,
            flags=flags,
            sequence=held.sequence,
            acknowledged=held.expected,
            data=data,
        )
        held.sequence = _add(held.sequence, len(data))
        wait_s = _FIRST_REPEAT_S
        for _ in range(_MOST_REPEATS):
            self._repeat(held)
            await asyncio.sleep(wait_s)
            if held.unacknowledged is None:
                break
            wait_s = min(2 * wait_s, _LONGEST_REPEAT_S)

    def _repeat(self, held: HeldFlow) -> None:
        if held.unacknowledged is not None:
            self._send_later(
                dataclasses.replace(held.unacknowledged, echo=held.echo)
            )

    def _send(
        self,
        packet: packets.Packet,
        flags: int,
        sequence: int,
        echo: int,
        acknowledged: int = 0,
    ) -> None:
        """Answers a packet of a client."""
        self._send_later(
            packets.Packet(
                source=packet.destination,
                destination=packet.source,
                flags=flags,
                echo=echo,
                sequence=sequence,
                acknowledged=acknowledged,
            )
        )

    def _send_later(self, packet: packets.Packet) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(
            self._client_delay_s,
            self._send_now,
            packet.encode(),
            (packet.destination[0], self._client_port),
        )

    def _send_now(self, octets: bytes, address: tuple[str, int]) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(octets, address)

    def _start_task(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _add(sequence: int, count: int) -> int:
    return (sequence + count) % packets.SEQUENCE_MODULUS


def _drop_seq(entry: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in entry.items() if name != "Seq"}
