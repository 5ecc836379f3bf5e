"""Tests of ports that another process holds."""

from __future__ import annotations

import errno
import socket
import threading
from unittest import mock

from persimmonhinge.forwarding import binding
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import free_ports
from tests.standins import ports
from tests.support import trios

_ADDRESS = "127.0.0.1"


def take(endpoint: flow.Endpoint, kind: socket.SocketKind) -> socket.socket:
    taken = socket.socket(socket.AF_INET, kind)
    taken.bind(endpoint)
    if kind == socket.SOCK_STREAM:
        taken.listen()
    return taken


def find(kind: socket.SocketKind) -> flow.Endpoint:
    if kind == socket.SOCK_STREAM:
        return flow.Endpoint(_ADDRESS, ports.find_tcp_port(_ADDRESS))
    return flow.Endpoint(_ADDRESS, ports.find_udp_port([_ADDRESS]))


@trios.trio_test
async def test_port_that_is_freed_soon_is_waited_for() -> None:
    """Guards against a quick restart that fails on its former self's ports."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        endpoint = find(kind)
        closer = threading.Timer(0.1, take(endpoint, kind).close)
        closer.start()
        await free_ports.wait_until_free("pages", endpoint, kind)
        closer.join()
    endpoint = find(socket.SOCK_DGRAM)
    closer = threading.Timer(0.1, take(endpoint, socket.SOCK_DGRAM).close)
    closer.start()
    binding.bind_packet_socket(endpoint).close()
    closer.join()


@trios.trio_test
async def test_port_that_stays_taken_is_named() -> None:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        endpoint = find(kind)
        with take(endpoint, kind):
            try:
                await free_ports.wait_until_free("pages", endpoint, kind)
            except OSError as error:
                assert error.errno == errno.EADDRINUSE
                assert f"pages at {endpoint}" in str(error)
                continue
        raise AssertionError("a port that is taken was free")


@trios.trio_test
async def test_port_that_can_never_be_bound_is_not_waited_for() -> None:
    endpoint = find(socket.SOCK_STREAM)
    refused = OSError(errno.EACCES, "Permission denied")
    with mock.patch.object(
        free_ports, "_bind_once", side_effect=refused
    ) as bind:
        try:
            await free_ports.wait_until_free(
                "pages", endpoint, socket.SOCK_STREAM
            )
        except OSError as error:
            assert str(endpoint) in str(error)
    assert bind.call_count == 1
