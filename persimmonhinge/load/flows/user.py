"""A user who sends some requests, one after the other."""

from __future__ import annotations

import random
import time

import trio

from persimmonhinge.forwarding import flow as flows
from persimmonhinge.load.flows import book as books
from persimmonhinge.load.flows import caller_flow
from persimmonhinge.load.flows import caller_socket as sockets
from persimmonhinge.load.flows import fabric as fabrics
from persimmonhinge.load.flows import messages
from persimmonhinge.load.flows import records
from persimmonhinge.settings import flow_load

# Ends after which the same request can't have run.
_SAFE_TO_REPEAT = (records.Outcome.UNOPENED, records.Outcome.NOT_RUN)
# Mean time before a further try, seconds.
_RETRY_S = 0.05


class FlowUser:
    """Sends requests in one flow, and in a new one where that ended."""

    def __init__(
        self,
        name: str,
        kind: flow_load.FlowKind,
        socket: sockets.CallerSocket,
        fabric: fabrics.Fabric,
        book: books.FlowBook,
        source: random.Random,
    ) -> None:
        """Makes a user.

        Args:
            name: Name that begins the keys of its requests.
            kind: What it does.
            socket: The callers' socket.
            fabric: Chooses the host of each packet.
            book: Where it writes what it saw.
            source: Seeded source of its pauses.
        """
        self._name = name
        self._kind = kind
        self._socket = socket
        self._fabric = fabric
        self._book = book
        self._random = source
        self._flow: caller_flow.CallerFlow | None = None

    async def run(self, stop: trio.Event) -> None:
        """Sends all requests, fewer if it is told to stop, but the first."""
        for number in range(self._kind.requests):
            if number:
                await self._pause(self._kind.pause_s)
                if stop.is_set():
                    break
            await self._send(f"{self._name}/{number}")
        await self._close()

    async def _send(self, key: str) -> None:
        kind = self._kind
        record = records.RequestRecord(kind.kind, key, time.monotonic())
        self._book.requests.append(record)
        give_up_at = trio.current_time() + kind.limit_s
        while True:
            record.tries += 1
            left_s = give_up_at - trio.current_time()
            record.outcome, record.upstream = await self._try(
                messages.FlowRequest(key, kind.service, record.tries), left_s
            )
            if not self._tries_again(record, give_up_at):
                break
            await self._pause(_RETRY_S)
        record.ended_at = time.monotonic()

    def _tries_again(
        self, record: records.RequestRecord, give_up_at: float
    ) -> bool:
        if record.outcome is records.Outcome.ANSWERED:
            return False
        if record.tries > self._kind.retries:
            return False
        if trio.current_time() >= give_up_at:
            return False
        return self._kind.repeatable or record.outcome in _SAFE_TO_REPEAT

    async def _try(
        self, request: messages.FlowRequest, limit_s: float
    ) -> tuple[records.Outcome, str]:
        flow = self._flow
        if flow is None or not flow.is_open:
            await self._close()
            address = self._kind.address
            service = flows.Endpoint(address.host, address.port)
            flow = caller_flow.CallerFlow(
                self._socket, self._fabric, self._book, service
            )
            self._flow = flow
            if not await flow.open():
                return records.Outcome.UNOPENED, ""
        outcome, upstream = await flow.request(request, max(limit_s, 0))
        if outcome is records.Outcome.LOST:
            await self._close()
        return outcome, upstream

    async def _close(self) -> None:
        if self._flow is not None:
            await self._flow.close()
        self._flow = None

    async def _pause(self, mean_s: float) -> None:
        if mean_s > 0:
            await trio.sleep(self._random.expovariate(1 / mean_s))
