"""A connection that blocks, for the time before trio is imported."""

from __future__ import annotations

import _socket
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import time

from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.light_typing import TypeVar
from persimmonhinge.store import transfer_limit

if TYPE_CHECKING:
    from typing import Any

T = TypeVar("T")

_RECEIVE_OCTETS = 65_536


class BlockingTransport:
    """Implements `transport.Transport` without ever suspending its caller."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._socket: _socket.socket | None = None
        self._limit = transfer_limit.TransferLimit(0.0, 0.0)

    async def open(self) -> None:
        """See `transport.Transport`."""
        if self._socket is None:
            host, port = self._address
            address = _read_address(host)
            self._socket = _socket.socket(_socket.AF_INET, _socket.SOCK_STREAM)
            self._get_socket().connect((address, port))

    async def send_all(self, octets: bytes) -> None:
        """See `transport.Transport`."""
        self._get_socket().sendall(octets)

    async def receive_some(self) -> bytes:
        """See `transport.Transport`."""
        octets = self._get_socket().recv(_RECEIVE_OCTETS)
        self._limit.record_octets(time.monotonic())
        return octets

    async def run_within(
        self, limit_s: float, work: Callable[[], Awaitable[T]]
    ) -> T:
        """See `transport.Transport`."""
        self._limit = transfer_limit.TransferLimit(limit_s, time.monotonic())
        return await work()

    def close(self) -> None:
        """See `transport.Transport`."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _get_socket(self) -> _socket.socket:
        if self._socket is None:
            raise ConnectionError("connection is closed")
        self._socket.settimeout(self._compute_rest())
        return self._socket

    def _compute_rest(self) -> float:
        rest_s = self._limit.deadline - time.monotonic()
        if rest_s <= 0:
            raise TimeoutError("time limit has passed")
        return rest_s


def _read_address(host: str) -> str:
    """Returns an IPv4 address in its usual form.

    Guards against the look-up of a name, which knows no time limit and would
    block the start of a host.

    Raises:
        OSError: It is no IPv4 address.
    """
    try:
        return _socket.inet_ntoa(_socket.inet_aton(host))
    except (OSError, ValueError) as error:
        raise OSError(f"{host!r:.80} is no IPv4 address") from error


def run(coroutine: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine that uses only blocking transports to its end."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        result: T = end.value
        return result
    coroutine.close()
    raise RuntimeError("the coroutine waits for an event loop")
