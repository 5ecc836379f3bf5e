"""Opening packets that wait for the caller to go on."""

from __future__ import annotations

import collections
from collections.abc import Callable
import time

import msgspec

from persimmonhinge import ids
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import packet as packets

# Time after which an opening packet counts as unanswered, seconds. A live
# upstream answers within 0.3 ms, and the caller goes on 4 ms (Market, Utility)
# to 9 ms (the Utility grown) after its opening packet came by.
ANSWER_S = 0.03


class Opening(msgspec.Struct, eq=False):
    """An opening packet that was forwarded.

    Attributes:
        packet: The packet.
        tried: Upstreams that it was sent to, in order.
        due_at: When it counts as unanswered.
    """

    packet: packets.Packet
    tried: list[ids.UpstreamId]
    due_at: float


class Openings:
    """Waits for each opening packet, and hands on those left unanswered."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._waiting: dict[flows.FlowId, Opening] = {}
        self._order: collections.deque[Opening] = collections.deque()

    def add(self, packet: packets.Packet, tried: list[ids.UpstreamId]) -> None:
        """Waits for the caller of a packet that was just sent on."""
        opening = Opening(packet, tried, self._clock() + ANSWER_S)
        self._waiting[packet.flow] = opening
        self._order.append(opening)

    def remove(self, flow: flows.FlowId) -> Opening | None:
        """Stops waiting for a flow; returns its opening."""
        return self._waiting.pop(flow, None)

    def next_due(self) -> float | None:
        """Returns when the next one may be due, None if none waits."""
        while self._order and not self._waits(self._order[0]):
            self._order.popleft()
        return self._order[0].due_at if self._order else None

    def take_due(self) -> list[Opening]:
        """Returns those that are left unanswered, and stops waiting."""
        now = self._clock()
        due: list[Opening] = []
        while self._order and self._order[0].due_at <= now:
            opening = self._order.popleft()
            if self._waits(opening):
                del self._waiting[opening.packet.flow]
                due.append(opening)
        return due

    def _waits(self, opening: Opening) -> bool:
        return self._waiting.get(opening.packet.flow) is opening
