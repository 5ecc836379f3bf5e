"""Queue that serves in order of arrival."""

from __future__ import annotations

from persimmonhinge.policies import order


@order.order_policies.register("fifo")
class FifoQueue(order.OrderedQueue):
    """Serves in order of arrival."""

    def sort_key(self, work: order.QueuedWork) -> order.SortKey:
        """Returns the sequence number."""
        return (work.sequence,)
