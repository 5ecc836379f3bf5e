"""Packets in the users' format, as the two ends of a flow see them.

Used by callers under load and by stand-ins; a host looks at less of a packet.
"""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.load.flows import segment as segments
from persimmonhinge.platform import header

# The users' own sum has a secret key. Any number but 0 tells that a packet
# was not written by a host.
_SUM_OF_AN_END = 1


def encode(segment: segments.Segment) -> bytes:
    """Returns the packet that takes a segment to the other end."""
    flow = segment.flow
    caller = (flow.caller, flow.caller_port)
    service = (flow.service, flow.service_port)
    to, by = (caller, service) if segment.to_caller else (service, caller)
    head = header.HEAD.pack(
        segment.token,
        segment.sequence,
        segment.acknowledged,
        _encode_flags(segment),
        header.NO_PAD,
        0 if segment.by_host else _SUM_OF_AN_END,
        len(segment.data),
        to[1],
        by[0],
        to[0],
        by[1],
    )
    return head + segment.data


def decode(octets: bytes, *, to_caller: bool) -> segments.Segment:
    """Reads a packet.

    Args:
        octets: The packet.
        to_caller: True if the reader is the caller.

    Raises:
        MalformedPacketError: It is too short.
    """
    if len(octets) < header.HEAD.size:
        text = f"{len(octets)} octets are less than a header"
        raise errors.MalformedPacketError(text, step="decode segment")
    token, seq, ack, flags, _, checksum, _, dport, src, dst, sport = (
        header.HEAD.unpack_from(octets)
    )
    if to_caller:
        flow = flows.FlowId(dst, dport, src, sport)
    else:
        flow = flows.FlowId(src, sport, dst, dport)
    return segments.Segment(
        flow=flow,
        to_caller=to_caller,
        opens=flags & header.OPENS != 0,
        acknowledges=flags & header.ACKNOWLEDGES != 0,
        ends=flags & header.ENDS != 0,
        aborts=flags & header.ABORTS != 0,
        by_host=checksum == 0,
        token=token,
        sequence=seq,
        acknowledged=ack,
        data=octets[header.HEAD.size :],
    )


def decode_at_upstream(octets: bytes) -> tuple[int, segments.Segment]:
    """Reads a datagram as an upstream gets it from a host.

    Returns:
        Number of the upstream that it is meant for, and the segment.

    Raises:
        MalformedPacketError: It is too short.
    """
    size = header.UPSTREAM_NUMBER.size
    number = int.from_bytes(octets[:size])
    return number, decode(octets[size:], to_caller=False)


def _encode_flags(segment: segments.Segment) -> int:
    flags = 0
    if segment.opens:
        flags |= header.OPENS
    if segment.acknowledges:
        flags |= header.ACKNOWLEDGES
    if segment.ends:
        flags |= header.ENDS
    if segment.aborts:
        flags |= header.ABORTS
    return flags
