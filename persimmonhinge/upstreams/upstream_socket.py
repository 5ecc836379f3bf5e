"""Interface of a datagram socket to one upstream."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import Protocol

from persimmonhinge.contracts import contract


@dataclasses.dataclass(frozen=True, slots=True)
class SocketEvent:
    """A received datagram, or an ICMP error about a sent one.

    Attributes:
        data: The received datagram; for an ICMP error, the beginning of the
            sent datagram that the error quotes.
        refused: True if ICMP reports that the port to which `data` was sent
            is closed.
    """

    data: bytes
    refused: bool = False


class UpstreamSocket(Protocol):
    """A datagram socket that exchanges datagrams with one address only."""

    def send(self, data: bytes) -> None:
        """Sends one datagram, or drops it if the send buffer is full."""

    async def receive(self) -> list[SocketEvent]:
        """Waits for socket events and returns those that are available.

        Raises:
            trio.ClosedResourceError: The socket was closed.
        """

    def close(self) -> None:
        """Closes the socket."""


SocketOpener = Callable[[contract.Address], UpstreamSocket]
