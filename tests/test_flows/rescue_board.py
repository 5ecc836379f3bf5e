"""A fake upstream with a price board that keepers observe."""

from __future__ import annotations

import aiocoap
from aiocoap import optiontypes

from persimmonhinge.coap import codec
from tests.test_upstreams import fake_upstream

_BLOCK_OCTETS = 1024
_BLOCK_EXPONENT = 6


class Board(fake_upstream.FakeUpstream):
    """An upstream that publishes states to all observers.

    Attributes:
        state: Newest state.
        ends: True to end each observation with the next state.
    """

    def __init__(self) -> None:
        super().__init__(self._serve)
        self.state = b"0"
        self.ends = False
        self._number = 0
        self._observers: dict[
            bytes, tuple[fake_upstream.FakeSocket, codec.Message]
        ] = {}

    def count(self) -> int:
        """Returns the number of observations."""
        return len(self._observers)

    def publish(self, state: bytes) -> None:
        """Notifies all observers of a new state."""
        self._number += 1
        self.state = state
        for socket, registration in list(self._observers.values()):
            message = codec.Message(code=aiocoap.CONTENT)
            message.opt.observe = None if self.ends else self._number
            message.mtype = aiocoap.NON
            self._next_id += 1
            message.mid = self._next_id
            message.token = registration.token
            self._set_body(message, 0)
            socket.deliver(message)
        if self.ends:
            self._observers.clear()

    def _serve(
        self, socket: fake_upstream.FakeSocket, request: codec.Message
    ) -> None:
        answer = codec.Message(code=aiocoap.CONTENT)
        if request.opt.observe == 0:
            self._observers[request.token] = (socket, request)
            self._number += 1
            answer.opt.observe = self._number
        elif request.opt.observe == 1:
            self._observers.pop(request.token, None)
        start = request.opt.block2.start if request.opt.block2 else 0
        self._set_body(answer, start)
        answer.mtype = aiocoap.ACK
        answer.mid, answer.token = request.mid, request.token
        socket.deliver(answer)

    def _set_body(self, message: codec.Message, start: int) -> None:
        message.payload = self.state[start : start + _BLOCK_OCTETS]
        if len(self.state) <= _BLOCK_OCTETS:
            return
        message.opt.etag = self.state[:8]
        message.opt.block2 = optiontypes.BlockOption.BlockwiseTuple(
            start // _BLOCK_OCTETS,
            start + _BLOCK_OCTETS < len(self.state),
            _BLOCK_EXPONENT,
        )
