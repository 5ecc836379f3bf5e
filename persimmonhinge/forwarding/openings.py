"""Opening packets that wait for the caller to go on."""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses

import trio

from persimmonhinge import ids
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import packet as packets

# Time after which an opening packet counts as unanswered, seconds. A live
# upstream answers within 0.3 ms, and the caller goes on 4 ms (Market, Utility)
# to 9 ms (the Utility grown) after its opening packet came by.
ANSWER_S = 0.03


@dataclasses.dataclass(slots=True)
class Opening:
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

    def __init__(self, clock: Callable[[], float] = trio.current_time) -> None:
        self._clock = clock
        self._waiting: dict[flows.FlowId, Opening] = {}
        self._order: collections.deque[Opening] = collections.deque()
        self._added = trio.Event()

    def add(self, packet: packets.Packet, tried: list[ids.UpstreamId]) -> None:
        """Waits for the caller of a packet that was just sent on."""
        opening = Opening(packet, tried, self._clock() + ANSWER_S)
        self._waiting[packet.flow] = opening
        self._order.append(opening)
        self._added.set()

    def remove(self, flow: flows.FlowId) -> Opening | None:
        """Stops waiting for a flow; returns its opening."""
        return self._waiting.pop(flow, None)

    async def run(self, handle: Callable[[Opening], None]) -> None:
        """Hands on what is not answered in time, until cancelled.

        Guards against taking upstreams for dead after this process itself
        stood still: the answers may lie unread in the socket by then. A timer
        that fires late gives the packets one more turn to be read.
        """
        while True:
            if not self._order:
                self._added = trio.Event()
                await self._added.wait()
            opening = self._order[0]
            await trio.sleep_until(opening.due_at)
            late_s = self._clock() - opening.due_at
            if late_s > ANSWER_S / 3:
                await trio.sleep(ANSWER_S / 3)
            self._order.popleft()
            if self._waiting.get(opening.packet.flow) is opening:
                del self._waiting[opening.packet.flow]
                handle(opening)
