"""Tests of the header of packets."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from persimmonhinge import errors
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.platform import packets

_OPENING = bytes.fromhex(
    "00000000 11223344 00000000 01 0000000000 a1b2c3d5 0000 01bb"
    "64400007 c6120001 9c41"
)


def test_opening_packet_is_read() -> None:
    packet = packets.decode(_OPENING)
    assert packet.opens
    assert not packet.ends
    assert not packet.aborts
    assert packet.flow == flows.FlowId(0x64400007, 40001, 0xC6120001, 443)
    assert str(packet.flow) == "100.64.0.7:40001>198.18.0.1:443"
    assert packet.sequence == 0x11223344


def test_reset_is_as_the_platform_shows_it() -> None:
    expected = bytes.fromhex(
        "00000000 00000000 00000000 20 0000000000 00000000 0000 9c41"
        "c6120001 64400007 01bb"
    )
    assert packets.encode_reset(packets.decode(_OPENING)) == expected


@hypothesis.given(strategies.binary(max_size=1300))
def test_what_is_read_is_handed_on_unchanged_but_for_the_token(
    octets: bytes,
) -> None:
    try:
        packet = packets.decode(octets)
    except errors.MalformedPacketError:
        return
    sent = packets.encode_for_upstream(packet, 5, 0xABCD)
    assert sent[:8] == (5).to_bytes(8)
    assert sent[8:12] == (0xABCD).to_bytes(4)
    assert sent[12:] == octets[4:]


@hypothesis.given(strategies.integers(0, 65_535), strategies.binary())
def test_length_must_be_the_one_that_is_stated(
    length: int, data: bytes
) -> None:
    octets = bytes(22) + length.to_bytes(2) + bytes(12) + data
    if length == len(data) <= 1200:
        assert packets.decode(octets).length == length
        return
    try:
        packets.decode(octets)
    except errors.MalformedPacketError:
        return
    raise AssertionError("a packet with a false length was taken")
