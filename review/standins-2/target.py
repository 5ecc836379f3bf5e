"""A stand-in for a target, as a process of its own.

It takes flows at its address, runs the requests in them, and checks in at the
store, as PROTOCOL says. Each line of its output tells one thing that it saw.

A request is HTTP/1.1 with the header `Request-Id`; `Work-Ms` says how long it
occupies a slot.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import http.client
import json
import random
import signal
import threading
import time
from typing import Any

import wire

_SECOND_MS = 1000
_RETRY_MS = 200
_CALL_LIMIT_S = 0.5
_OUTPUT_LOCK = threading.Lock()


@dataclasses.dataclass
class Flow:
    """A flow that the target holds.

    Attributes:
        begin: Own sequence number of the SYN+ACK.
        expected: Next sequence number of the client.
        sent: Next own sequence number.
        opened: True once the handshake has ended.
        echo: Last echo that came.
        answers: Answers by the sequence number after their request.
        ended: True once an own FIN was sent.
    """

    begin: int
    expected: int
    sent: int
    opened: bool = False
    echo: int = 0
    answers: dict[int, wire.Packet] = dataclasses.field(default_factory=dict)
    ended: bool = False


Key = tuple[int, int, int, int]


class Target(asyncio.DatagramProtocol):
    """Holds flows and runs their requests."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._id = arguments.id
        self._number = int(
            "".join(c for c in arguments.id if c in "0123456789abcdef"), 16
        )
        self._client_port = arguments.client_port
        self._slots = asyncio.Semaphore(arguments.slots)
        self._flows: dict[Key, Flow] = {}
        self.draining = False
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Keeps the socket."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Takes no notice of a closed port of a client."""

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes a datagram of a host."""
        (number,) = wire.NUMBER.unpack_from(data)
        if number not in (0, self._number):
            return
        packet = wire.decode(data[wire.NUMBER.size :])
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self._flows.get(key)
        if packet.flags & wire.SYN:
            self._take_opening(packet, key, flow, addr[0])
        elif flow is None:
            if not packet.flags & wire.RST:
                note("unknown flow, RST", flow=name(key), host=addr[0])
                self._reply(packet, packet.echo, wire.RST, packet.ack, 0)
        else:
            self._take_packet(packet, key, flow, addr[0])

    def _take_opening(
        self, packet: wire.Packet, key: Key, flow: Flow | None, host: str
    ) -> None:
        after = (packet.seq + 1) % wire.MODULUS
        if flow is None or (flow.opened and flow.expected != after):
            begin = random.randrange(wire.MODULUS)
            flow = Flow(begin, after, (begin + 1) % wire.MODULUS)
            self._flows[key] = flow
            note(
                "SYN taken",
                flow=name(key),
                host=host,
                copy=packet.ack,
                draining=self.draining,
            )
        flow.echo = packet.echo
        self._reply(
            packet, flow.echo, wire.SYN | wire.ACK, flow.begin, flow.expected
        )

    def _take_packet(
        self, packet: wire.Packet, key: Key, flow: Flow, host: str
    ) -> None:
        if packet.flags & wire.RST:
            del self._flows[key]
            note("RST came", flow=name(key), host=host)
            return
        flow.echo = packet.echo
        if not flow.opened:
            if packet.ack != (flow.begin + 1) % wire.MODULUS:
                del self._flows[key]
                return
            flow.opened = True
            note("flow open", flow=name(key), host=host)
        after = (packet.seq + len(packet.data)) % wire.MODULUS
        if packet.data and packet.seq == flow.expected:
            flow.expected = after
            asyncio.ensure_future(self._run(packet, key, flow, after))
        elif packet.data and after in flow.answers:
            self._transport_send(flow.answers[after])
        if packet.flags & wire.FIN and after == flow.expected:
            note("FIN came", flow=name(key), host=host)
            del self._flows[key]
            flags = wire.ACK if flow.ended else wire.ACK | wire.FIN
            self._reply(
                packet,
                flow.echo,
                flags,
                flow.sent,
                (after + 1) % wire.MODULUS,
            )

    async def _run(
        self, packet: wire.Packet, key: Key, flow: Flow, after: int
    ) -> None:
        headers = dict(
            line.split(": ", 1)
            for line in packet.data.decode().split("\r\n")[1:]
            if ": " in line
        )
        request = headers["Request-Id"]
        async with self._slots:
            note("runs", request=request, flow=name(key))
            await asyncio.sleep(int(headers["Work-Ms"]) / _SECOND_MS)
        body = f"done {request} by {self._id}\n"
        text = (
            "HTTP/1.1 200 OK\r\n"
            f"Instance-Id: {self._id}\r\n"
            f"Response-Seal: {self._id}-{request}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        )
        if self._flows.get(key) is not flow:
            note("ran, but the flow has ended", request=request)
            return
        flags = wire.ACK
        if self.draining:
            flags |= wire.FIN
            flow.ended = True
        answer = wire.Packet(
            packet.dst,
            packet.dport,
            packet.src,
            packet.sport,
            flags,
            flow.sent,
            after,
            flow.echo,
            text.encode(),
        )
        flow.sent = (flow.sent + len(answer.data)) % wire.MODULUS
        flow.answers[after] = answer
        note("answers", request=request, closes=self.draining)
        self._transport_send(answer)

    def _reply(
        self, packet: wire.Packet, echo: int, flags: int, seq: int, ack: int
    ) -> None:
        self._transport_send(
            wire.Packet(
                packet.dst,
                packet.dport,
                packet.src,
                packet.sport,
                flags,
                seq,
                ack,
                echo,
            )
        )

    def _transport_send(self, packet: wire.Packet) -> None:
        address = (wire.text_of(packet.dst), self._client_port)
        self._transport.sendto(packet.encode(), address)


def name(key: Key) -> str:
    """Returns the client's end of a flow as text."""
    return f"{wire.text_of(key[0])}:{key[1]}"


