"""Sends datagrams to other hosts."""

from __future__ import annotations

from collections.abc import Iterable
import logging

import trio

from persimmonhinge.forwarding import flow
from persimmonhinge.metrics import counts as counts_module

logger = logging.getLogger(__name__)


class PeerChannel:
    """Sends datagrams; those that can't be sent are counted and dropped."""

    def __init__(
        self, bound_socket: trio.socket.SocketType, counts: counts_module.Counts
    ) -> None:
        """Initializes the channel.

        Args:
            bound_socket: The bound datagram socket.
            counts: Counts the datagrams that can't be sent.
        """
        self._socket = bound_socket
        self._counts = counts

    async def send_all(
        self, octets: bytes, addresses: Iterable[flow.Endpoint]
    ) -> None:
        """Sends one datagram to each address."""
        for address in addresses:
            try:
                await self._socket.sendto(octets, address)
            except OSError as error:
                self._counts.add("report_errors_total")
                logger.debug(
                    "Can't send a datagram to host %s: %s.", address, error
                )
