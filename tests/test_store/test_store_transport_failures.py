"""Tests of connections that can't be opened or are taken away."""

from __future__ import annotations

from collections.abc import Callable
from unittest import mock

import trio

from persimmonhinge import errors
from persimmonhinge.store import blocking_transport
from persimmonhinge.store import http
from persimmonhinge.store import trio_transport
from tests.support import trios

_LIMIT_S = 0.5
# Nothing listens at this port; the others are no IPv4 addresses.
_REFUSING = ("127.0.0.1", 1)
_NO_ADDRESSES = ("", "a\0b", "\ud800", "::1", "256.0.0.1", "a" * 300)


def call_blocking(host: str, port: int) -> object:
    transport = blocking_transport.BlockingTransport(host, port)
    connection = http.HttpConnection(transport, "store")
    return blocking_transport.run(connection.call("GET", "/", b"", _LIMIT_S))


def call_trio(host: str, port: int) -> object:
    transport = trio_transport.TrioTransport(host, port)
    connection = http.HttpConnection(transport, "store")
    return trio.run(connection.call, "GET", "/", b"", _LIMIT_S)


def expect_unreachable(
    call: Callable[[str, int], object], host: str, port: int
) -> None:
    try:
        call(host, port)
    except errors.PlatformUnreachableError:
        return
    raise AssertionError(f"{host!r} was reached")


def test_address_that_is_none_makes_the_store_unreachable() -> None:
    """Guards against a host that ends at its start by a TypeError."""
    for call in (call_blocking, call_trio):
        expect_unreachable(call, *_REFUSING)
        for host in _NO_ADDRESSES:
            expect_unreachable(call, host, 80)


def test_name_is_not_looked_up_before_the_event_loop_runs() -> None:
    """Guards against a start that is blocked by a name service."""
    with mock.patch.object(blocking_transport, "_socket") as module:
        module.inet_aton.side_effect = OSError("illegal IP address string")
        expect_unreachable(call_blocking, "store.example", 80)
    assert not module.socket.called


@trios.trio_test
async def test_stream_that_is_used_or_closed_elsewhere_is_a_failed_call() -> (
    None
):
    for error in (
        trio.BrokenResourceError,
        trio.BusyResourceError,
        trio.ClosedResourceError,
    ):
        for method in ("send_all", "receive_some"):
            stream = mock.AsyncMock()
            getattr(stream, method).side_effect = error
            stream.socket = mock.Mock()
            with mock.patch.object(
                trio, "open_tcp_stream", return_value=stream
            ):
                transport = trio_transport.TrioTransport(*_REFUSING)
                connection = http.HttpConnection(transport, "store")
                try:
                    await connection.call("GET", "/", b"", _LIMIT_S)
                except errors.PlatformUnavailableError:
                    continue
            raise AssertionError(f"{method} failed without a failed call")
