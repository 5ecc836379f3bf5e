"""First come, first served."""

from __future__ import annotations

from persimmonhinge.policies import order


@order.orders.register("fifo")
class FifoOrder(order.Order):
    """Serves in order of arrival."""

    def sort_key(self, waiting: order.Waiting) -> order.SortKey:
        """Returns the number of arrival."""
        return (waiting.sequence,)
