"""The parts of a packet that a forwarding host reads."""

from __future__ import annotations

from persimmonhinge import records
from persimmonhinge.forwarding import flow as flow_module


class Packet(records.Record):
    """A packet on its way from a caller to an upstream.

    Attributes:
        flow: Flow of the packet.
        opens: True for the opening packet of a flow and its copies.
        ends: True if the caller has no more data to send.
        aborts: True if the caller reset the flow.
        copy: Number of the copy of an opening packet; 0 for the original.
        token: Routing token that the caller received and sends back; 0 if it
            has none.
        sequence: Sequence number of the packet's first octet of data.
        acknowledged: Sequence number up to which the caller received the
            upstream's data.
        length: Length of the data, octets.
        octets: The whole packet as received.
    """

    flow: flow_module.FlowId
    opens: bool
    ends: bool
    aborts: bool
    copy: int
    token: int
    sequence: int
    acknowledged: int
    length: int
    octets: bytes
