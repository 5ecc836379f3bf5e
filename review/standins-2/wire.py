"""Packets of the platform, as both ends of a flow and hosts exchange them."""

from __future__ import annotations

import dataclasses
import socket
import struct

HEAD = struct.Struct(">IIIB5sIHHIIH")
NUMBER = struct.Struct(">Q")
SYN, ACK, RST, FIN = 1, 2, 32, 128
# The key of `sum` is not disclosed; any value but 0 shows that an end of the
# flow, and not a host, wrote the packet.
SUM_OF_AN_END = 0x5EA1
MODULUS = 1 << 32


@dataclasses.dataclass(frozen=True)
class Packet:
    """A packet.

    Attributes:
        src: Address of the sending end, 32 bits.
        sport: Its port.
        dst: Address of the receiving end, 32 bits.
        dport: Its port.
        flags: Flags.
        seq: Sequence number.
        ack: Acknowledged number; the number of the copy in a SYN.
        echo: What the system wrote, or the end repeats.
        data: The data.
        sum: 0 in a reset of the system.
    """

    src: int
    sport: int
    dst: int
    dport: int
    flags: int
    seq: int
    ack: int
    echo: int = 0
    data: bytes = b""
    sum: int = SUM_OF_AN_END

    def encode(self) -> bytes:
        """Returns the datagram."""
        head = HEAD.pack(
            self.echo,
            self.seq,
            self.ack,
            self.flags,
            bytes(5),
            self.sum,
            len(self.data),
            self.dport,
            self.src,
            self.dst,
            self.sport,
        )
        return head + self.data

    def describe(self) -> str:
        """Returns the flags and the length, for the record."""
        names = ((SYN, "SYN"), (ACK, "ACK"), (FIN, "FIN"), (RST, "RST"))
        flags = "+".join(name for bit, name in names if self.flags & bit)
        return f"{flags} seq {self.seq} ack {self.ack} len {len(self.data)}"


def decode(octets: bytes) -> Packet:
    """Reads a packet."""
    echo, seq, ack, flags, _, checksum, length, dport, src, dst, sport = (
        HEAD.unpack_from(octets)
    )
    data = octets[HEAD.size : HEAD.size + length]
    return Packet(src, sport, dst, dport, flags, seq, ack, echo, data, checksum)


def number_of(text: str) -> int:
    """Returns the 32 bits of an IPv4 address."""
    return int.from_bytes(socket.inet_aton(text), "big")


def text_of(number: int) -> str:
    """Returns an IPv4 address as text."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))
