"""Opening packets that are waiting for the next packet of their caller."""

from __future__ import annotations

import collections
from collections.abc import Callable
import time

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import flow as flow_module
from persimmonhinge.forwarding import packet as packet_module
from persimmonhinge.forwarding.decisions.upstream_health import answer_timeout

# A caller gives up an opening after 1.4 s. Its answer time is not used then.
_MAX_ATTEMPT_AGE_S = 1.4
# Maximum number of openings, and of first attempts, that are kept; an opening
# with its packet takes 2 KB at most.
MAX_OPENINGS = 10_000


class Opening(records.Record):
    """An opening packet that was forwarded.

    Attributes:
        packet: The packet.
        tried_upstreams: Upstreams that it was sent to, in this order.
        due_at: Time from which it counts as unanswered, seconds.
    """

    packet: packet_module.Packet
    tried_upstreams: list[ids.UpstreamId]
    due_at: float


class FirstAttempt(records.Record, frozen=True):
    """First attempt to forward the opening packet of a flow.

    Attributes:
        upstream: The upstream that it was sent to.
        sent_at: Time when it was sent, seconds.
    """

    upstream: ids.UpstreamId
    sent_at: float


class Openings:
    """Keeps opening packets until they are answered or time out."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._pending: dict[flow_module.FlowId, Opening] = {}
        self._in_send_order: collections.deque[Opening] = collections.deque()
        self._first_attempts: collections.OrderedDict[
            flow_module.FlowId, FirstAttempt
        ] = collections.OrderedDict()
        self._answer_timeout = answer_timeout.AnswerTimeout()

    def add(
        self,
        packet: packet_module.Packet,
        tried_upstreams: list[ids.UpstreamId],
    ) -> bool:
        """Adds an opening packet that was just forwarded.

        Args:
            packet: The packet.
            tried_upstreams: Upstreams that it was sent to, in this order.

        Returns:
            Whether the oldest opening was removed, as there are too many. It
            is not retried unless its caller sends a copy.
        """
        now = self._clock()
        opening = Opening(
            packet, tried_upstreams, now + self._answer_timeout.value_s
        )
        self._pending[packet.flow] = opening
        self._in_send_order.append(opening)
        if len(tried_upstreams) == 1:
            self._first_attempts[packet.flow] = FirstAttempt(
                tried_upstreams[0], now
            )
        self._remove_old_attempts(now - _MAX_ATTEMPT_AGE_S)
        if len(self._in_send_order) <= MAX_OPENINGS:
            return False
        return self._remove_oldest()

    def record_answer(
        self, flow: flow_module.FlowId, upstream: ids.UpstreamId
    ) -> None:
        """Removes the opening packet of a flow that an upstream has accepted.

        The answer time is also used if the packet has been sent to another
        upstream since: the routing token in the caller's next packet shows
        that the first attempt was answered.
        """
        self._pending.pop(flow, None)
        first = self._first_attempts.pop(flow, None)
        if first is not None and first.upstream == upstream:
            self._answer_timeout.add_answer_time(self._clock() - first.sent_at)

    def remove(self, flow: flow_module.FlowId) -> None:
        """Removes the opening packet of a flow."""
        self._pending.pop(flow, None)
        self._first_attempts.pop(flow, None)

    def find_pending(self, flow: flow_module.FlowId) -> Opening | None:
        """Returns the opening packet of a flow if its answer is not overdue."""
        opening = self._pending.get(flow)
        if opening is None or opening.due_at <= self._clock():
            return None
        return opening

    def get_next_due_at(self) -> float | None:
        """Returns when the next opening is due, None if none is pending."""
        while self._in_send_order and not self._is_pending(
            self._in_send_order[0]
        ):
            self._in_send_order.popleft()
        return self._in_send_order[0].due_at if self._in_send_order else None

    def pop_due(
        self, due_until: float | None = None, max_count: int | None = None
    ) -> list[Opening]:
        """Removes and returns the openings that were not answered in time.

        Args:
            due_until: Time until which they were due, seconds; None for now.
            max_count: Maximum number of them; None for all.
        """
        if due_until is None:
            due_until = self._clock()
        due: list[Opening] = []
        while (
            self._in_send_order and self._in_send_order[0].due_at <= due_until
        ):
            if len(due) == max_count:
                break
            opening = self._in_send_order.popleft()
            if self._is_pending(opening):
                del self._pending[opening.packet.flow]
                due.append(opening)
        return due

    def _remove_oldest(self) -> bool:
        """Removes the oldest opening; returns whether it was unanswered."""
        oldest = self._in_send_order.popleft()
        if not self._is_pending(oldest):
            return False
        del self._pending[oldest.packet.flow]
        return True

    def _remove_old_attempts(self, min_sent_at: float) -> None:
        while self._first_attempts:
            flow, first = next(iter(self._first_attempts.items()))
            if (
                first.sent_at >= min_sent_at
                and len(self._first_attempts) <= MAX_OPENINGS
            ):
                break
            del self._first_attempts[flow]

    def _is_pending(self, opening: Opening) -> bool:
        return self._pending.get(opening.packet.flow) is opening
