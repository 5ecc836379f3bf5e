"""What names a flow."""

from __future__ import annotations

from persimmonhinge.light_typing import NamedTuple


class Endpoint(NamedTuple):
    """An IPv4 address and a port; hashed for each packet, hence a tuple.

    Attributes:
        host: The address as text.
        port: The port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class FlowId(NamedTuple):
    """The four numbers that name a flow.

    Attributes:
        caller: IPv4 address of the caller, 32 bits.
        caller_port: Its port.
        service: IPv4 address that it called, 32 bits.
        service_port: Port that it called.
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
    """Returns an IPv4 address as text."""
    return (
        f"{address >> 24 & 255}.{address >> 16 & 255}."
        f"{address >> 8 & 255}.{address & 255}"
    )
