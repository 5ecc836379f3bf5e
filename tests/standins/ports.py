"""Ports that are free, found by binding."""

from __future__ import annotations

import contextlib
import itertools
import os
import pathlib
import random
import socket

_MOST_TRIES = 1000
_FIRST = 10_000
_LAST = 65_535
# Test files that run side by side each have a part of the ports to themselves:
# the number of its part is in this variable.
WORKER_VARIABLE = "PERSIMMONHINGE_TEST_WORKER"
_MOST_WORKERS = 16
_KERNEL_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def find_udp_port(addresses: list[str]) -> int:
    """Returns a UDP port that is free on all addresses.

    All sockets are closed again, so the caller is to bind it soon. No
    port is found twice in one process before all had their turn.

    Raises:
        OSError: None is free.
    """
    return _find(socket.SOCK_DGRAM, addresses)


def find_tcp_port(address: str) -> int:
    """Returns a TCP port that is free on an address."""
    return _find(socket.SOCK_STREAM, [address])


def read_kernel_range() -> tuple[int, int]:
    """Returns the first and the last port that the kernel gives by itself."""
    first, last = _KERNEL_RANGE.read_text().split()
    return int(first), int(last)


def _draw_ports() -> itertools.cycle[int]:
    # A port that is found lies free until its process binds it. If the
    # kernel had chosen it, it could give it meanwhile to any socket that
    # asks for no certain one (a caller, a link's near end), and the process
    # would end with "address already in use". Below the kernel's range only
    # another search can take it. Searches at one time start at random
    # places and go upwards, so that they seldom meet.
    below = range(_FIRST, read_kernel_range()[0])
    # Where the kernel's range is set to begin lower, nothing is guarded.
    drawn = _take_part(below or range(_FIRST, _LAST + 1))
    start = random.SystemRandom().randrange(len(drawn))
    return itertools.cycle([*drawn[start:], *drawn[:start]])


def _take_part(drawn: range) -> range:
    worker = os.environ.get(WORKER_VARIABLE)
    if worker is None:
        return drawn
    size = len(drawn) // _MOST_WORKERS
    first = int(worker) % _MOST_WORKERS * size
    return drawn[first : first + size]


_drawn = _draw_ports()


def _find(kind: socket.SocketKind, addresses: list[str]) -> int:
    for port in itertools.islice(_drawn, _MOST_TRIES):
        if _is_free(kind, addresses, port):
            return port
    raise OSError(f"no port is free on all of {addresses}")


def _is_free(kind: socket.SocketKind, addresses: list[str], port: int) -> bool:
    with contextlib.ExitStack() as stack:
        for address in addresses:
            bound = stack.enter_context(socket.socket(type=kind))
            try:
                bound.bind((address, port))
            except OSError:
                return False
    return True
