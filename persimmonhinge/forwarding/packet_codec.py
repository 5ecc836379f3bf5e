"""Interface through which the forwarder decodes and encodes packets."""

from __future__ import annotations

from typing import Protocol

from persimmonhinge.forwarding import packet as packet_module


class PacketCodec(Protocol):
    """Decodes and encodes packets; implemented by the platform adapter."""

    def decode(self, octets: bytes) -> packet_module.Packet:
        """Decodes a packet of a caller."""

    def encode_for_upstream(
        self, packet: packet_module.Packet, number: int, token: int
    ) -> bytes:
        """Returns the datagram that carries a packet to an upstream.

        Args:
            packet: The packet of the caller.
            number: Number of the upstream, as packets carry it.
            token: Routing token of the upstream, which the upstream sends back
                to the caller.
        """

    def encode_reset(self, packet: packet_module.Packet) -> bytes:
        """Returns the packet that resets the flow of a packet."""
