"""Identifiers of flows and their endpoints."""

from __future__ import annotations

from persimmonhinge.light_typing import NamedTuple


class Endpoint(NamedTuple):
    """An IPv4 address and a port.

    It is a tuple because it is hashed for each packet.

    Attributes:
        host: IPv4 address in dotted-decimal notation.
        port: Port number.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class FlowId(NamedTuple):
    """The addresses and ports that identify a flow.

    Attributes:
        caller: IPv4 address of the caller, 32 bits.
        caller_port: Port of the caller.
        service: IPv4 destination address of the caller's packets, 32 bits.
        service_port: Destination port of the caller's packets.
    """

    caller: int
    caller_port: int
    service: int
    service_port: int

    def __str__(self) -> str:
        caller = f"{format_address(self.caller)}:{self.caller_port}"
        service = f"{format_address(self.service)}:{self.service_port}"
        return f"{caller}>{service}"


def format_address(address: int) -> str:
    """Returns a 32-bit IPv4 address in dotted-decimal notation."""
    return (
        f"{address >> 24 & 255}.{address >> 16 & 255}."
        f"{address >> 8 & 255}.{address & 255}"
    )
