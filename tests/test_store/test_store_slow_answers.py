"""Tests of answers of the store that come slowly, or stop."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import itertools
from unittest import mock

import trio

from persimmonhinge import errors
from persimmonhinge.store import blocking_transport
from persimmonhinge.store import http
from persimmonhinge.store import response_reader
from persimmonhinge.store import trio_transport
from tests.support import trios

_BODY = b"x" * 100
_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n"
_LIMIT_S = 0.3
_GAP_S = 0.2
_NEVER_S = 1_000.0

# Octets that come, each after a pause.
Chunks = Iterator[tuple[float, bytes]]
# Makes a call to a store that answers so.
Call = Callable[[Chunks], response_reader.Response]


class TrioStream:
    """The store's end, for a task."""

    def __init__(self, chunks: Chunks) -> None:
        self._chunks = chunks
        self.socket = mock.Mock()

    async def send_all(self, octets: bytes) -> None:
        """Takes a request."""

    async def receive_some(self, most: int) -> bytes:
        """Returns the next octets after their pause."""
        pause_s, octets = next(self._chunks)
        await trio.sleep(pause_s)
        return octets


class BlockingSocket:
    """The store's end, for code that blocks; moves its clock on."""

    def __init__(self, chunks: Chunks) -> None:
        self._chunks = chunks
        self._timeout_s = 0.0
        self.now = 100.0

    def settimeout(self, timeout_s: float) -> None:
        """Sets how long the next call may take."""
        self._timeout_s = timeout_s

    def connect(self, address: tuple[str, int]) -> None:
        """Connects at once."""

    def sendall(self, octets: bytes) -> None:
        """Takes a request."""

    def recv(self, most: int) -> bytes:
        """Returns the next octets after their pause."""
        pause_s, octets = next(self._chunks)
        self.now += min(pause_s, self._timeout_s)
        if pause_s > self._timeout_s:
            raise TimeoutError("timed out")
        return octets

    def close(self) -> None:
        """Ends the connection."""


def call_trio(chunks: Chunks) -> response_reader.Response:
    """Calls on the transport of tasks."""

    async def open_stream(host: str, port: int) -> TrioStream:
        return TrioStream(chunks)

    async def call() -> response_reader.Response:
        transport = trio_transport.TrioTransport("10.0.0.1", 80)
        connection = http.HttpConnection(transport, "store")
        return await connection.call("GET", "/", b"", _LIMIT_S)

    answers: list[response_reader.Response] = []

    async def run() -> None:
        answers.append(await call())

    with mock.patch.object(trio, "open_tcp_stream", open_stream):
        trios.run_in_order(1, run)
    return answers[0]


def call_blocking(chunks: Chunks) -> response_reader.Response:
    """Calls on the transport of the time before there are tasks."""
    socket = BlockingSocket(chunks)
    transport = blocking_transport.BlockingTransport("10.0.0.1", 80)
    connection = http.HttpConnection(transport, "store")
    with (
        mock.patch.object(
            blocking_transport._socket, "socket", lambda *_: socket
        ),
        mock.patch.object(
            blocking_transport.time, "monotonic", lambda: socket.now
        ),
    ):
        return blocking_transport.run(
            connection.call("GET", "/", b"", _LIMIT_S)
        )


CALLS: tuple[Call, ...] = (call_trio, call_blocking)


@contextlib.contextmanager
def expect_no_answer() -> Iterator[None]:
    """Checks that a call ends without an answer."""
    try:
        yield
    except errors.PlatformUnavailableError:
        return
    raise AssertionError("the call was answered")


def test_large_answer_over_a_thin_link_is_read_whole() -> None:
    """A host that is restarted forwards nothing for two seconds.

    The desired state has grown to hundreds of kilobytes, which its link
    carries in half a second. Its calls are cut before that, so it takes the
    store for lost, tells others so, and begins anew as often as it tries.
    """
    for call in CALLS:
        chunks = [(_GAP_S, _HEAD), *[(_GAP_S, _BODY)] * 5]
        response = call(iter(chunks))
        assert len(response.body) == 500


def test_answer_that_stops_midway_is_given_up() -> None:
    for call in CALLS:
        chunks = [(_GAP_S, _HEAD), (_GAP_S, _BODY), (_NEVER_S, _BODY)]
        with expect_no_answer():
            call(iter(chunks))


def test_answer_that_comes_octet_by_octet_is_given_up() -> None:
    for call in CALLS:
        drops = itertools.repeat((_GAP_S, b"x"))
        with expect_no_answer():
            call(
                itertools.chain([(_GAP_S, _HEAD)], itertools.islice(drops, 90))
            )


def test_answer_whose_head_comes_early_may_wait_as_long_as_any() -> None:
    """A watch is cut though the store only waits for the next change."""
    for call in CALLS:
        chunks = [(0.0, _HEAD), (0.29, _BODY * 5)]
        assert len(call(iter(chunks)).body) == 500
