"""Binds the socket of packets, before all else is imported."""

from __future__ import annotations

# Without the module around it, which is slow to import.
import _socket

from persimmonhinge.forwarding import flow

_RECEIVE_BUFFER_OCTETS = 1 << 20


def bind_packet_socket(address: flow.Endpoint) -> _socket.socket:
    """Binds the socket of packets; they wait in it until they are read.

    Raises:
        OSError: The address can't be had.
    """
    packet_socket = _socket.socket(_socket.AF_INET, _socket.SOCK_DGRAM)
    packet_socket.setblocking(False)
    packet_socket.setsockopt(
        _socket.SOL_SOCKET, _socket.SO_RCVBUF, _RECEIVE_BUFFER_OCTETS
    )
    packet_socket.bind(address)
    return packet_socket
