"""The format of packets, as the forwarder asks for it."""

from __future__ import annotations

from typing import Protocol

from persimmonhinge.forwarding import packet as packets


class PacketCodec(Protocol):
    """The format of packets; the adapter implements it."""

    def decode(self, octets: bytes) -> packets.Packet:
        """Reads a packet."""

    def encode_for_upstream(
        self, packet: packets.Packet, number: int, token: int
    ) -> bytes:
        """Returns the datagram that takes a packet to an upstream."""

    def encode_reset(self, packet: packets.Packet) -> bytes:
        """Returns the packet that resets a flow."""
