"""Packets of flows, as PROTOCOL.md describes their header."""

from __future__ import annotations

import dataclasses
import socket
import struct

# echo, seq, ack, flags, pad, sum, len, dport, src, dst, sport.
_HEAD = struct.Struct(">IIIB5sIHHIIH")
_TARGET_NUMBER = struct.Struct(">Q")
_NO_PAD = bytes(5)
# The real sum is keyed. 0 marks a reset of the system's own.
_SUM_OF_AN_END = 0x5EED
SEQUENCE_MODULUS = 1 << 32

SYN = 1
ACK = 2
RST = 32
FIN = 128


@dataclasses.dataclass(frozen=True)
class Packet:
    """One packet of a flow.

    Attributes:
        source: Address and port of the sender's end.
        destination: Address and port of the other end.
        flags: Sum of `SYN`, `ACK`, `RST` and `FIN`.
        echo: Last echo that the sender received on the flow.
        sequence: Sequence number of the first octet of data.
        acknowledged: Next octet that the sender expects; in an opening packet
            the number of the copy.
        data: The data.
        by_system: Whether `sum` is 0, as in resets of the system.
    """

    source: tuple[str, int]
    destination: tuple[str, int]
    flags: int
    echo: int = 0
    sequence: int = 0
    acknowledged: int = 0
    data: bytes = b""
    by_system: bool = False

    def has(self, flag: int) -> bool:
        """Returns whether a flag is set."""
        return self.flags & flag != 0

    def encode(self) -> bytes:
        """Returns the datagram."""
        return (
            _HEAD.pack(
                self.echo,
                self.sequence,
                self.acknowledged,
                self.flags,
                _NO_PAD,
                0 if self.by_system else _SUM_OF_AN_END,
                len(self.data),
                self.destination[1],
                _pack_address(self.source[0]),
                _pack_address(self.destination[0]),
                self.source[1],
            )
            + self.data
        )


def decode(octets: bytes) -> Packet:
    """Returns the packet in a datagram."""
    echo, seq, ack, flags, _, total, _, dport, src, dst, sport = (
        _HEAD.unpack_from(octets)
    )
    return Packet(
        source=(_unpack_address(src), sport),
        destination=(_unpack_address(dst), dport),
        flags=flags,
        echo=echo,
        sequence=seq,
        acknowledged=ack,
        data=octets[_HEAD.size :],
        by_system=total == 0,
    )


def decode_for_target(octets: bytes) -> tuple[int, Packet]:
    """Returns the number of the intended target, and the packet."""
    (number,) = _TARGET_NUMBER.unpack_from(octets)
    return number, decode(octets[_TARGET_NUMBER.size :])


def _pack_address(address: str) -> int:
    return int.from_bytes(socket.inet_aton(address))


def _unpack_address(number: int) -> str:
    return socket.inet_ntoa(number.to_bytes(4))
