"""One flow of a caller."""

from __future__ import annotations

import time

import msgspec
import trio

from persimmonhinge.forwarding import flow as flows
from persimmonhinge.load.flows import book as books
from persimmonhinge.load.flows import caller_socket as sockets
from persimmonhinge.load.flows import fabric as fabrics
from persimmonhinge.load.flows import messages
from persimmonhinge.load.flows import records
from persimmonhinge.load.flows import segment as segments

# As the users' callers: copies of the opening packet, and when they give up.
_COPIES_S = (0.0, 0.2, 0.6)
_OPENING_LIMIT_S = 1.4
# The first retransmission of data, and the longest wait between two.
_FIRST_REPEAT_S = 0.2
_LONGEST_REPEAT_S = 1.6


class CallerFlow:
    """A flow from its opening to its end; one request at a time.

    Attributes:
        id: The flow.
        is_open: True from the answer to its opening packet to its end.
    """

    def __init__(
        self,
        socket: sockets.CallerSocket,
        fabric: fabrics.Fabric,
        book: books.FlowBook,
        service: flows.Endpoint,
    ) -> None:
        self._socket = socket
        self._fabric = fabric
        self._book = book
        self.id, self._inbox = socket.open_port(service)
        self.is_open = False
        self._asked: set[str] = set()
        self._token = 0
        self._sequence = 0
        self._acknowledged = 0

    async def open(self) -> bool:
        """Opens the flow; False if nothing accepts it in time."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_openings)
            with trio.move_on_after(_OPENING_LIMIT_S):
                await self._wait_accepted()
            nursery.cancel_scope.cancel()
        if self.is_open:
            await self._send(acknowledges=True)
        return self.is_open

    async def request(
        self, request: messages.FlowRequest, limit_s: float
    ) -> tuple[records.Outcome, str]:
        """Sends a request and waits for its answer.

        Returns:
            How it ended, and the id of the upstream that answered.
        """
        outcome, upstream = records.Outcome.LOST, ""
        data = msgspec.msgpack.encode(request)
        self._asked.add(request.key)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repeat, data)
            with trio.move_on_after(limit_s):
                outcome, upstream = await self._wait_answer(request)
            nursery.cancel_scope.cancel()
        self._sequence += len(data)
        return outcome, upstream

    async def close(self) -> None:
        """Says that nothing more comes, and forgets the flow."""
        if self.is_open:
            await self._send(acknowledges=True, ends=True)
        self.is_open = False
        self._socket.close_port(self.id)

    async def _send_openings(self) -> None:
        begun_at = trio.current_time()
        for copy, after_s in enumerate(_COPIES_S):
            await trio.sleep_until(begun_at + after_s)
            await self._send(opens=True, acknowledged=copy)

    async def _repeat(self, data: bytes) -> None:
        wait_s = _FIRST_REPEAT_S
        while True:
            await self._send(acknowledges=True, data=data)
            await trio.sleep(wait_s)
            wait_s = min(2 * wait_s, _LONGEST_REPEAT_S)

    async def _wait_accepted(self) -> None:
        while True:
            segment = await self._inbox.receive()
            if segment.aborts:
                self._take_reset(segment)
                return
            if segment.opens:
                self.is_open = True
                self._token = segment.token
                self._acknowledged = segment.sequence
                self._book.opened[self.id] = segment.sequence
                return

    async def _wait_answer(
        self, request: messages.FlowRequest
    ) -> tuple[records.Outcome, str]:
        while True:
            segment = await self._inbox.receive()
            if segment.opens:
                # A second upstream, or a copy: the flow is another's.
                continue
            if segment.aborts:
                self._take_reset(segment)
                return records.Outcome.BROKEN, ""
            self._token = segment.token
            if segment.ends:
                self.is_open = False
            answer = self._read_answer(segment.data) if segment.data else None
            if answer is None:
                continue
            if (answer.key, answer.attempt) == (request.key, request.attempt):
                return _judge(answer), answer.upstream
            if answer.key not in self._asked:
                self._book.crossed.append(answer.key)

    def _read_answer(self, data: bytes) -> messages.FlowAnswer | None:
        try:
            return msgspec.msgpack.decode(data, type=messages.FlowAnswer)
        except msgspec.MsgspecError:
            self._book.strange.append(data)
            return None

    def _take_reset(self, segment: segments.Segment) -> None:
        if segment.by_host:
            reset = records.HostReset(self.id, self.is_open, time.monotonic())
            self._book.resets.append(reset)
        self.is_open = False

    async def _send(
        self,
        *,
        opens: bool = False,
        acknowledges: bool = False,
        ends: bool = False,
        acknowledged: int | None = None,
        data: bytes = b"",
    ) -> None:
        if acknowledged is None:
            acknowledged = self._acknowledged
        segment = segments.Segment(
            flow=self.id,
            to_caller=False,
            opens=opens,
            acknowledges=acknowledges,
            ends=ends,
            token=self._token,
            sequence=self._sequence,
            acknowledged=acknowledged,
            data=data,
        )
        await self._socket.send(segment, self._fabric.pick(self.id))


def _judge(answer: messages.FlowAnswer) -> records.Outcome:
    if answer.has_run:
        return records.Outcome.ANSWERED
    return records.Outcome.NOT_RUN
