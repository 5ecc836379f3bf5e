"""Binds the packet socket before the rest of the program is imported."""

from __future__ import annotations

# The C module is imported directly, as its wrapper `socket` is slow to import.
import _socket

from persimmonhinge.forwarding import flow

_RECEIVE_BUFFER_OCTETS = 1 << 20
# The kernel doubles the size that it is asked for, and takes more than this for
# the smallest datagram.
_MIN_KERNEL_OCTETS = 512
# Maximum number of datagrams that the socket holds unread.
MAX_UNREAD_DATAGRAMS = 2 * _RECEIVE_BUFFER_OCTETS // _MIN_KERNEL_OCTETS


def bind_packet_socket(address: flow.Endpoint) -> _socket.socket:
    """Returns a non-blocking UDP socket for packets, bound to an address.

    The kernel buffers the packets that arrive before the program reads them.

    Raises:
        OSError: The socket can't be bound to the address.
    """
    packet_socket = _socket.socket(_socket.AF_INET, _socket.SOCK_DGRAM)
    packet_socket.setblocking(False)
    packet_socket.setsockopt(
        _socket.SOL_SOCKET, _socket.SO_RCVBUF, _RECEIVE_BUFFER_OCTETS
    )
    packet_socket.bind(address)
    return packet_socket
