"""Datagrams that one host passes on to the home of their flow."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.peers.messages import base


@base.message_kind("relay")
class Relay(base.Message, array_like=True, frozen=True):
    """A caller's datagram on its way to the home; it is never relayed twice.

    Attributes:
        service: The service whose address the datagram came to.
        caller_host: Source IP address of the datagram.
        caller_port: Source port of the datagram.
        data: The datagram.
    """

    service: ids.ServiceName
    caller_host: str
    caller_port: int
    data: bytes
