"""Bounded queue of the new flows that wait at a host."""

from __future__ import annotations

import collections
import heapq

from persimmonhinge import ids
from persimmonhinge.forwarding import flow as flow_module
from persimmonhinge.forwarding import packet as packet_module
from persimmonhinge.forwarding.decisions.admission import waiting_flow
from persimmonhinge.forwarding.decisions.admission import waiting_summary
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.policies import order_fair

if TYPE_CHECKING:
    from persimmonhinge.policies import order


# Number of entries from which those of flows that wait no longer are removed.
_MIN_ENTRIES = 64


class _Queue(order_fair.FairQueue):
    """Flows of one service and priority that wait.

    Attributes:
        work_s: Expected work of all flows, seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.work_s = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, work: order.QueuedWork) -> None:
        """Adds a flow."""
        super().push(work)
        self.work_s += work.cost_s
        self._count += 1

    def discard(self, work: order.QueuedWork) -> None:
        """Removes a flow, which must be in the queue."""
        super().discard(work)
        self.work_s -= work.cost_s
        self._count -= 1


class WaitingFlows:
    """Holds waiting flows in the order in which they are released.

    Order within a service: by priority; flows that can still be answered within
    their target latency before the others; equal shares for the addresses of
    callers; earliest deadline first.
    """

    def __init__(self, max_flows: int) -> None:
        """Creates an empty queue.

        Args:
            max_flows: Maximum number of flows that wait.
        """
        self._max_flows = max_flows
        self._by_id: dict[flow_module.FlowId, waiting_flow.WaitingFlow] = {}
        self._queues: dict[ids.ServiceName, dict[int, _Queue]] = {}
        # Flows in order of arrival, and in order of their deadlines; both may
        # hold flows that wait no longer.
        self._by_arrival: collections.deque[waiting_flow.WaitingFlow] = (
            collections.deque()
        )
        self._by_deadline: list[
            tuple[float, int, waiting_flow.WaitingFlow]
        ] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, flow: flow_module.FlowId) -> waiting_flow.WaitingFlow | None:
        """Returns a waiting flow, or None if it does not wait."""
        return self._by_id.get(flow)

    def add(
        self, flow: waiting_flow.WaitingFlow
    ) -> waiting_flow.WaitingFlow | None:
        """Adds a flow.

        Returns:
            The last flow in order, which had to leave the full queue. It may be
            the new one. None if there was a place.
        """
        self._by_id[flow.packet.flow] = flow
        self._push(flow)
        self._by_arrival.append(flow)
        heapq.heappush(self._by_deadline, (flow.deadline, flow.sequence, flow))
        if len(self) <= self._max_flows:
            return None
        last = self._find_last()
        self.remove(last)
        return last

    def replace_packet(self, packet: packet_module.Packet) -> bool:
        """Replaces the opening packet of a waiting flow by a copy of it.

        Returns:
            Whether the flow waits.
        """
        flow = self._by_id.get(packet.flow)
        if flow is not None:
            flow.packet = packet
        return flow is not None

    def remove(self, flow: waiting_flow.WaitingFlow) -> None:
        """Removes a waiting flow."""
        del self._by_id[flow.packet.flow]
        queues = self._queues[flow.service]
        queues[flow.route.priority].discard(flow)
        self._remove_empty(flow.service, flow.route.priority)
        self._remove_old_entries()

    def list_services(self) -> list[ids.ServiceName]:
        """Returns the services for which flows wait."""
        return list(self._queues)

    def list_priorities(self, service: ids.ServiceName) -> list[int]:
        """Returns the priorities of a service's flows, most urgent first."""
        return sorted(self._queues.get(service, ()))

    def count(self, service: ids.ServiceName, priority: int) -> int:
        """Returns the number of waiting flows of a service and priority."""
        queue = self._queues.get(service, {}).get(priority)
        return len(queue) if queue is not None else 0

    def list_summaries(self) -> list[waiting_summary.WaitingSummary]:
        """Returns what waits for each service and priority.

        The cost grows with the number of waiting flows.
        """
        flows = sorted(self._by_id.values(), key=lambda flow: flow.arrived_at)
        groups: dict[
            tuple[ids.ServiceName, int], list[waiting_flow.WaitingFlow]
        ] = {}
        for flow in flows:
            key = (flow.service, flow.route.priority)
            groups.setdefault(key, []).append(flow)
        return [
            waiting_summary.WaitingSummary(
                service=service,
                priority=priority,
                count=len(group),
                late_count=sum(flow.is_late for flow in group),
                oldest_arrived_at=group[0].arrived_at,
            )
            for (service, priority), group in groups.items()
        ]

    def peek(
        self, service: ids.ServiceName, priority: int
    ) -> waiting_flow.WaitingFlow:
        """Returns the flow of a priority that goes first; one has to wait."""
        found = self._queues[service][priority].peek()
        return self._by_id[found.packet.flow]  # type: ignore[attr-defined]

    def pop(
        self, service: ids.ServiceName, priority: int
    ) -> waiting_flow.WaitingFlow:
        """Removes and returns the flow of a priority that goes first."""
        flow = self.peek(service, priority)
        self._queues[service][priority].pop()
        del self._by_id[flow.packet.flow]
        self._remove_empty(service, priority)
        self._remove_old_entries()
        return flow

    def compute_work_ahead_s(
        self, flow: waiting_flow.WaitingFlow, enough_s: float
    ) -> float:
        """Returns the expected work ahead of a new flow, seconds.

        Args:
            flow: The flow.
            enough_s: Work from which on the rest is left out, seconds.
        """
        queues = self._queues.get(flow.service, {})
        priority = flow.route.priority
        work_s = sum(q.work_s for p, q in queues.items() if p < priority)
        if priority in queues:
            for queued in queues[priority].iterate_ahead(flow):
                work_s += queued.cost_s
                if work_s >= enough_s:
                    break
        return work_s

    def has_ahead(self, flow: waiting_flow.WaitingFlow) -> bool:
        """Returns whether any flow waits ahead of a new one."""
        queues = self._queues.get(flow.service, {})
        if any(priority < flow.route.priority for priority in queues):
            return True
        return self.has_ahead_of_priority(flow)

    def has_ahead_of_priority(self, flow: waiting_flow.WaitingFlow) -> bool:
        """Returns whether a flow of its priority waits ahead of a new one."""
        queue = self._queues.get(flow.service, {}).get(flow.route.priority)
        if queue is None:
            return False
        return next(queue.iterate_ahead(flow), None) is not None

    def mark_late(self, now: float) -> None:
        """Moves flows whose deadline has passed behind the others."""
        while self._by_deadline and self._by_deadline[0][0] < now:
            flow = heapq.heappop(self._by_deadline)[2]
            if flow.is_late or not self._is_waiting(flow):
                continue
            queue = self._queues[flow.service][flow.route.priority]
            queue.discard(flow)
            flow.priority = waiting_flow.make_rank(flow.route.priority, True)
            queue.push(flow)

    def pop_expired(self, now: float) -> waiting_flow.WaitingFlow | None:
        """Removes and returns the flow that expired first; None if none did."""
        self._remove_old_entries()
        if not self._by_arrival or self._by_arrival[0].expires_at > now:
            return None
        flow = self._by_arrival[0]
        self.remove(flow)
        return flow

    def _push(self, flow: waiting_flow.WaitingFlow) -> None:
        queues = self._queues.setdefault(flow.service, {})
        queue = queues.get(flow.route.priority)
        if queue is None:
            queue = queues[flow.route.priority] = _Queue()
        queue.push(flow)

    def _find_last(self) -> waiting_flow.WaitingFlow:
        """Returns the last flow of the least urgent priority.

        If flows of several services have this priority, it is one of the
        service with the most of them.
        """
        queues = [
            (priority, len(queue), service)
            for service, by_priority in self._queues.items()
            for priority, queue in by_priority.items()
        ]
        priority, _, service = max(queues)
        last = self._queues[service][priority].list_tails()[0]
        return self._by_id[last.packet.flow]  # type: ignore[attr-defined]

    def _remove_empty(self, service: ids.ServiceName, priority: int) -> None:
        queues = self._queues[service]
        if not len(queues[priority]):
            del queues[priority]
        if not queues:
            del self._queues[service]

    def _remove_old_entries(self) -> None:
        """Removes flows that wait no longer from the orders by time."""
        while self._by_arrival and not self._is_waiting(self._by_arrival[0]):
            self._by_arrival.popleft()
        max_entries = _MIN_ENTRIES + 2 * len(self)
        if len(self._by_arrival) > max_entries:
            kept = [f for f in self._by_arrival if self._is_waiting(f)]
            self._by_arrival = collections.deque(kept)
        if len(self._by_deadline) > max_entries:
            self._by_deadline = [
                entry
                for entry in self._by_deadline
                if self._is_waiting(entry[2])
            ]
            heapq.heapify(self._by_deadline)

    def _is_waiting(self, flow: waiting_flow.WaitingFlow) -> bool:
        return self._by_id.get(flow.packet.flow) is flow
