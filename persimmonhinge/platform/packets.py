"""The header of the users' packets."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import packet as packets
from persimmonhinge.platform import header


def decode(octets: bytes) -> packets.Packet:
    """Reads a packet of a caller.

    Raises:
        MalformedPacketError: It is too short or too long, or its length is
            not the one that it states. Its peer is the caller's address and
            port if there is a header.
    """
    if len(octets) < header.HEAD.size:
        raise _make_error(f"{len(octets)} octets are less than a header")
    token, seq, ack, flags, _, _, length, dport, src, dst, sport = (
        header.HEAD.unpack_from(octets)
    )
    if (
        length > header.MOST_DATA_OCTETS
        or len(octets) != header.HEAD.size + length
    ):
        caller = f"{flows.format_address(src)}:{sport}"
        raise _make_error(
            f"{len(octets)} octets hold no {length} of data", caller
        )
    opens = flags & header.OPENS != 0
    return packets.Packet(
        flow=flows.FlowId(src, sport, dst, dport),
        opens=opens,
        ends=flags & header.ENDS != 0,
        aborts=flags & header.ABORTS != 0,
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
            header.UPSTREAM_NUMBER.pack(number),
            header.TOKEN.pack(token),
            packet.octets[header.TOKEN.size :],
        )
    )


def encode_reset(packet: packets.Packet) -> bytes:
    """Returns the packet that resets the flow of a caller's packet."""
    flow = packet.flow
    return header.HEAD.pack(
        0,
        # What the caller expects next; it ignores a reset far from there.
        0 if packet.opens else packet.acknowledged,
        0,
        header.ABORTS,
        header.NO_PAD,
        0,
        0,
        flow.caller_port,
        flow.service,
        flow.caller,
        flow.service_port,
    )


def _make_error(reason: str, peer: str = "") -> errors.MalformedPacketError:
    return errors.MalformedPacketError(reason, step="decode packet", peer=peer)
