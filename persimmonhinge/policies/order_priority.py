"""Queue that serves by priority and guarantees shares to call classes."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.policies import order


@order.order_policies.register("priority")
class PriorityQueue(order.OrderedQueue):
    """Serves by priority, then by deadline, and guarantees the shares.

    Without shares, a class of low priority would starve under a steady load
    of calls of high priority. While a class with a share has queued work, it
    gains credit: its share of the slot time that is assigned to any class.
    Once its credit covers the cost of the first work in its queue, that work
    goes next. A class with an empty queue gains no credit, so the other
    classes use its share, and it can't accumulate credit for a burst.
    """

    def __init__(self) -> None:
        super().__init__()
        self._credit_s: dict[ids.CallClassName, float] = {}

    def sort_key(self, work: order.QueuedWork) -> order.SortKey:
        """Returns the priority, the deadline and the sequence number."""
        return (work.priority, work.deadline, work.sequence)

    def choose_next(self, heads: list[order.QueuedWork]) -> order.QueuedWork:
        """Returns the head of a class with enough credit, else the most urgent.

        If several classes have enough credit, the most urgent head of these
        is returned.
        """
        due = [head for head in heads if self._has_credit(head)]
        chosen = min(due or heads, key=self.sort_key)
        self._update_credit(heads, chosen)
        return chosen

    def discard(self, work: order.QueuedWork) -> None:
        """Removes work; a class whose queue is now empty loses its credit."""
        super().discard(work)
        if not self.count_queued(work.call_class):
            self._credit_s.pop(work.call_class, None)

    def _has_credit(self, head: order.QueuedWork) -> bool:
        if head.share <= 0:
            return False
        return self._credit_s.get(head.call_class, 0.0) >= head.cost_s

    def _update_credit(
        self, heads: list[order.QueuedWork], chosen: order.QueuedWork
    ) -> None:
        for head in heads:
            if head.share <= 0:
                continue
            credit_s = self._credit_s.get(head.call_class, 0.0)
            credit_s += head.share * chosen.cost_s
            if head is chosen:
                # A class that goes first by priority alone must not get
                # negative credit.
                credit_s = max(0.0, credit_s - chosen.cost_s)
            self._credit_s[head.call_class] = credit_s
