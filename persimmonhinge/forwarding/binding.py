"""Binds the socket of packets, before all else is imported."""

from __future__ import annotations

import socket

from persimmonhinge.forwarding import flow as flows

_RECEIVE_BUFFER_OCTETS = 1 << 20


def bind(address: flows.Endpoint) -> socket.socket:
    """Binds the socket of packets; they wait in it until they are read.

    Raises:
        OSError: The address can't be had.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_OCTETS
    )
    bound.bind(address)
    return bound
