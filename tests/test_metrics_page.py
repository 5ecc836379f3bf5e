"""Tests of the page server against requests and connections of all kinds."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import errno
import re
import socket
import struct
from typing import Any

import hypothesis
from hypothesis import strategies
import trio

from persimmonhinge import errors
from persimmonhinge.metrics import page
from tests.support import trios

_GOOD = b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"
_LIMIT_S = 5.0
_IDLE = 300


def _make_request(target: str = "/ready", head: str = "Host: h") -> bytes:
    return f"GET {target} HTTP/1.1\r\n{head}\r\n\r\n".encode("latin-1")


# What a connection sends, and the status of the answer; None for none.
REQUESTS: tuple[tuple[bytes, int | None], ...] = (
    (_GOOD, 200),
    (_make_request("//["), 400),
    (_make_request("//a]b["), 400),
    (_make_request("http://[::1/ready"), 400),
    (_make_request("/ready?" + "&".join(f"p{n}=1" for n in range(2000))), 400),
    (_make_request("/ready?a=%ff%zz%&=&;=%00"), 200),
    (_make_request("/%00%ff%zz"), 404),
    (_make_request("*"), 404),
    (_make_request("http://other/ready"), 200),
    (_make_request("/ready#[//["), 200),
    (_make_request("/" + "a" * 60_000), 431),
    (_make_request(head="Host: h\r\nX: " + "a" * 60_000), 431),
    (_make_request(head="Host: h\r\n" + "X: a\r\n" * 10_000), 431),
    (_make_request(head="Host: h\r\nAccept: \xff;;\x80,*/*;q=x"), 200),
    (_make_request(head="Host: h\r\nHost: h"), 400),
    (_make_request(head="Host: h\r\nContent-Length: -1"), 400),
    (
        _make_request(head="Host: h\r\nContent-Length: 1\r\nContent-Length: 2"),
        400,
    ),
    (_make_request(head="Host: h\r\nTransfer-Encoding: x"), 501),
    (_make_request(head="Host: h\r\nConnection: Upgrade\r\nUpgrade: h2c"), 200),
    (_make_request(head="Host: h\r\nExpect: 100-continue"), 200),
    (_make_request(head="X: a"), 400),
    (_make_request(head="no header"), 400),
    (_GOOD.replace(b"GET", b"POST"), 200),
    (_GOOD.replace(b"GET", b"HEAD"), 200),
    (_GOOD.replace(b"GET", b"CONNECT"), 400),
    (b"CONNECT h:443 HTTP/1.1\r\nHost: h\r\n\r\n", 400),
    (b"GET /ready HTTP/1.0\r\n\r\n", 200),
    (b"GET /ready HTTP/0.9\r\n\r\n", 200),
    (b"GET /ready HTTP/9.9\r\nHost: h\r\n\r\n", 200),
    (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 404),
    (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(600), 400),
    (bytes(range(256)) * 8, 400),
    (b"\r\n\r\n" + _GOOD, 400),
    (_GOOD * 50, 200),
    (_GOOD[:-5], 400),
    (b"", None),
)


class Requests:
    """Keeps what a server could not serve."""

    def __init__(self) -> None:
        self.refused: list[errors.MalformedRequestError] = []
        self.failed: list[Exception] = []

    def record_refusal(
        self, peer: str, error: errors.MalformedRequestError
    ) -> None:
        """See `request_record.RequestRecord`."""
        assert re.fullmatch(r"127\.0\.0\.1:\d+|", peer)
        self.refused.append(error)

    def record_failure(self, peer: str, error: Exception) -> None:
        """See `request_record.RequestRecord`."""
        self.failed.append(error)


@contextlib.asynccontextmanager
async def _serve(
    requests: Requests | None = None,
) -> AsyncIterator[tuple[page.PageServer, int]]:
    """Serves a page; ends with an error if the server does."""
    server = page.PageServer("127.0.0.1", 0, requests)

    async def show(request: page.PageRequest) -> page.PageAnswer:
        if "fail" in request.query:
            raise RuntimeError("fails")
        return page.PageAnswer(b"ready\n")

    server.pages.register("/ready")(show)
    async with trio.open_nursery() as nursery:
        port: int = await nursery.start(server.run)
        yield server, port
        nursery.cancel_scope.cancel()


async def exchange(
    port: int, octets: bytes, address: str = "127.0.0.1"
) -> bytes:
    """Sends octets and no more, and returns all that comes back.

    A connection that is closed with unread octets is reset, so the answer may
    be lost.
    """
    answer = b""
    with trio.fail_after(_LIMIT_S):
        stream = await trio.open_tcp_stream(address, port)
        async with stream:
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(octets)
                await stream.send_eof()
            with contextlib.suppress(trio.BrokenResourceError):
                while received := await stream.receive_some(4096):
                    answer += received
    return answer


def read_status(answer: bytes) -> int | None:
    """Returns the status of an answer; None if there is no answer."""
    return int(answer.split()[1]) if answer else None


@trios.trio_test
async def test_requests_of_all_kinds_are_answered_or_refused() -> None:
    """Guards against a host that ends by the target `//[` of a request."""
    requests = Requests()
    async with _serve(requests) as (_, port):
        for octets, status in REQUESTS:
            answer = await exchange(port, octets)
            # A long request may be reset before its answer is read.
            lossy = len(octets) > 1000 and not answer
            assert lossy or read_status(answer) == status, octets[:60]
            assert read_status(await exchange(port, _GOOD)) == 200
    refused = sum(
        status is not None and status >= 400 for _, status in REQUESTS
    )
    not_found = sum(status == 404 for _, status in REQUESTS)
    assert len(requests.refused) == refused - not_found
    assert all(error.reason for error in requests.refused)
    assert requests.failed == []


@trios.trio_test
async def test_head_has_the_answers_length_and_no_body() -> None:
    """Guards against probes by HEAD that get no answer."""
    async with _serve() as (_, port):
        answer = await exchange(port, _GOOD.replace(b"GET", b"HEAD"))
    assert b"Content-Length: 6\r\n" in answer
    assert answer.endswith(b"\r\n\r\n")


@trios.trio_test
async def test_page_that_fails_is_recorded() -> None:
    """Guards against faults of pages that no counter shows."""
    requests = Requests()
    async with _serve(requests) as (_, port):
        answer = await exchange(port, _make_request("/ready?fail=1"))
    assert read_status(answer) == 500
    assert [str(error) for error in requests.failed] == ["fails"]


@trios.trio_test
async def test_server_without_a_record_refuses_too() -> None:
    """Guards against a host that ends as nobody counts its requests."""
    async with _serve() as (_, port):
        assert read_status(await exchange(port, _make_request("//["))) == 400
        answer = await exchange(port, _make_request("/ready?fail=1"))
        assert read_status(answer) == 500


def test_random_requests_are_answered_or_refused() -> None:
    """Guards against requests that raise an error nobody expects."""

    async def play(pieces: list[bytes]) -> None:
        requests = Requests()
        async with _serve(requests) as (_, port):
            for octets in pieces:
                await exchange(port, octets)
            assert read_status(await exchange(port, _GOOD)) == 200
        assert requests.failed == []

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(strategies.lists(_mutated(), min_size=5, max_size=20))
    def run(pieces: list[bytes]) -> None:
        trio.run(play, pieces)

    run()


def _mutated() -> strategies.SearchStrategy[bytes]:
    """Generates octets that are nearly a request."""
    words = ("/", "//", "[", "]", "::1", "@", ":", "?", "#", "%", "http:", "a")
    targets = strategies.lists(strategies.sampled_from(words)).map("".join)
    return strategies.one_of(
        strategies.binary(max_size=60),
        strategies.builds(_make_request, targets),
        strategies.builds(
            lambda at, octets: _GOOD[:at] + octets + _GOOD[at + 1 :],
            strategies.integers(0, len(_GOOD)),
            strategies.binary(max_size=3),
        ),
    )


@trios.trio_test
async def test_connection_may_be_reset_at_any_octet() -> None:
    """Guards against a host that ends as a probe goes away."""
    requests = Requests()
    async with _serve(requests) as (_, port):
        for length in range(len(_GOOD) + 1):
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            await stream.send_all(_GOOD[:length] or b"G")
            stream.socket.close()
        assert read_status(await exchange(port, _GOOD)) == 200
    assert requests.failed == []


@trios.trio_test
async def test_idle_connections_give_way_to_new_ones() -> None:
    """Guards against idle connections that use up all descriptors."""
    requests = Requests()
    async with _serve(requests) as (_, port):
        async with contextlib.AsyncExitStack() as stack:
            idle = [
                await stack.enter_async_context(
                    await trio.open_tcp_stream("127.0.0.1", port)
                )
                for _ in range(_IDLE)
            ]
            with trio.fail_after(_LIMIT_S):
                assert read_status(await exchange(port, _GOOD)) == 200
                # The oldest ones are closed.
                for stream in idle[: _IDLE - 2 * page.MAX_CONNECTIONS]:
                    assert await stream.receive_some(1) == b""
            assert len(requests.refused) >= _IDLE - 2 * page.MAX_CONNECTIONS


@trios.trio_test
async def test_errors_of_accept_end_no_server() -> None:
    """Guards against a host that ends as the kernel accepts no connection.

    `trio.serve_listeners` goes on after a lack of descriptors or memory only.
    """
    numbers = [errno.EMFILE, errno.ENOMEM, errno.EIO, errno.ETOOMANYREFS]
    real_accept = trio.SocketListener.accept

    async def accept(self: Any) -> trio.SocketStream:
        if numbers:
            raise OSError(numbers.pop(), "accept")
        return await real_accept(self)

    trio.SocketListener.accept = accept  # type: ignore[method-assign]
    try:
        async with _serve() as (_, port):
            assert read_status(await exchange(port, _GOOD)) == 200
    finally:
        trio.SocketListener.accept = real_accept  # type: ignore[method-assign]
    assert numbers == []
