"""The format of packets, as the forwarder asks for it."""

from __future__ import annotations

from typing import Protocol

from persimmonhinge.forwarding import packet as packet_module


class PacketCodec(Protocol):
    """The format of packets; the adapter implements it."""

    def decode(self, octets: bytes) -> packet_module.Packet:
        """Reads a packet."""

    def encode_for_upstream(
        self, packet: packet_module.Packet, number: int, token: int
    ) -> bytes:
        """Returns the datagram that takes a packet to an upstream."""

    def encode_reset(self, packet: packet_module.Packet) -> bytes:
        """Returns the packet that resets a flow."""
