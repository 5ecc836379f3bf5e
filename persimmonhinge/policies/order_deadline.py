"""Queue that serves the earliest deadline first."""

from __future__ import annotations

from persimmonhinge.policies import order


@order.order_policies.register("deadline")
class DeadlineQueue(order.OrderedQueue):
    """Serves in order of deadlines and ignores priorities."""

    def sort_key(self, work: order.QueuedWork) -> order.SortKey:
        """Returns the deadline and the sequence number."""
        return (work.deadline, work.sequence)
