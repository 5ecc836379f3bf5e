"""What the forwarder does with an opening packet."""

from __future__ import annotations

import enum

from persimmonhinge import records
from persimmonhinge.forwarding import packet as packet_module


class Action(enum.Enum):
    """What the forwarder does with an opening packet."""

    PLACE = "place"
    RESET = "reset"
    DROP = "drop"


class Verdict(records.Record, frozen=True):
    """What the forwarder does with an opening packet.

    Attributes:
        action: What to do.
        packet: The packet.
        reason: Why.
    """

    action: Action
    packet: packet_module.Packet
    reason: str
