"""Where the forwarder sends datagrams."""

from __future__ import annotations

from typing import Protocol

from persimmonhinge.forwarding import flow


class Output(Protocol):
    """Where datagrams are sent."""

    def send_to_upstream(self, octets: bytes, address: flow.Endpoint) -> None:
        """Sends a datagram to an upstream."""

    def send_to_caller(self, octets: bytes, caller: int) -> None:
        """Sends a datagram to a caller's address."""
