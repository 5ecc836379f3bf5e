"""A packet of a flow, as far as a host has to understand it."""

from __future__ import annotations

from persimmonhinge import records
from persimmonhinge.forwarding import flow as flow_module


class Packet(records.Record):
    """A packet on its way from a caller to an upstream.

    Attributes:
        flow: The flow.
        opens: True for the first packet of a flow and its copies.
        ends: True if the caller has nothing more to say.
        aborts: True if the caller broke the flow off.
        copy: Number of the copy of an opening packet, 0 for the first.
        token: Routing token that the caller repeats; 0 if it has none.
        sequence: Position of the packet's data in the caller's stream.
        acknowledged: Position up to which the caller has the answer.
        length: Length of the data, octets.
        octets: The whole packet as it came.
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
