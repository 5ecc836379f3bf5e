"""A connection on trio."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

import trio

from persimmonhinge.store import transfer_limit

T = TypeVar("T")

_RECEIVE_OCTETS = 65_536
_STREAM_ERRORS = (
    trio.BrokenResourceError,
    trio.BusyResourceError,
    trio.ClosedResourceError,
)


class TrioTransport:
    """Implements `transport.Transport` for tasks of trio."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._stream: trio.SocketStream | None = None
        self._limit = transfer_limit.TransferLimit(0.0, 0.0)
        self._scope = trio.CancelScope()

    async def open(self) -> None:
        """See `transport.Transport`."""
        if self._stream is None:
            self._stream = await trio.open_tcp_stream(self._host, self._port)

    async def send_all(self, octets: bytes) -> None:
        """See `transport.Transport`."""
        try:
            await self._get_stream().send_all(octets)
        except _STREAM_ERRORS as error:
            raise ConnectionError("connection broke") from error

    async def receive_some(self) -> bytes:
        """See `transport.Transport`."""
        try:
            octets = await self._get_stream().receive_some(_RECEIVE_OCTETS)
        except _STREAM_ERRORS as error:
            raise ConnectionError("connection broke") from error
        self._limit.record_octets(trio.current_time())
        self._scope.deadline = self._limit.deadline
        return bytes(octets)

    async def run_within(
        self, limit_s: float, work: Callable[[], Awaitable[T]]
    ) -> T:
        """See `transport.Transport`."""
        self._limit = transfer_limit.TransferLimit(limit_s, trio.current_time())
        try:
            with trio.fail_at(self._limit.deadline) as self._scope:
                return await work()
        except trio.TooSlowError as error:
            raise TimeoutError(f"no answer in {limit_s} s") from error

    def close(self) -> None:
        """See `transport.Transport`."""
        if self._stream is not None:
            self._stream.socket.close()
            self._stream = None

    def _get_stream(self) -> trio.SocketStream:
        if self._stream is None:
            raise ConnectionError("connection is closed")
        return self._stream
