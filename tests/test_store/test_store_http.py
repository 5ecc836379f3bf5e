"""Tests of calls to the store over connections that fail."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import trio

from persimmonhinge import errors
from persimmonhinge.platform import adapter
from persimmonhinge.platform import opening as platform_opening
from persimmonhinge.platform import store_reader
from persimmonhinge.store import blocking_transport
from persimmonhinge.store import port
from persimmonhinge.store import trio_transport
from tests.standins import platform_process
from tests.support import trios

Serve = Callable[[trio.SocketStream], Awaitable[None]]


async def catch(call: Awaitable[object]) -> errors.PlatformError:
    """Returns the error of a call."""
    try:
        await call
    except errors.PlatformError as error:
        return error
    raise AssertionError("the call was answered")


@contextlib.asynccontextmanager
async def run_server(serve: Serve) -> AsyncIterator[store_reader.StoreReader]:
    """Runs a server, and gives a client of it."""

    async def serve_closing(stream: trio.SocketStream) -> None:
        try:
            await serve(stream)
        finally:
            await trio.aclose_forcefully(stream)

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve_closing, [listener])
        _, number = listener.socket.getsockname()
        async with adapter.make_reader(
            (f"127.0.0.1:{number}",), trio_transport.TrioTransport, 0.3
        ) as client:
            yield client
        nursery.cancel_scope.cancel()


def make_answer(body: bytes, status: str = "200 OK") -> bytes:
    """Returns an answer in HTTP."""
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@trios.trio_test
async def test_refusals_count_as_an_outage() -> None:
    async with platform_process.run_platform() as process:
        async with platform_opening.open_store(process.settings()) as client:
            for status in (429, 503):
                await process.set_faults(refuse_status=status)
                error = await catch(client.get("k"))
                assert isinstance(error, errors.PlatformUnavailableError)
                assert f"status {status}" in str(error)
            await process.set_faults(refuse_status=403)
            error = await catch(client.get("k"))
            assert not isinstance(error, errors.PlatformUnavailableError)


@trios.trio_test
async def test_prefix_of_many_pages_is_read_whole() -> None:
    async with platform_process.run_platform() as process:
        async with platform_opening.open_store(process.settings()) as client:
            for first in range(0, 1020, 30):
                writes = tuple(
                    port.Write(f"many/{number:05d}", b"x")
                    for number in range(first, first + 30)
                )
                await client.write_if((), writes)
            state = await client.get_prefix("many/")
    assert len(state.values) == 1020
    assert len({pair.key for pair in state.values}) == 1020


@trios.trio_test
async def test_history_that_is_gone_is_told_apart() -> None:
    async with platform_process.run_platform() as process:
        async with platform_opening.open_store(process.settings()) as client:
            await client.write_if((), (port.Write("k", b"1"),))
            await client.write_if((), (port.Write("k", b"2"),))
            await process.compact(3)
            async with client.watch("", 2) as batches:
                error = await catch(anext(batches))
    assert isinstance(error, errors.PlatformHistoryGoneError)


@trios.trio_test
async def test_answer_that_breaks_off_is_no_answer() -> None:
    """A host takes half of the upstreams for gone.

    The connection breaks in the middle of an answer. Cause: what had come
    until then was taken for the whole.
    """

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        answer = make_answer(b'{"items":[],"CurrentRev":7}')
        await stream.send_all(answer[:-5])

    async with run_server(serve) as client:
        error = await catch(client.get_prefix("servers/"))
    assert isinstance(error, errors.PlatformUnavailableError)


@trios.trio_test
async def test_late_answer_is_not_taken_for_the_next_call() -> None:
    """A host reads an old state as the new one.

    A call times out; its answer comes while the next call waits. Cause: both
    on one connection.
    """
    asked = 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal asked
        while await stream.receive_some():
            asked += 1
            if asked == 1:
                await trio.sleep(0.5)
            answer = f'{{"Key":"k","Revision":{asked},"CurrentRev":9}}'
            await stream.send_all(make_answer(answer.encode()))

    async with run_server(serve) as client:
        await catch(client.get("k"))
        value = await client.get("k")
    assert value is not None
    assert value.mod_revision == 2


@trios.trio_test
async def test_answers_that_are_not_http_or_json_are_errors() -> None:
    for octets in (b"\x00\xff nonsense\r\n\r\n", make_answer(b"{")):

        async def serve(
            stream: trio.SocketStream, octets: bytes = octets
        ) -> None:
            await stream.receive_some()
            await stream.send_all(octets)

        async with run_server(serve) as client:
            await catch(client.get("k"))


@trios.trio_test
async def test_same_client_reads_without_an_event_loop() -> None:
    async with platform_process.run_platform() as process:
        await process.put("servers/i-1", "{}")

        def read() -> port.PrefixState:
            address = process.url.removeprefix("http://")
            client = adapter.make_reader(
                (address,), blocking_transport.BlockingTransport, 2.0
            )
            return blocking_transport.run(client.get_prefix("servers/"))

        state = await trio.to_thread.run_sync(read)
    assert [pair.key for pair in state.values] == ["servers/i-1"]


@trios.trio_test
async def test_blocking_call_ends_at_its_limit() -> None:
    async with platform_process.run_platform() as process:
        await process.set_faults(delay_s=5.0)

        def read() -> None:
            address = process.url.removeprefix("http://")
            client = adapter.make_reader(
                (address,), blocking_transport.BlockingTransport, 0.2
            )
            blocking_transport.run(client.get_prefix("servers/"))

        try:
            await trio.to_thread.run_sync(read)
        except errors.PlatformUnavailableError:
            return
    raise AssertionError("the call did not end")
