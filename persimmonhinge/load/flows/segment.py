"""A packet as the two ends of a flow write and read it."""

from __future__ import annotations

import msgspec

from persimmonhinge.forwarding import flow as flows


class Segment(msgspec.Struct, frozen=True, gc=False, kw_only=True):
    """A packet of a flow.

    Attributes:
        flow: The flow.
        to_caller: True for a packet to the caller, false for one from it.
        opens: True for an opening packet and for its answer.
        acknowledges: True if `acknowledged` means something.
        ends: True if the sender has nothing more to say.
        aborts: True if the flow is broken off.
        by_host: True if it was written by a host between the two ends.
        token: Routing token that the sender repeats.
        sequence: Position of the data in the sender's stream.
        acknowledged: Position up to which the sender has the other stream;
            the number of the copy for an opening packet.
        data: The data.
    """

    flow: flows.FlowId
    to_caller: bool
    opens: bool = False
    acknowledges: bool = False
    ends: bool = False
    aborts: bool = False
    by_host: bool = False
    token: int = 0
    sequence: int = 0
    acknowledged: int = 0
    data: bytes = b""
