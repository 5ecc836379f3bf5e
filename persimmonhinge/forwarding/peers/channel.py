"""Datagrams to other hosts."""

from __future__ import annotations

from collections.abc import Iterable
import logging

import trio

from persimmonhinge.forwarding import flow as flows
from persimmonhinge.metrics import counts as host_counts

logger = logging.getLogger(__name__)


class PeerChannel:
    """Sends datagrams; one that can't be sent is counted and dropped."""

    def __init__(
        self, bound: trio.socket.SocketType, counts: host_counts.Counts
    ) -> None:
        """Takes over a bound socket."""
        self._socket = bound
        self._counts = counts

    async def send_all(
        self, octets: bytes, addresses: Iterable[flows.Endpoint]
    ) -> None:
        """Sends one datagram to each address."""
        for address in addresses:
            try:
                await self._socket.sendto(octets, address)
            except OSError as error:
                self._counts.add("report_errors_total")
                logger.debug("Can't send to %s: %s.", address, error)
