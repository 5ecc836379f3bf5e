"""Earliest deadline first."""

from __future__ import annotations

from persimmonhinge.policies import order


@order.orders.register("deadline")
class DeadlineOrder(order.Order):
    """Serves in order of deadlines, whatever the priority."""

    def sort_key(self, waiting: order.Waiting) -> order.SortKey:
        """Returns the deadline, then the number of arrival."""
        return (waiting.deadline, waiting.sequence)
