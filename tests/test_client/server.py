"""A small CoAP server with seeded faults, which the caller is tried on."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import random

import aiocoap
import trio

from persimmonhinge.coap import codec

Address = tuple[str, int]

TICKET = b"ticket-1"
_REORDER_S = 0.02


class Faults:
    """What happens to datagrams in both directions."""

    def __init__(
        self,
        loss: float = 0.0,
        duplicate: float = 0.0,
        reorder: float = 0.0,
    ) -> None:
        self.loss = loss
        self.duplicate = duplicate
        self.reorder = reorder


class Server:
    """Runs each request once for its token; POST needs a ticket.

    Attributes:
        runs: Bodies in the order in which they ran.
        seen: Every message that arrived.
        callers: Where each of them came from.
        separate: True to acknowledge first and to answer later.
        silent: True to answer nothing.
        dying: Requests that are acknowledged and then forgotten.
        lost_parts: Blocks of uploads that are still to be forgotten.
        script: Answers that are given first, one for each new token.
    """

    def __init__(
        self, socket: trio.socket.SocketType, faults: Faults, seed: int
    ) -> None:
        self.runs: list[bytes] = []
        self.seen: list[codec.Message] = []
        self.callers: list[Address] = []
        self.separate = False
        self.silent = False
        self.dying = 0
        self.lost_parts = 0
        self.script: list[codec.Message] = []
        self.large = b""
        self.etag = b"e1"
        self.max_age_s: int | None = None
        self._socket = socket
        self._faults = faults
        self._random = random.Random(seed)
        self._kept: dict[tuple[Address, bytes], codec.Message] = {}
        self._parts: dict[bytes, bytes] = {}
        self._observers: dict[bytes, Address] = {}
        self._sequence = 1
        self._message_id = 1000
        self.nursery: trio.Nursery

    @property
    def address(self) -> Address:
        """Where it listens."""
        address: Address = self._socket.getsockname()
        return address

    @property
    def observers(self) -> set[bytes]:
        """Tokens that are registered."""
        return set(self._observers)

    def forget_observers(self) -> None:
        """Loses track of all feeds without a word."""
        self._observers.clear()

    async def run(self) -> None:
        """Takes datagrams until cancelled."""
        while True:
            data, caller = await self._socket.recvfrom(4096)
            for _ in range(self._count_copies()):
                if self._random.random() < self._faults.reorder:
                    self.nursery.start_soon(self._take_late, data, caller)
                else:
                    await self._take(data, caller)

    async def notify(
        self,
        payload: bytes,
        *,
        sequence: int = 0,
        kind: aiocoap.Type = aiocoap.NON,
    ) -> None:
        """Sends a state to all observers."""
        self._sequence += 1
        for token, caller in tuple(self._observers.items()):
            message = codec.Message(code=aiocoap.CONTENT, payload=payload)
            message.opt.observe = sequence or self._sequence
            await self._send_new(message, token, caller, kind)

    async def send_raw(self, message: codec.Message, caller: Address) -> None:
        """Sends any message."""
        await self._socket.sendto(codec.encode(message), caller)

    async def _take_late(self, data: bytes, caller: Address) -> None:
        await trio.sleep(self._random.uniform(0, _REORDER_S))
        await self._take(data, caller)

    async def _take(self, data: bytes, caller: Address) -> None:
        message = codec.decode(data)
        self.seen.append(message)
        self.callers.append(caller)
        if message.code is aiocoap.EMPTY or self.silent:
            return
        if self.dying:
            self.dying -= 1
            await self._send_empty(aiocoap.ACK, message.mid, caller)
            return
        answer = self._answer(message, caller)
        if self.separate:
            await self._send_empty(aiocoap.ACK, message.mid, caller)
            await self._send_new(answer, message.token, caller, aiocoap.CON)
            return
        answer.mtype = aiocoap.ACK
        answer.mid = message.mid
        answer.token = message.token
        await self._send(codec.encode(answer), caller)

    def _answer(self, message: codec.Message, caller: Address) -> codec.Message:
        if message.opt.observe is not None:
            return self._observe(message, caller)
        if message.code is aiocoap.GET:
            return self._cut(self.large, message)
        if message.opt.echo != TICKET:
            return _make(aiocoap.UNAUTHORIZED, echo=TICKET)
        block = message.opt.block1
        if self.lost_parts and block is not None and block.block_number:
            self.lost_parts -= 1
            return _make(aiocoap.REQUEST_ENTITY_INCOMPLETE)
        if block is not None and block.more:
            self._store_part(message)
            answer = _make(aiocoap.CONTINUE)
            answer.opt.block1 = block
            return answer
        return self._run_once(message, caller)

    def _store_part(self, message: codec.Message) -> bytes:
        block = message.opt.block1
        former = self._parts.get(message.token, b"")[: block.start]
        self._parts[message.token] = former + message.payload
        return self._parts[message.token]

    def _run_once(
        self, message: codec.Message, caller: Address
    ) -> codec.Message:
        key = (caller, message.token)
        if key not in self._kept:
            self._kept[key] = self._run(message)
        kept = self._kept[key]
        if kept.code is aiocoap.CHANGED:
            return self._cut(kept.payload, message, aiocoap.CHANGED)
        return _make(kept.code, max_age=kept.opt.max_age, echo=kept.opt.echo)

    def _run(self, message: codec.Message) -> codec.Message:
        if self.script:
            return self.script.pop(0)
        body = message.payload
        if message.opt.block1 is not None:
            body = self._store_part(message)
        self.runs.append(body)
        return _make(aiocoap.CHANGED, payload=body)

    def _cut(
        self,
        body: bytes,
        message: codec.Message,
        code: aiocoap.Code = aiocoap.CONTENT,
    ) -> codec.Message:
        number = 0
        if message.opt.block2 is not None:
            number = message.opt.block2.block_number
        if len(body) <= 1024:
            return _make(code, payload=body)
        part = body[number * 1024 : (number + 1) * 1024]
        answer = _make(code, payload=part)
        answer.opt.block2 = (number, (number + 1) * 1024 < len(body), 6)
        answer.opt.etag = self.etag
        return answer

    def _observe(
        self, message: codec.Message, caller: Address
    ) -> codec.Message:
        if self.script:
            return self.script.pop(0)
        answer = _make(aiocoap.CONTENT, payload=b"state")
        if message.opt.observe == 1:
            self._observers.pop(message.token, None)
            return answer
        self._observers[message.token] = caller
        self._sequence += 1
        answer.opt.observe = self._sequence
        answer.opt.max_age = self.max_age_s
        return answer

    async def _send_empty(
        self, kind: aiocoap.Type, message_id: int, caller: Address
    ) -> None:
        message = codec.Message(code=aiocoap.EMPTY)
        message.mtype = kind
        message.mid = message_id
        await self._send(codec.encode(message), caller)

    async def _send_new(
        self,
        message: codec.Message,
        token: bytes,
        caller: Address,
        kind: aiocoap.Type,
    ) -> None:
        self._message_id += 1
        message.mtype = kind
        message.mid = self._message_id
        message.token = token
        await self._send(codec.encode(message), caller)

    async def _send(self, data: bytes, caller: Address) -> None:
        for _ in range(self._count_copies()):
            if self._random.random() < self._faults.reorder:
                self.nursery.start_soon(self._send_late, data, caller)
            else:
                await self._socket.sendto(data, caller)

    async def _send_late(self, data: bytes, caller: Address) -> None:
        await trio.sleep(self._random.uniform(0, _REORDER_S))
        await self._socket.sendto(data, caller)

    def _count_copies(self) -> int:
        if self._random.random() < self._faults.loss:
            return 0
        return 2 if self._random.random() < self._faults.duplicate else 1


def _make(
    code: aiocoap.Code,
    *,
    payload: bytes = b"",
    echo: bytes | None = None,
    max_age: int | None = None,
) -> codec.Message:
    message = codec.Message(code=code, payload=payload)
    message.opt.echo = echo
    message.opt.max_age = max_age
    return message


def make_answer(
    code: aiocoap.Code,
    *,
    max_age: int | None = None,
    echo: bytes | None = None,
) -> codec.Message:
    """Returns an answer for a script."""
    return _make(code, max_age=max_age, echo=echo)


@contextlib.asynccontextmanager
async def open_server(
    faults: Faults | None = None, seed: int = 1
) -> AsyncIterator[Server]:
    """Runs a server on a port of the kernel's choice."""
    with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as socket:
        await socket.bind(("127.0.0.1", 0))
        async with trio.open_nursery() as nursery:
            server = Server(socket, faults or Faults(), seed)
            server.nursery = nursery
            nursery.start_soon(server.run)
            yield server
            nursery.cancel_scope.cancel()
