"""The header of the users' packets."""

from __future__ import annotations

import struct

from persimmonhinge import errors
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import packet as packets

# Routing token (`echo`), sequence, acknowledged, flags, `pad`, `sum`, length
# of the data, then port of the receiving end, address of the sending end,
# address of the receiving end, port of the sending end.
_HEADER = struct.Struct(">IIIB5sIHHIIH")
_TOKEN = struct.Struct(">I")
_UPSTREAM_NUMBER = struct.Struct(">Q")
_MOST_DATA_OCTETS = 1200
_OPENS = 1
_ENDS = 128
_ABORTS = 32
_NO_PAD = bytes(5)


def decode(octets: bytes) -> packets.Packet:
    """Reads a packet of a caller.

    Raises:
        MalformedPacketError: It is too short or too long, or its length is
            not the one that it states.
    """
    if len(octets) < _HEADER.size:
        raise _make_error(f"{len(octets)} octets are less than a header")
    token, seq, ack, flags, _, _, length, dport, src, dst, sport = (
        _HEADER.unpack_from(octets)
    )
    if length > _MOST_DATA_OCTETS or len(octets) != _HEADER.size + length:
        raise _make_error(f"{len(octets)} octets hold no {length} of data")
    opens = flags & _OPENS != 0
    return packets.Packet(
        flow=flows.FlowId(src, sport, dst, dport),
        opens=opens,
        ends=flags & _ENDS != 0,
        aborts=flags & _ABORTS != 0,
        # An opening packet acknowledges nothing: there it counts the copies.
        copy=ack if opens else 0,
        token=token,
        sequence=seq,
        acknowledged=ack,
        length=length,
        octets=octets,
    )


def encode_for_upstream(
    packet: packets.Packet, number: int, token: int
) -> bytes:
    """Returns the datagram that takes a packet to an upstream.

    Args:
        packet: The packet.
        number: Number of the upstream that it is meant for.
        token: Routing token that the upstream repeats to the caller.
    """
    return b"".join(
        (
            _UPSTREAM_NUMBER.pack(number),
            _TOKEN.pack(token),
            packet.octets[_TOKEN.size :],
        )
    )


def encode_reset(packet: packets.Packet) -> bytes:
    """Returns the packet that resets the flow of a caller's packet."""
    flow = packet.flow
    return _HEADER.pack(
        0,
        # What the caller expects next; it ignores a reset far from there.
        0 if packet.opens else packet.acknowledged,
        0,
        _ABORTS,
        _NO_PAD,
        0,
        0,
        flow.caller_port,
        flow.service,
        flow.caller,
        flow.service_port,
    )


def _make_error(text: str) -> errors.MalformedPacketError:
    return errors.MalformedPacketError(text, step="decode packet")
