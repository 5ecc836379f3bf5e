"""Ports that are free, found by binding."""

from __future__ import annotations

import contextlib
import socket

_MOST_TRIES = 50


def find_udp_port(addresses: list[str]) -> int:
    """Returns a UDP port that is free on all addresses.

    The kernel chooses it on the first address. All sockets are closed
    again, so the caller is to bind it soon.
    """
    return _find(socket.SOCK_DGRAM, addresses)


def find_tcp_port(address: str) -> int:
    """Returns a TCP port that is free on an address."""
    return _find(socket.SOCK_STREAM, [address])


def _find(kind: socket.SocketKind, addresses: list[str]) -> int:
    for _ in range(_MOST_TRIES):
        port = _try_bind(kind, addresses)
        if port is not None:
            return port
    raise OSError(f"no port is free on all of {addresses}")


def _try_bind(kind: socket.SocketKind, addresses: list[str]) -> int | None:
    port = 0
    with contextlib.ExitStack() as stack:
        for address in addresses:
            bound = stack.enter_context(socket.socket(type=kind))
            try:
                bound.bind((address, port))
            except OSError:
                return None
            port = bound.getsockname()[1]
    return port