def note(event: str, **fields: object) -> None:
    """Writes a line."""
    document = {"at": time.monotonic(), "event": event, **fields}
    with _OUTPUT_LOCK:
        print(json.dumps(document), flush=True)


class CheckIn:
    """Checks in at the store: at the start, then at each interval."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._sequence = 0
        self._warm_at = time.monotonic() + arguments.cold_ms / _SECOND_MS
        self.draining = False
        self._now = threading.Event()

    def run(self) -> None:
        """Checks in until the process ends."""
        time.sleep(self._arguments.first_check_in_ms / _SECOND_MS)
        while True:
            was_taken = self._send(self._make_entry())
            wait_ms = self._arguments.beat_ms if was_taken else _RETRY_MS
            self._now.wait(wait_ms / _SECOND_MS)
            self._now.clear()

    def drain(self) -> None:
        """Says at once that the target drains."""
        self.draining = True
        self._now.set()

    def leave(self) -> None:
        """Takes the entry away."""
        self._send(None)

    def _make_entry(self) -> dict[str, Any]:
        arguments = self._arguments
        self._sequence += 1
        entry = {
            "Service": arguments.service,
            "Addr": arguments.address,
            "Zone": arguments.zone,
            "Version": "v1",
            "Slots": arguments.slots,
            "State": "draining" if self.draining else "ready",
            "ColdLeftMs": 0,
            "Seq": self._sequence,
        }
        if arguments.born:
            entry["born"] = arguments.born
        return entry

    def _send(self, entry: dict[str, Any] | None) -> bool:
        """Checks in, or leaves; returns whether the store took it."""
        try:
            connection = http.client.HTTPConnection(
                self._arguments.store, timeout=_CALL_LIMIT_S
            )
            connection.request(
                "POST", f"/check-in/{self._arguments.id}", json.dumps(entry)
            )
            document = json.loads(connection.getresponse().read())
            connection.close()
            note(
                "checked in",
                state=entry and entry["State"],
                revision=document["Revision"],
            )
        except (OSError, ValueError, http.client.HTTPException) as error:
            note("check-in failed", error=str(error))
            return False
        return True


async def serve(arguments: argparse.Namespace) -> None:
    """Serves until SIGTERM, by which the target drains and leaves."""
    loop = asyncio.get_running_loop()
    address, _, port = arguments.address.rpartition(":")
    _, target = await loop.create_datagram_endpoint(
        lambda: Target(arguments), local_addr=(address, int(port))
    )
    check_in = CheckIn(arguments)
    threading.Thread(target=check_in.run, daemon=True).start()
    note("listens", born=arguments.born)
    leaving = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, leaving.set)
    await leaving.wait()
    target.draining = True
    check_in.drain()
    note("drains")
    await asyncio.sleep(arguments.stay_ms / _SECOND_MS)
    await loop.run_in_executor(None, check_in.leave)
    note("ends")


def main() -> None:
    """Reads the command line and serves."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--client-port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--beat-ms", type=int, default=770)
    parser.add_argument("--first-check-in-ms", type=int, default=0)
    parser.add_argument("--cold-ms", type=int, default=0)
    parser.add_argument("--stay-ms", type=int, default=8000)
    parser.add_argument("--born", type=int, default=0)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
