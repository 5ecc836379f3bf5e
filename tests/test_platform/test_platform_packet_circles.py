"""Tests of packets for an upstream at the address of a host."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from persimmonhinge import errors
from persimmonhinge.platform import header
from persimmonhinge.platform import packets

# Hops of a packet without data until it is longer than any packet.
_MAX_HOPS = header.MOST_DATA_OCTETS // header.UPSTREAM_NUMBER.size + 1
_LENGTH_OFFSET = 22


@hypothesis.given(
    strategies.binary(min_size=header.HEAD.size, max_size=200),
    strategies.integers(0, 2**64 - 1),
)
def test_packet_sent_to_a_host_does_not_circle(
    octets: bytes, number: int
) -> None:
    """Guards against hosts that send a packet to each other without end.

    The entry of an upstream may name the address of a host. Even if the
    packet always names a token that is known there and the length that it
    has, it is too long after some hops, as each adds the number.
    """
    hops = 0
    while hops <= _MAX_HOPS:
        length = len(octets) - header.HEAD.size
        data_length = length.to_bytes(2)
        octets = (
            octets[:_LENGTH_OFFSET] + data_length + octets[_LENGTH_OFFSET + 2 :]
        )
        try:
            packet = packets.decode(octets)
        except errors.MalformedPacketError:
            break
        octets = packets.encode_for_upstream(packet, number, 1)
        hops += 1
    assert hops <= _MAX_HOPS


def test_packet_sent_to_a_host_is_refused_there() -> None:
    """Guards against resets that answer packets of other hosts."""
    sent = header.HEAD.pack(
        1, 2, 3, header.OPENS, header.NO_PAD, 4, 0, 443, 5, 6, 40_001
    )
    datagram = packets.encode_for_upstream(packets.decode(sent), 7, 8)
    try:
        packets.decode(datagram)
    except errors.MalformedPacketError:
        return
    raise AssertionError("a packet for an upstream was taken for a caller's")
