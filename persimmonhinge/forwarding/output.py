"""Interface through which the forwarder sends datagrams."""

from __future__ import annotations

from typing import Protocol

from persimmonhinge.forwarding import flow


class Output(Protocol):
    """Sends datagrams to upstreams and callers."""

    def send_to_upstream(self, octets: bytes, address: flow.Endpoint) -> None:
        """Sends a datagram to an upstream."""

    def send_to_caller(self, octets: bytes, caller: int) -> None:
        """Sends a datagram to a caller's 32-bit IPv4 address."""
