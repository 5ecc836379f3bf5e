"""Opening packets that wait for the caller to go on."""

from __future__ import annotations

import collections
from collections.abc import Callable
import time

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import packet as packets
from persimmonhinge.forwarding.decisions import answer_limit

# A caller gives an opening up after 1.4 s; nothing is learned from it then.
_FORGET_S = 1.4


class Opening(records.Record):
    """An opening packet that was forwarded.

    Attributes:
        packet: The packet.
        tried: Upstreams that it was sent to, in order.
        due_at: When it counts as unanswered.
    """

    packet: packets.Packet
    tried: list[ids.UpstreamId]
    due_at: float


class FirstTry(records.Record, frozen=True):
    """Where the opening packet of a flow was sent first.

    Attributes:
        upstream: The upstream.
        at: When.
    """

    upstream: ids.UpstreamId
    at: float


class Openings:
    """Waits for each opening packet, and hands on those left unanswered."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._waiting: dict[flows.FlowId, Opening] = {}
        self._order: collections.deque[Opening] = collections.deque()
        self._first: collections.OrderedDict[flows.FlowId, FirstTry] = (
            collections.OrderedDict()
        )
        self._limit = answer_limit.AnswerLimit()

    def add(self, packet: packets.Packet, tried: list[ids.UpstreamId]) -> None:
        """Waits for the caller of a packet that was just sent on."""
        now = self._clock()
        opening = Opening(packet, tried, now + self._limit.value_s)
        self._waiting[packet.flow] = opening
        self._order.append(opening)
        if len(tried) == 1:
            self._first[packet.flow] = FirstTry(tried[0], now)
        self._forget_before(now - _FORGET_S)

    def record_answer(
        self, flow: flows.FlowId, upstream: ids.UpstreamId
    ) -> None:
        """Stops waiting for a flow that an upstream has accepted.

        An answer that comes after the packet was sent elsewhere is learned
        from, too: its token tells that it is one to the first try.
        """
        self._waiting.pop(flow, None)
        first = self._first.pop(flow, None)
        if first is not None and first.upstream == upstream:
            self._limit.add(self._clock() - first.at)

    def remove(self, flow: flows.FlowId) -> None:
        """Stops waiting for a flow."""
        self._waiting.pop(flow, None)
        self._first.pop(flow, None)

    def find_waiting(self, flow: flows.FlowId) -> Opening | None:
        """Returns the opening packet of a flow that may yet be answered."""
        opening = self._waiting.get(flow)
        if opening is None or opening.due_at <= self._clock():
            return None
        return opening

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

    def _forget_before(self, time_s: float) -> None:
        while self._first:
            flow, first = next(iter(self._first.items()))
            if first.at >= time_s:
                break
            del self._first[flow]

    def _waits(self, opening: Opening) -> bool:
        return self._waiting.get(opening.packet.flow) is opening
