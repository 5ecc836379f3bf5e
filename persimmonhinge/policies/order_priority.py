"""Most valuable first, with a guaranteed share for the rest."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.policies import order


@order.order_policies.register("priority")
class PriorityQueue(order.OrderedQueue):
    """Serves by priority, then earliest deadline, and keeps the shares.

    Guards against starvation: under a steady load of valuable calls a class
    of low priority would never run. While a class with a share waits, it
    earns its share of the time that the slots give to others; once it has
    earned the cost of its first work, that goes next. A class that waits
    for nothing earns nothing, so what it leaves idle goes to the others and
    it can't save up for a burst.
    """

    def __init__(self) -> None:
        super().__init__()
        self._credit_s: dict[ids.CallClassName, float] = {}

    def sort_key(self, work: order.QueuedWork) -> order.SortKey:
        """Returns priority, deadline and number of arrival."""
        return (work.priority, work.deadline, work.sequence)

    def choose_next(self, heads: list[order.QueuedWork]) -> order.QueuedWork:
        """Returns the first of a class that earned it, or the most urgent."""
        due = [head for head in heads if self._has_credit(head)]
        chosen = min(due or heads, key=self.sort_key)
        self._update_credit(heads, chosen)
        return chosen

    def discard(self, work: order.QueuedWork) -> None:
        """Removes work; a class of which nothing waits earns nothing."""
        super().discard(work)
        if not self.count_waiting(work.call_class):
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
            earned_s = self._credit_s.get(head.call_class, 0.0)
            earned_s += head.share * chosen.cost_s
            if head is chosen:
                # Going first by its priority alone makes no debt.
                earned_s = max(0.0, earned_s - chosen.cost_s)
            self._credit_s[head.call_class] = earned_s
