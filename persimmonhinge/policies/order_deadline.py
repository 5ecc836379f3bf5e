"""Earliest deadline first."""

from __future__ import annotations

from persimmonhinge.policies import order


@order.order_policies.register("deadline")
class DeadlineQueue(order.OrderedQueue):
    """Serves in order of deadlines, whatever the priority."""

    def sort_key(self, work: order.QueuedWork) -> order.SortKey:
        """Returns the deadline, then the number of arrival."""
        return (work.deadline, work.sequence)
