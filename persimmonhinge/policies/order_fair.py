"""Queue that serves by priority, and call classes of a priority equally."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import heapq

from persimmonhinge import ids
from persimmonhinge.policies import order

# Classes whose served work is remembered after their queue became empty. Enough
# for the classes of any one round; memory must not grow with the callers.
_MAX_IDLE_CLASSES = 4096
# Number of entries from which those of former heads are removed.
_MIN_HEADS = 64


class _Service:
    """Slot time that the classes of one priority have received.

    Attributes:
        reached_s: The least slot time of any class that had queued work when
            work was last served, seconds. A class that returns starts here, so
            that it can't accumulate credit while it is idle.
        received_s: Slot time received by class, seconds.
    """

    def __init__(self) -> None:
        self.reached_s = 0.0
        self.received_s: collections.OrderedDict[ids.CallClassName, float] = (
            collections.OrderedDict()
        )

    def get(self, call_class: ids.CallClassName) -> float:
        """Returns the slot time that counts for a class, seconds."""
        return max(self.reached_s, self.received_s.get(call_class, 0.0))

    def charge(self, call_class: ids.CallClassName, cost_s: float) -> None:
        """Counts slot time that a class receives."""
        self.reached_s = self.get(call_class)
        self.received_s[call_class] = self.reached_s + cost_s
        self.received_s.move_to_end(call_class)
        if len(self.received_s) > _MAX_IDLE_CLASSES:
            self.received_s.popitem(last=False)


class FairQueue(order.OrderedQueue):
    """Serves by priority, then equally by class, then by deadline.

    It is not registered, so that contracts can't name it: keepers queue by call
    class, and divide their slots by the shares of the contract.

    Among the classes that have work of the most urgent priority, the one that
    received the least slot time goes first. A class with a long queue thus
    delays one with a short queue by one request at most.
    """

    def __init__(self) -> None:
        super().__init__()
        self._by_priority: dict[int, _Service] = {}
        # Positions of the heads of the classes. Entries of former heads are
        # removed when they come first.
        self._heads: list[tuple[order.SortKey, order.QueuedWork]] = []

    def sort_key(self, work: order.QueuedWork) -> order.SortKey:
        """Returns the priority, the deadline and the sequence number."""
        return (work.priority, work.deadline, work.sequence)

    def push(self, work: order.QueuedWork) -> None:
        """Adds work to the queue."""
        super().push(work)
        if self._by_class[work.call_class][0].work is work:
            self._push_head(work.call_class)

    def peek(self) -> order.QueuedWork:
        """Returns the work that goes next, and leaves it in the queue.

        Raises:
            IndexError: The queue is empty.
        """
        while True:
            position, work = self._heads[0]
            entries = self._by_class.get(work.call_class)
            if (
                entries
                and entries[0].work is work
                and self._locate_head(work) == position
            ):
                return work
            heapq.heappop(self._heads)

    def pop(self) -> order.QueuedWork:
        """Removes and returns the work that goes next; see `OrderedQueue`."""
        work = self.peek()
        self._service(work).charge(work.call_class, work.cost_s)
        self.discard(work)
        return work

    def discard(self, work: order.QueuedWork) -> None:
        """Removes work; does nothing if the work is not in the queue."""
        super().discard(work)
        if work.call_class in self._by_class:
            self._push_head(work.call_class)
        if not self._by_class:
            # Nobody waits, so nobody is treated unequally.
            self._by_priority.clear()
            self._heads.clear()

    def iterate_ahead(
        self, work: order.QueuedWork
    ) -> Iterator[order.QueuedWork]:
        """Yields the queued work that would go before new work."""
        place = self._locate(work)
        service = self._service(work)
        for name, entries in self._by_class.items():
            received_s = service.get(name)
            for entry in entries:
                queued = entry.work
                if queued.priority == work.priority:
                    if (queued.priority, received_s, *entry.key) >= place:
                        break
                    received_s += queued.cost_s
                elif queued.priority > work.priority:
                    break
                yield queued

    def list_ahead(self, work: order.QueuedWork) -> list[order.QueuedWork]:
        """Returns the queued work that would go before new work."""
        return list(self.iterate_ahead(work))

    def list_tails(self) -> list[order.QueuedWork]:
        """Returns the last work of each call class, last in order first."""
        tails = [self._locate_tail(name) for name in self._by_class]
        return [work for _, work in sorted(tails, key=_get_key, reverse=True)]

    def _locate(self, work: order.QueuedWork) -> order.SortKey:
        """Returns the place of new work among all classes."""
        received_s = self._service(work).get(work.call_class)
        key = self.sort_key(work)
        for entry in self._by_class.get(work.call_class, ()):
            if entry.key >= key:
                break
            if entry.work.priority == work.priority:
                received_s += entry.work.cost_s
        return (work.priority, received_s, *key)

    def _locate_head(self, work: order.QueuedWork) -> order.SortKey:
        """Returns the place of the head of a class among all classes."""
        received_s = self._service(work).get(work.call_class)
        return (work.priority, received_s, *self.sort_key(work))

    def _push_head(self, call_class: ids.CallClassName) -> None:
        head = self._by_class[call_class][0].work
        heapq.heappush(self._heads, (self._locate_head(head), head))
        if len(self._heads) > _MIN_HEADS + 2 * len(self._by_class):
            heads = [entries[0].work for entries in self._by_class.values()]
            self._heads = [(self._locate_head(head), head) for head in heads]
            heapq.heapify(self._heads)

    def _locate_tail(
        self, call_class: ids.CallClassName
    ) -> tuple[order.SortKey, order.QueuedWork]:
        """Returns the place of the tail of a class, and the tail."""
        entries = self._by_class[call_class]
        tail = entries[-1]
        received_s = self._service(tail.work).get(call_class)
        if len(entries) > 1:
            received_s += sum(
                entry.work.cost_s
                for entry in entries[:-1]
                if entry.work.priority == tail.work.priority
            )
        return (tail.work.priority, received_s, *tail.key), tail.work

    def _service(self, work: order.QueuedWork) -> _Service:
        service = self._by_priority.get(work.priority)
        if service is None:
            service = self._by_priority[work.priority] = _Service()
        return service


def _get_key(
    positioned: tuple[order.SortKey, order.QueuedWork],
) -> order.SortKey:
    return positioned[0]
