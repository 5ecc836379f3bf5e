"""Binds the packet socket before the rest of the program is imported."""

from __future__ import annotations

# The C module is imported directly, as its wrapper `socket` is slow to import.
import _socket
import errno
import time

from persimmonhinge.forwarding import flow

_RECEIVE_BUFFER_OCTETS = 1 << 20
# The kernel doubles the size that it is asked for, and takes more than this for
# the smallest datagram.
_MIN_KERNEL_OCTETS = 512
# Maximum number of datagrams that the socket holds unread.
MAX_UNREAD_DATAGRAMS = 2 * _RECEIVE_BUFFER_OCTETS // _MIN_KERNEL_OCTETS
# Time for which a port that another process still holds is tried again,
# seconds: a host that was restarted may start before its former process ends.
BIND_LIMIT_S = 2.0
BIND_RETRY_INTERVAL_S = 0.02
_PASSING_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)


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
    ends_at = time.monotonic() + BIND_LIMIT_S
    while True:
        try:
            packet_socket.bind(address)
        except OSError as error:
            if not is_passing(error) or time.monotonic() >= ends_at:
                packet_socket.close()
                raise describe_failure("packets", address, error) from error
        else:
            return packet_socket
        time.sleep(BIND_RETRY_INTERVAL_S)


def is_passing(error: OSError) -> bool:
    """Returns whether a port may be free a little later."""
    return error.errno in _PASSING_ERRORS


def describe_failure(
    use: str, address: flow.Endpoint, error: OSError
) -> OSError:
    """Returns the error of a port that can't be bound, with its address.

    Args:
        use: What the port is for.
        address: The address and port.
        error: The error of the system.
    """
    text = f"can't bind the port of {use} at {address}: {error.strerror}"
    return OSError(error.errno, text)
