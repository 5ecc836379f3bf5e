"""Tests of one flow of a caller, against an upstream by hand."""

from __future__ import annotations

import random
import socket

import msgspec
import trio

from persimmonhinge.forwarding import flow as flows
from persimmonhinge.load.flows import book as books
from persimmonhinge.load.flows import caller_socket as sockets
from persimmonhinge.load.flows import fabric as fabrics
from persimmonhinge.load.flows import messages
from persimmonhinge.load.flows import records
from persimmonhinge.load.flows import segment as segments
from persimmonhinge.load.flows import user as users
from persimmonhinge.platform import segments as formats
from persimmonhinge.settings import flow_load
from tests.standins import ports
from tests.support import trios

_CALLER = "127.0.0.9"
_UPSTREAM = "127.0.0.10"


class RefusingUpstream:
    """Refuses the first try of a request, and says so once more later.

    Attributes:
        ran: How often the request ran.
    """

    def __init__(self, port: int) -> None:
        self.ran = 0
        self._refusal: segments.Segment | None = None
        self._port = port
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.bind((_UPSTREAM, port))
        self._socket = trio.socket.from_stdlib_socket(bound)

    async def run(self) -> None:
        """Answers until cancelled."""
        with self._socket:
            while True:
                octets = await self._socket.recv(2048)
                await self._take(formats.decode(octets, to_caller=False))

    async def _take(self, segment: segments.Segment) -> None:
        if segment.opens:
            await self._send(self._make(segment, opens=True))
        elif segment.data:
            await self._take_request(segment)

    async def _take_request(self, segment: segments.Segment) -> None:
        request = msgspec.msgpack.decode(
            segment.data, type=messages.FlowRequest
        )
        has_run = self._refusal is not None
        answer = messages.FlowAnswer(request.key, "u", has_run, request.attempt)
        data = msgspec.msgpack.encode(answer)
        made = self._make(segment, data=data)
        if self._refusal is None:
            self._refusal = made
        else:
            self.ran += 1
            await self._send(self._refusal)
        await self._send(made)

    def _make(
        self,
        segment: segments.Segment,
        *,
        opens: bool = False,
        data: bytes = b"",
    ) -> segments.Segment:
        return segments.Segment(
            flow=segment.flow,
            to_caller=True,
            opens=opens,
            acknowledges=True,
            sequence=1,
            data=data,
        )

    async def _send(self, segment: segments.Segment) -> None:
        address = (_CALLER, self._port)
        await self._socket.sendto(formats.encode(segment), address)


@trios.trio_test
async def test_late_copy_of_a_refusal_is_not_taken_for_the_next_one() -> None:
    """A lot is booked twice by a caller that believes an old refusal.

    An upstream is full and refuses; the caller tries again in the same flow;
    a copy of the refusal arrives late, while the second try runs. Cause: the
    answer names the key, which both tries share, and not the try.
    """
    port = ports.find_udp_port([_CALLER, _UPSTREAM])
    upstream = RefusingUpstream(port)
    entrance = fabrics.Entrance(flows.Endpoint(_UPSTREAM, port), "")
    entrance.misses = 0
    book = books.FlowBook()
    callers = sockets.CallerSocket(_CALLER, port)
    kind = flow_load.FlowKind.model_validate(
        {
            "kind": "reserve",
            "service": "floor",
            "address": "198.18.0.1:443",
            "rate": 1,
            "repeatable": False,
            "limit_s": 20,
        }
    )
    user = users.FlowUser(
        "reserve/0",
        kind,
        callers,
        fabrics.Fabric([entrance]),
        book,
        random.Random(1),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(upstream.run)
        nursery.start_soon(callers.run)
        await user.run(trio.Event())
        nursery.cancel_scope.cancel()
    (request,) = book.requests
    assert request.outcome is records.Outcome.ANSWERED
    assert request.tries == 2
    assert upstream.ran == 1
