"""The CoAP server of an upstream stand-in: messages, duplicates, blocks."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hashlib
import random
import time

import aiocoap
from aiocoap import optiontypes
import trio

from persimmonhinge import errors
from persimmonhinge.coap import codec

Source = tuple[str, int]
BlockOption = optiontypes.BlockOption.BlockwiseTuple

_EXCHANGE_LIFETIME_S = 247.0
_EXPONENT = 6
_BLOCK_OCTETS = 1024
_ACK_TIMEOUT_S = 2.0
_RETRANSMISSIONS = 4
_QUICK_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A whole request.

    Attributes:
        message: Code, options and whole body.
        source: Where it came from.
        path: Its path, with a leading slash.
    """

    message: codec.Message
    source: Source
    path: str


# None swallows the request.
Handler = Callable[[Request], Awaitable[codec.Message | None]]


@dataclasses.dataclass(slots=True)
class _Seen:
    at: float
    reply: bytes | None = None


class CoapServer:
    """Hands whole requests to a handler and sends its answers.

    A request that takes longer than a moment is acknowledged at once and
    answered by a message of its own, as RFC 7252 section 5.2.2 has it.
    """

    def __init__(self, handler: Handler, seed: int) -> None:
        self.on_reset: Callable[[Source, int], None] = lambda *_: None
        self._handler = handler
        self._socket = trio.socket.socket(
            trio.socket.AF_INET, trio.socket.SOCK_DGRAM
        )
        self._next_id = random.Random(seed).getrandbits(16)
        self._seen: dict[tuple[Source, int], _Seen] = {}
        self._uploads: dict[tuple[object, ...], bytearray] = {}
        self._answers: dict[tuple[object, ...], codec.Message] = {}
        self._running: dict[tuple[Source, int], trio.CancelScope] = {}
        self._acknowledged: dict[tuple[Source, int], trio.Event] = {}

    async def bind(self, address: str, port: int) -> Source:
        """Binds the socket and returns its address."""
        await self._socket.bind((address, port))
        name: Source = self._socket.getsockname()
        return name

    async def run(self) -> None:
        """Serves until it is cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    data, source = await self._socket.recvfrom(4096)
                    message = codec.decode(data)
                except (OSError, errors.MalformedDatagramError):
                    continue
                self._take_in(message, source, nursery)

    def next_message_id(self) -> int:
        """Returns the next message id."""
        self._next_id = (self._next_id + 1) % 65536
        return self._next_id

    def peek_message_id(self) -> int:
        """Returns the id that `next_message_id` will return."""
        return (self._next_id + 1) % 65536

    async def send(self, message: codec.Message, to: Source) -> None:
        """Sends a message; one without an id gets one."""
        if message.mid is None:
            message.mid = self.next_message_id()
        await self._send_data(codec.encode(message), to)

    async def send_confirmable(
        self, message: codec.Message, to: Source
    ) -> bool:
        """Sends a message until it is acknowledged or reset.

        Returns:
            False if neither came.
        """
        message.mtype = aiocoap.CON
        message.mid = self.next_message_id()
        event = trio.Event()
        self._acknowledged[(to, message.mid)] = event
        timeout_s = _ACK_TIMEOUT_S
        try:
            for _ in range(_RETRANSMISSIONS + 1):
                await self.send(message, to)
                with trio.move_on_after(timeout_s):
                    await event.wait()
                    return True
                timeout_s *= 2
        finally:
            del self._acknowledged[(to, message.mid)]
        return False

    def _take_in(
        self, message: codec.Message, source: Source, nursery: trio.Nursery
    ) -> None:
        if message.mtype in (aiocoap.ACK, aiocoap.RST):
            event = self._acknowledged.get((source, message.mid))
            if event is not None:
                event.set()
            if message.mtype is aiocoap.RST:
                self._take_reset(source, message.mid)
            return
        if not message.code.is_request():
            return
        seen = self._seen.get((source, message.mid))
        if seen is None:
            seen = self._remember(source, message.mid)
            nursery.start_soon(self._serve, message, source, seen)
        elif seen.reply is not None:
            nursery.start_soon(self._send_data, seen.reply, source)

    def _take_reset(self, source: Source, message_id: int) -> None:
        """Ends what was reset: a feed, or a request that runs."""
        scope = self._running.get((source, message_id))
        if scope is not None:
            scope.cancel()
        else:
            self.on_reset(source, message_id)

    def _remember(self, source: Source, message_id: int) -> _Seen:
        now = time.monotonic()
        while self._seen:
            oldest = next(iter(self._seen))
            if now - self._seen[oldest].at < _EXCHANGE_LIFETIME_S:
                break
            del self._seen[oldest]
        seen = _Seen(now)
        self._seen[(source, message_id)] = seen
        return seen

    async def _serve(
        self, message: codec.Message, source: Source, seen: _Seen
    ) -> None:
        answer: codec.Message | None = None
        done = trio.Event()

        async def work() -> None:
            nonlocal answer
            with trio.CancelScope() as scope:
                self._running[(source, message.mid)] = scope
                answer = await self._answer(message, source)
            del self._running[(source, message.mid)]
            if scope.cancelled_caught:
                answer = codec.Message(code=aiocoap.GATEWAY_TIMEOUT)
            done.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(work)
            with trio.move_on_after(_QUICK_S):
                await done.wait()
            if done.is_set():
                await self._reply(message, source, seen, answer)
                return
            await self._acknowledge(message, source, seen)
            await done.wait()
        if answer is not None:
            answer.token = message.token
            await self.send_confirmable(answer, source)

    async def _reply(
        self,
        message: codec.Message,
        source: Source,
        seen: _Seen,
        answer: codec.Message | None,
    ) -> None:
        if answer is None:
            return
        answer.token = message.token
        is_confirmable = message.mtype is aiocoap.CON
        answer.mtype = aiocoap.ACK if is_confirmable else aiocoap.NON
        answer.mid = message.mid if is_confirmable else None
        if answer.mid is None:
            answer.mid = self.next_message_id()
        seen.reply = codec.encode(answer)
        await self._send_data(seen.reply, source)

    async def _acknowledge(
        self, message: codec.Message, source: Source, seen: _Seen
    ) -> None:
        if message.mtype is not aiocoap.CON:
            return
        empty = codec.Message(code=aiocoap.EMPTY)
        empty.mtype = aiocoap.ACK
        empty.mid = message.mid
        seen.reply = codec.encode(empty)
        await self._send_data(seen.reply, source)

    async def _answer(
        self, message: codec.Message, source: Source
    ) -> codec.Message | None:
        path = "/" + "/".join(message.opt.uri_path)
        key = (source, message.code, path, message.opt.uri_query)
        block2 = message.opt.block2
        if block2 is not None and block2.block_number > 0:
            whole = self._answers.get(key)
            if whole is None:
                return codec.Message(code=aiocoap.REQUEST_ENTITY_INCOMPLETE)
            return _cut(whole, block2.block_number)
        if message.opt.block1 is not None:
            upload_key = (*key, message.opt.request_tag)
            partial = self._take_block(message, upload_key)
            if partial is not None:
                return partial
            message.payload = bytes(self._uploads.pop(upload_key))
        answer = await self._handler(Request(message, source, path))
        if answer is not None and len(answer.payload) > _BLOCK_OCTETS:
            answer.opt.etag = hashlib.sha256(answer.payload).digest()[:8]
            self._answers[key] = answer
            return _cut(answer, 0)
        return answer

    def _take_block(
        self, message: codec.Message, key: tuple[object, ...]
    ) -> codec.Message | None:
        """Takes in a block; returns None once the body is whole."""
        block1 = message.opt.block1
        if block1.block_number == 0:
            self._uploads[key] = bytearray()
        body = self._uploads.get(key)
        if body is None or len(body) != block1.start:
            return codec.Message(code=aiocoap.REQUEST_ENTITY_INCOMPLETE)
        body += message.payload
        if not block1.more:
            return None
        answer = codec.Message(code=aiocoap.CONTINUE)
        answer.opt.block1 = block1
        return answer

    async def _send_data(self, data: bytes, to: Source) -> None:
        try:
            await self._socket.sendto(data, to)
        except OSError:
            # An ICMP error about an earlier datagram, or a full buffer.
            return


def _cut(whole: codec.Message, number: int) -> codec.Message:
    offset = number * _BLOCK_OCTETS
    payload = whole.payload[offset : offset + _BLOCK_OCTETS]
    more = offset + _BLOCK_OCTETS < len(whole.payload)
    answer = whole.copy(payload=payload)
    answer.opt.block2 = BlockOption(number, more, _EXPONENT)
    return answer
