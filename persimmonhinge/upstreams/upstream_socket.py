"""What a socket towards an upstream reports."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import Protocol

from persimmonhinge.contracts import contract


@dataclasses.dataclass(frozen=True, slots=True)
class SocketEvent:
    """A datagram of the upstream, or the news that it refused one of ours.

    Attributes:
        data: The datagram that came, or the beginning of ours.
        refused: True if ICMP reports that `data` found no open port.
    """

    data: bytes
    refused: bool = False


class UpstreamSocket(Protocol):
    """A datagram socket that talks to one address only."""

    def send(self, data: bytes) -> None:
        """Sends one datagram, or drops it when the buffer is full."""

    async def receive(self) -> list[SocketEvent]:
        """Waits for datagrams and returns those that are there.

        Raises:
            trio.ClosedResourceError: The socket was closed.
        """

    def close(self) -> None:
        """Closes the socket."""


SocketOpener = Callable[[contract.Address], UpstreamSocket]
