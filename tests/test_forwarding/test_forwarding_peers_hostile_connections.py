"""Tests of snapshot connections to peers that don't behave as hosts do."""

from __future__ import annotations

import contextlib
import socket
import threading
from unittest import mock

import msgspec
import trio

from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import store_entry
from persimmonhinge.forwarding.peers import early_pull
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import pulls
from persimmonhinge.forwarding.peers import snapshot_server
from tests.standins import ports
from tests.support import trios
from tests.test_forwarding import test_forwarding_entry_replica as readers
from tests.test_forwarding import test_forwarding_peers_early_pull as hosts
from tests.test_forwarding import test_forwarding_peers_pulls as pull_tests
from tests.test_forwarding import (
    test_forwarding_peers_snapshot_server as servers,
)

_HOST = "127.0.0.9"
_FORGER = "127.0.0.8"
_BEHIND = "127.0.0.7"
_CHUNK = b"\xc0" * 65_536
_CHUNKS = 1_000
# The limit of a snapshot and what the kernel may buffer, chunks.
_MAX_TAKEN_CHUNKS = 300
_MAX_WAIT_S = 8.0
_SOURCE = "snapshot-request"


def test_answer_without_end_is_cut() -> None:
    """Guards against memory that grows with what a peer sends."""
    sent: list[int] = []
    with socket.create_server(("127.0.0.1", 0)) as server:

        def send() -> None:
            connection, _ = server.accept()
            with connection, contextlib.suppress(OSError):
                for _ in range(_CHUNKS):
                    connection.sendall(_CHUNK)
                    sent.append(1)

        thread = threading.Thread(target=send)
        thread.start()
        core = hosts.make_core(server.getsockname()[1])
        early_pull.pull_from_seeds(core)
        thread.join()
    core.socket.socket.close()
    assert len(sent) < _MAX_TAKEN_CHUNKS
    assert core.counts.get("inputs_refused_total", source="snapshot") == 1
    assert core.counts.sum("input_failures_total") == 0


@trios.trio_test
async def test_answer_without_end_is_cut_in_the_event_loop() -> None:
    sent: list[int] = []

    async def send(stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            for _ in range(_CHUNKS):
                await stream.send_all(_CHUNK)
                sent.append(1)

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host=_HOST)
        port = listener.socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, send, [listener])
        core = hosts.make_core(port, _BEHIND)
        receive_report(core, _HOST, port, 5)
        nursery.start_soon(pulls.SnapshotPuller(core).run)
        with trio.fail_after(_MAX_WAIT_S):
            while not core.counts.get("snapshot_errors_total"):
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    assert len(sent) < _MAX_TAKEN_CHUNKS
    assert core.counts.sum("input_failures_total") == 0


@trios.trio_test
async def test_silent_connections_beyond_the_limit_are_closed() -> None:
    """Guards against descriptors that run out, and hosts shut out for long."""
    port = ports.find_tcp_port(_HOST)
    core = hosts.make_core(port, _HOST)
    async with trio.open_nursery() as nursery:
        with mock.patch.object(snapshot_server, "_MAX_CONNECTIONS", 3):
            await nursery.start(snapshot_server.SnapshotServer(core).run)
            silent = [await trio.open_tcp_stream(_HOST, port) for _ in range(3)]
            assert await ask(port) == b""
            counts = core.counts
            assert counts.get("inputs_refused_total", source=_SOURCE) == 1
            for stream in silent:
                await trio.aclose_forcefully(stream)
            await trio.sleep(0.05)
            assert await ask(port)
        nursery.cancel_scope.cancel()
    assert core.counts.sum("input_failures_total") == 0


@trios.clock_test
async def test_answers_that_nobody_reads_take_limited_memory() -> None:
    """Guards against requests of an earlier release that use up the memory."""
    with mock.patch.object(snapshot_server, "_MAX_PENDING_OCTETS", 10_000):
        async with trio.open_nursery() as nursery:
            host = servers.SnapshotHost(nursery)
            request = messages.PullRequest(0)
            waiting = await host.send_request(request)
            refused = await host.send_request(request)
            assert await refused.receive_some(1) == b""
            assert len((await host.read(waiting)).entries) == 2
            later = await host.send_request(request)
            assert len((await host.read(later)).entries) == 2


@trios.trio_test
async def test_resets_at_each_point_end_nothing() -> None:
    port = ports.find_tcp_port(_HOST)
    core = hosts.make_core(port, _HOST)
    request = msgspec.msgpack.encode(messages.PullRequest(0))
    async with trio.open_nursery() as nursery:
        await nursery.start(snapshot_server.SnapshotServer(core).run)
        for sent in (b"", request[:3], request, request + b"\x00"):
            with socket.create_connection((_HOST, port)) as connection:
                # A linger time of 0 resets the connection when it is closed.
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                )
                connection.sendall(sent)
                await trio.sleep(0.01 if len(sent) % 2 else 0.0)
        await trio.sleep(0.05)
        assert await ask(port)
        nursery.cancel_scope.cancel()
    assert core.counts.sum("input_failures_total") == 0


@trios.trio_test
async def test_host_that_claims_too_much_is_not_asked_alone() -> None:
    """Guards against a forged revision that keeps a host behind for good."""
    port = ports.find_tcp_port(_HOST)
    honest = hosts.make_core(port, _HOST)
    forger = hosts.make_core(port, _FORGER)
    behind = hosts.make_core(port, _BEHIND)
    key = readers.make_key("1")
    honest.entries.apply_update(
        messages.EntryUpdate(
            0, 5, True, (store_entry.StoreEntry(key, readers.make_entry(), 5),)
        ),
        _HOST,
    )
    receive_report(behind, _FORGER, port, 2**50)
    receive_report(behind, _HOST, port, 5)
    async with trio.open_nursery() as nursery:
        for core in (honest, forger):
            await nursery.start(snapshot_server.SnapshotServer(core).run)
        nursery.start_soon(pulls.SnapshotPuller(behind).run)
        with trio.fail_after(_MAX_WAIT_S):
            while behind.entries.completeness.upstreams_revision < 5:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()


async def ask(port: int) -> bytes:
    """Asks for a snapshot; returns nothing if the connection is closed."""
    try:
        return await pull_tests.pull(port, messages.PullRequest(0))
    except trio.BrokenResourceError:
        return b""


def receive_report(
    core: core_module.ForwardCore, host: str, port: int, revision: int
) -> None:
    """Applies a report that counts for a minute."""
    report = messages.Report(
        f"h-{host}", 1, 1, 60_000, "north", revision, 0, False, True, (), ()
    )
    core.peers.apply_report(flow.Endpoint(host, port - 1), report, 0.0)
