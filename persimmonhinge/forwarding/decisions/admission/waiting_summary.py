"""Flows of one service and priority that wait."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge import records


class WaitingSummary(records.Record, frozen=True):
    """Flows of one service and priority that wait.

    Attributes:
        service: The service.
        priority: The priority.
        count: Number of flows.
        late_count: Number of those that can't be answered within the target
            latency any more.
        oldest_arrived_at: When the flow that has waited longest arrived,
            seconds.
    """

    service: ids.ServiceName
    priority: int
    count: int
    late_count: int
    oldest_arrived_at: float
