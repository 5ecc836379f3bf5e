"""Tests of the loop that accepts TCP connections."""

from __future__ import annotations

import errno
from unittest import mock

import trio

from persimmonhinge import tcp_server
from tests.support import trios


@trios.trio_test
async def test_errors_of_accept_end_no_server() -> None:
    """Guards against a process that ends as the kernel reports an error."""
    numbers = [errno.ECONNABORTED, errno.EPERM, errno.EPROTO, errno.ENETDOWN]
    real_accept = trio.SocketListener.accept

    async def accept(listener: trio.SocketListener) -> trio.SocketStream:
        if numbers:
            raise OSError(numbers.pop(), "accept")
        return await real_accept(listener)

    async def answer(stream: trio.SocketStream) -> None:
        await stream.send_all(b"answer")
        await stream.aclose()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    with mock.patch.object(trio.SocketListener, "accept", accept):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(tcp_server.serve_connections, answer, listeners)
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            assert await stream.receive_some() == b"answer"
            nursery.cancel_scope.cancel()
    assert numbers == []
