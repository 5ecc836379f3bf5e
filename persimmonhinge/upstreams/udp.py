"""UDP socket to one upstream."""

from __future__ import annotations

import errno
import socket
import sys

import trio

from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.upstreams import upstream_socket

# Constants of linux/in.h and linux/in6.h that the socket module lacks.
_IP_RECVERR = 11
_IPV6_RECVERR = 25
_ANCILLARY_OCTETS = 512
_MAX_BATCH_EVENTS = 64


class UdpSocket:
    """A UDP socket that exchanges datagrams with one address only.

    It is not connected: on a connected socket the kernel drops datagrams of
    other sources without counting them. ICMP errors are read from the error
    queue instead, together with the sent datagram to which they refer.
    """

    def __init__(
        self,
        local_address: str,
        remote: contract.Address,
        counts: counts_module.Counts,
    ) -> None:
        self._remote = remote.as_pair()
        self._counts = counts
        self._socket = _open(local_address)

    def send(self, data: bytes) -> None:
        """Sends one datagram, or drops it if the send buffer is full."""
        try:
            self._socket.sendto(data, self._remote)
        except ConnectionRefusedError:
            # The error refers to an earlier datagram and prevented the
            # sending of this one. The call has cleared the error, and
            # `receive` will read it from the error queue.
            self._send_again(data)
        except OSError:
            self._counts.add("upstream_datagrams_unsent_total")

    async def receive(self) -> list[upstream_socket.SocketEvent]:
        """Waits for socket events and returns those that are available.

        Raises:
            trio.ClosedResourceError: The socket was closed.
        """
        await trio.lowlevel.wait_readable(self._socket)
        events = self._read_refusals()
        while len(events) < _MAX_BATCH_EVENTS:
            try:
                data, source = self._socket.recvfrom(
                    codec.MAX_DATAGRAM_OCTETS + 1
                )
            except BlockingIOError:
                break
            except OSError:
                events += self._read_refusals()
                break
            if source[:2] != self._remote:
                self._counts.add("upstream_datagrams_foreign_total")
                continue
            events.append(upstream_socket.SocketEvent(data))
        return events

    def close(self) -> None:
        """Closes the socket."""
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()

    def _send_again(self, data: bytes) -> None:
        try:
            self._socket.sendto(data, self._remote)
        except OSError:
            self._counts.add("upstream_datagrams_unsent_total")

    def _read_refusals(self) -> list[upstream_socket.SocketEvent]:
        refusals: list[upstream_socket.SocketEvent] = []
        while len(refusals) < _MAX_BATCH_EVENTS:
            try:
                data, ancillary, _, _ = self._socket.recvmsg(
                    codec.MAX_DATAGRAM_OCTETS,
                    _ANCILLARY_OCTETS,
                    socket.MSG_ERRQUEUE,
                )
            except OSError:
                break
            if _reports_closed_port(ancillary):
                refusals.append(upstream_socket.SocketEvent(data, refused=True))
        return refusals


def _reports_closed_port(ancillary: list[tuple[int, int, bytes]]) -> bool:
    # The first field of struct sock_extended_err is the error number. Other
    # errors, such as an unreachable network, may be temporary and do not mean
    # that the upstream refused the datagram.
    for _, _, data in ancillary:
        if int.from_bytes(data[:4], sys.byteorder) == errno.ECONNREFUSED:
            return True
    return False


def _open(local_address: str) -> socket.socket:
    is_ipv6 = ":" in local_address
    family = socket.AF_INET6 if is_ipv6 else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_DGRAM)
    opened.setblocking(False)
    if is_ipv6:
        opened.setsockopt(socket.IPPROTO_IPV6, _IPV6_RECVERR, 1)
    else:
        opened.setsockopt(socket.IPPROTO_IP, _IP_RECVERR, 1)
    opened.bind((local_address, 0))
    return opened
