"""An upstream of packet flows, with slots, a queue and ways to fail."""

from __future__ import annotations

import collections
import dataclasses
import enum
import random
import socket
import time

import msgspec
import trio

from persimmonhinge import errors
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.load.flows import messages
from persimmonhinge.load.flows import segment as segments
from persimmonhinge.platform import segments as formats

_MOST_OCTETS = 2048
_ANY_UPSTREAM = 0


class UpstreamState(enum.Enum):
    """What an upstream does with packets.

    LIVE: It takes flows and runs requests.
    DRAINING: It closes each flow with its next answer.
    DARK: It does nothing, as a machine without power.
    """

    LIVE = "live"
    DRAINING = "draining"
    DARK = "dark"


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A packet that an upstream took.

    Attributes:
        upstream: Id of the upstream.
        host: IP address of the host that sent it.
        segment: The packet.
        at: When, seconds of the monotonic clock.
        known: True if the upstream holds its flow.
    """

    upstream: str
    host: str
    segment: segments.Segment
    at: float
    known: bool


@dataclasses.dataclass(slots=True)
class HeldFlow:
    """A flow at its upstream.

    Attributes:
        sequence: Where the upstream's stream begins.
        opened: True once the caller has accepted it.
        answers: Answers by the position of their request; None while it runs.
    """

    sequence: int
    opened: bool = False
    answers: dict[int, bytes | None] = dataclasses.field(default_factory=dict)


class FlowUpstream:
    """Runs requests of flows; tells all that it saw.

    Attributes:
        name: The name under which it enters itself.
        id: Its id; a new one for each start.
        started_at_ms: When it started, milliseconds since 1970.
        number: Number in its datagrams.
        state: What it does with packets.
        arrivals: Opening packets, and packets of flows that it does not hold.
        runs: How often each key ran.
        began: Flows by the sequence that it began with.
    """

    def __init__(
        self,
        number: int,
        service: str,
        address: tuple[str, int],
        packet_port: int,
        slots: int = 2,
        queue: int = 8,
        work_s: float = 0.01,
        cold_s: float = 0.0,
        start: int = 0,
    ) -> None:
        """Makes an upstream; `run` binds its socket.

        Args:
            number: Its number.
            service: The service that it runs.
            address: Where it takes datagrams; port 0 for one of the kernel's.
            packet_port: Port of packets to callers.
            slots: Requests that it runs at a time.
            queue: Requests that wait; further ones are refused.
            work_s: Time that a request takes, seconds.
            cold_s: Time after its start in which work takes twice as long.
            start: Number of its start, among those with its number; 0 for the
                first.
        """
        self.number = number
        self.name = f"i-{number:010x}"
        self.id = f"{self.name}@{start}" if start else self.name
        self.started_at_ms = time.time_ns() // 1_000_000
        self.service = service
        self.state = UpstreamState.LIVE
        self.arrivals: list[Arrival] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.began: dict[flows.FlowId, int] = {}
        self.address = address
        self._packet_port = packet_port
        self._slots = trio.Semaphore(slots)
        self._room = slots + queue
        self._work_s = work_s
        self._warm_at = time.monotonic() + cold_s
        self._flows: dict[flows.FlowId, HeldFlow] = {}
        self._in_progress = 0
        self._random = random.Random(f"{number}@{start}")
        self._socket = trio.socket.from_stdlib_socket(
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        )

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Takes packets until cancelled."""
        with self._socket:
            await self._socket.bind(self.address)
            self.address = self._socket.getsockname()
            task_status.started()
            async with trio.open_nursery() as nursery:
                while True:
                    octets, (host, _) = await self._socket.recvfrom(
                        _MOST_OCTETS
                    )
                    await self._take(octets, host, nursery)

    def crash(self) -> None:
        """Forgets its flows and goes dark."""
        self.state = UpstreamState.DARK
        self._flows.clear()

    async def _take(
        self, octets: bytes, host: str, nursery: trio.Nursery
    ) -> None:
        try:
            number, segment = formats.decode_at_upstream(octets)
        except errors.MalformedPacketError:
            return
        if self.state is UpstreamState.DARK:
            return
        if number not in (_ANY_UPSTREAM, self.number):
            return
        held = self._flows.get(segment.flow)
        if segment.opens or held is None:
            self._note(segment, host, known=held is not None)
        if segment.opens:
            await self._accept(segment)
        elif held is None:
            if not segment.aborts:
                await self._answer(segment, aborts=True)
        else:
            await self._continue(segment, held, nursery)

    def _note(
        self, segment: segments.Segment, host: str, *, known: bool
    ) -> None:
        self.arrivals.append(
            Arrival(self.id, host, segment, time.monotonic(), known)
        )

    async def _accept(self, segment: segments.Segment) -> None:
        held = self._flows.get(segment.flow)
        if held is None:
            held = HeldFlow(self._random.randrange(1, 1 << 32))
            self._flows[segment.flow] = held
            self.began[segment.flow] = held.sequence
        await self._answer(segment, opens=True, sequence=held.sequence)

    async def _continue(
        self, segment: segments.Segment, held: HeldFlow, nursery: trio.Nursery
    ) -> None:
        if not held.opened and segment.acknowledged != held.sequence:
            # Another upstream accepted the flow, and the caller chose it.
            del self._flows[segment.flow]
            return
        held.opened = True
        if segment.data:
            await self._take_request(segment, held, nursery)
        if segment.ends or segment.aborts:
            self._flows.pop(segment.flow, None)

    async def _take_request(
        self, segment: segments.Segment, held: HeldFlow, nursery: trio.Nursery
    ) -> None:
        if segment.sequence in held.answers:
            answer = held.answers[segment.sequence]
            if answer is not None:
                await self._answer(segment, data=answer)
            return
        request = msgspec.msgpack.decode(
            segment.data, type=messages.FlowRequest
        )
        if self._in_progress >= self._room:
            await self._reply(segment, held, request, has_run=False)
            return
        held.answers[segment.sequence] = None
        nursery.start_soon(self._work, segment, held, request)

    async def _work(
        self,
        segment: segments.Segment,
        held: HeldFlow,
        request: messages.FlowRequest,
    ) -> None:
        self._in_progress += 1
        async with self._slots:
            if self.state is not UpstreamState.DARK:
                self.runs[request.key] += 1
            is_cold = time.monotonic() < self._warm_at
            await trio.sleep(self._work_s * (2 if is_cold else 1))
        self._in_progress -= 1
        if self.state is not UpstreamState.DARK:
            await self._reply(segment, held, request, has_run=True)

    async def _reply(
        self,
        segment: segments.Segment,
        held: HeldFlow,
        request: messages.FlowRequest,
        *,
        has_run: bool,
    ) -> None:
        answer = messages.FlowAnswer(
            request.key, self.id, has_run, request.attempt
        )
        held.answers[segment.sequence] = msgspec.msgpack.encode(answer)
        ends = self.state is UpstreamState.DRAINING
        await self._answer(
            segment, data=held.answers[segment.sequence] or b"", ends=ends
        )

    async def _answer(
        self,
        segment: segments.Segment,
        *,
        opens: bool = False,
        ends: bool = False,
        aborts: bool = False,
        sequence: int = 0,
        data: bytes = b"",
    ) -> None:
        answer = segments.Segment(
            flow=segment.flow,
            to_caller=True,
            opens=opens,
            acknowledges=True,
            ends=ends,
            aborts=aborts,
            token=segment.token,
            sequence=sequence,
            acknowledged=segment.sequence + len(segment.data),
            data=data,
        )
        caller = flows.format_address(segment.flow.caller)
        octets = formats.encode(answer)
        try:
            await self._socket.sendto(octets, (caller, self._packet_port))
        except ConnectionRefusedError:
            # An earlier datagram met a closed port: it is lost.
            pass
