"""A fake upstream in memory that a test controls."""

from __future__ import annotations

from collections.abc import Callable
import math

import aiocoap
import trio

from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract
from persimmonhinge.upstreams import upstream_socket

RequestHandler = Callable[["FakeSocket", codec.Message], None]


class FakeSocket:
    """A socket of the keeper that passes datagrams to the upstream at once."""

    def __init__(
        self, upstream: FakeUpstream, address: contract.Address
    ) -> None:
        self.address = address
        self._upstream = upstream
        self._send, self._receive = trio.open_memory_channel[
            upstream_socket.SocketEvent
        ](math.inf)

    def send(self, data: bytes) -> None:
        """Passes a datagram to the upstream."""
        self._upstream.handle_message(self, codec.decode(data))

    async def receive(self) -> list[upstream_socket.SocketEvent]:
        """Returns the next datagram of the upstream."""
        try:
            return [await self._receive.receive()]
        except trio.EndOfChannel:
            raise trio.ClosedResourceError from None

    def close(self) -> None:
        """Closes the socket."""
        self._send.close()

    def deliver(self, message: codec.Message) -> None:
        """Delivers a message of the upstream to the keeper."""
        self._send.send_nowait(
            upstream_socket.SocketEvent(codec.encode(message))
        )

    def deliver_data(self, data: bytes, *, refused: bool = False) -> None:
        """Delivers any octets to the keeper."""
        self._send.send_nowait(upstream_socket.SocketEvent(data, refused))

    def refuse(self, message: codec.Message) -> None:
        """Delivers an ICMP error about a datagram of the keeper."""
        data = codec.encode(message)
        self._send.send_nowait(upstream_socket.SocketEvent(data, refused=True))


class FakeUpstream:
    """Records messages of the keeper and answers them with a function.

    Attributes:
        received: All received messages, including retransmissions.
        sockets: All sockets that the keeper has opened.
        handle_request: Called with each request.
    """

    def __init__(self, handle_request: RequestHandler | None = None) -> None:
        self.received: list[codec.Message] = []
        self.sockets: list[FakeSocket] = []
        self.handle_request: RequestHandler = handle_request or reply
        self._next_id = 0

    def open(self, address: contract.Address) -> FakeSocket:
        """Opens a socket of the keeper."""
        socket = FakeSocket(self, address)
        self.sockets.append(socket)
        return socket

    def handle_message(
        self, socket: FakeSocket, message: codec.Message
    ) -> None:
        """Records a message of the keeper and answers a request."""
        self.received.append(message)
        if message.code.is_request():
            self.handle_request(socket, message)

    def requests(self) -> list[codec.Message]:
        """Returns the requests without retransmissions."""
        by_id = {m.mid: m for m in self.received if m.code.is_request()}
        return list(by_id.values())

    def replies(self, message_type: aiocoap.Type) -> list[codec.Message]:
        """Returns the acknowledgements or resets of the keeper."""
        return [m for m in self.received if m.mtype is message_type]

    def notify(
        self,
        registration: codec.Message,
        number: int | None,
        payload: bytes,
        message_type: aiocoap.Type = aiocoap.NON,
        **options: object,
    ) -> None:
        """Sends a notification with the token of a registration."""
        message = codec.Message(code=aiocoap.CONTENT, payload=payload)
        message.opt.observe = number
        for name, value in options.items():
            setattr(message.opt, name, value)
        message.mtype = message_type
        self._next_id += 1
        message.mid = self._next_id
        message.token = registration.token
        self.sockets[-1].deliver(message)


def reply(
    socket: FakeSocket,
    request: codec.Message,
    code: aiocoap.Code = aiocoap.CONTENT,
    payload: bytes = b"",
    **options: object,
) -> None:
    """Answers a request with a piggybacked response."""
    answer = codec.Message(code=code, payload=payload)
    for name, value in options.items():
        setattr(answer.opt, name, value)
    answer.mtype = aiocoap.ACK
    answer.mid = request.mid
    answer.token = request.token
    socket.deliver(answer)


def send_empty(
    socket: FakeSocket, message_type: aiocoap.Type, message_id: int
) -> None:
    """Sends an empty acknowledgement or a reset."""
    message = codec.Message(code=aiocoap.EMPTY)
    message.mtype = message_type
    message.mid = message_id
    socket.deliver(message)


def send_separate(
    socket: FakeSocket,
    request: codec.Message,
    payload: bytes = b"",
    code: aiocoap.Code = aiocoap.CHANGED,
) -> None:
    """Answers a request with a separate response."""
    answer = codec.Message(code=code, payload=payload)
    answer.mtype = aiocoap.CON
    answer.mid = request.mid ^ 0x5555
    answer.token = request.token
    socket.deliver(answer)


def ignore_request(socket: FakeSocket, request: codec.Message) -> None:
    """Sends no reply to a request."""
