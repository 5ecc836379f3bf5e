"""Where the messages for one token wait."""

from __future__ import annotations

import math

import aiocoap
import trio

from persimmonhinge.coap import codec

_MOST_WAITING = 1024


class Inbox:
    """Messages that carry one token, and bare ACK and RST for it.

    Attributes:
        token: The token.
        message_id: Message id of what was sent last under it.
    """

    def __init__(self, token: bytes) -> None:
        self.token = token
        self.message_id = -1
        self._sender: trio.MemorySendChannel[codec.Message]
        self._receiver: trio.MemoryReceiveChannel[codec.Message]
        self._sender, self._receiver = trio.open_memory_channel(_MOST_WAITING)

    def put(self, message: codec.Message) -> None:
        """Adds a message; one too many is dropped, as a socket would."""
        try:
            self._sender.send_nowait(message)
        except trio.WouldBlock:
            return

    async def receive(self) -> codec.Message:
        """Returns the next message."""
        return await self._receiver.receive()

    async def receive_answer(
        self, limit_s: float = math.inf
    ) -> codec.Message | None:
        """Returns the next message that is not a bare ACK or RST."""
        with trio.move_on_after(limit_s):
            while True:
                message = await self.receive()
                if message.code is not aiocoap.EMPTY:
                    return message
        return None
