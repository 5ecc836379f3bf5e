"""Common parts of the policies that order a queue."""

from __future__ import annotations

import abc
import bisect
from collections.abc import Iterator

from persimmonhinge import early_logs
from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge import registry
from persimmonhinge.light_typing import Protocol
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import Any

logger = early_logs.get_logger(__name__)


class QueuedWork(Protocol):
    """Work that waits for a slot.

    Attributes:
        call_class: Name of its call class.
        priority: Priority; 0 is the most urgent.
        deadline: Time of its deadline, seconds.
        sequence: Sequence number in order of arrival.
        share: Share of the slots that is reserved for its call class, 0 to 1.
        cost_s: Estimated time for which it will hold a slot, seconds.
    """

    @property
    def call_class(self) -> ids.CallClassName: ...  # noqa: D102

    @property
    def priority(self) -> int: ...  # noqa: D102

    @property
    def deadline(self) -> float: ...  # noqa: D102

    @property
    def sequence(self) -> int: ...  # noqa: D102

    @property
    def share(self) -> float: ...  # noqa: D102

    @property
    def cost_s(self) -> float: ...  # noqa: D102


SortKey = tuple[float, ...]


class _QueueEntry(records.Record, frozen=True):
    key: SortKey
    work: Any

    def __lt__(self, other: _QueueEntry) -> bool:
        return self.key < other.key


class OrderedQueue(abc.ABC):
    """A queue in the order of a policy.

    Each call class has its own sorted list, so that a policy can compare the
    heads of the classes. Insertion into a list is cheap enough: there are few
    classes, and the contract limits the length of the queue.
    """

    def __init__(self) -> None:
        self._by_class: dict[ids.CallClassName, list[_QueueEntry]] = {}

    def __len__(self) -> int:
        return sum(len(entries) for entries in self._by_class.values())

    def __iter__(self) -> Iterator[QueuedWork]:
        for entries in self._by_class.values():
            for entry in entries:
                yield entry.work

    @abc.abstractmethod
    def sort_key(self, work: QueuedWork) -> SortKey:
        """Returns the key to sort work by; lower keys go first.

        Keys are unique, because each ends with the sequence number.
        """

    def push(self, work: QueuedWork) -> None:
        """Adds work to the queue."""
        entries = self._by_class.setdefault(work.call_class, [])
        bisect.insort(entries, _QueueEntry(self.sort_key(work), work))

    def pop(self) -> QueuedWork:
        """Removes and returns the work that goes next.

        Raises:
            IndexError: The queue is empty.
        """
        heads = [entries[0] for entries in self._by_class.values()]
        if not heads:
            raise IndexError("pop from an empty queue")
        chosen = self.choose_next([head.work for head in heads])
        self.discard(chosen)
        return chosen

    def choose_next(self, heads: list[QueuedWork]) -> QueuedWork:
        """Returns the work that goes next, given the head of each class."""
        return min(heads, key=self.sort_key)

    def discard(self, work: QueuedWork) -> None:
        """Removes work; does nothing if the work is not in the queue."""
        entries = self._by_class.get(work.call_class, [])
        entry = _QueueEntry(self.sort_key(work), work)
        index = bisect.bisect_left(entries, entry)
        if index == len(entries) or entries[index].work is not work:
            return
        del entries[index]
        if not entries:
            del self._by_class[work.call_class]

    def list_ahead(self, work: QueuedWork) -> list[QueuedWork]:
        """Returns the queued work that would go before new work."""
        entry = _QueueEntry(self.sort_key(work), work)
        ahead: list[QueuedWork] = []
        for entries in self._by_class.values():
            index = bisect.bisect_left(entries, entry)
            ahead += [earlier.work for earlier in entries[:index]]
        return ahead

    def count_queued(self, call_class: ids.CallClassName) -> int:
        """Returns the number of queued requests of a call class."""
        return len(self._by_class.get(call_class, ()))

    def list_tails(self) -> list[QueuedWork]:
        """Returns the last work of each call class, least urgent first."""
        tails = [entries[-1] for entries in self._by_class.values()]
        return [entry.work for entry in sorted(tails, reverse=True)]


order_policies: registry.Registry[type[OrderedQueue]] = registry.Registry(
    "order policy"
)

_DEFAULT_POLICY = "priority"


def make_queue(name: str) -> OrderedQueue:
    """Returns an empty queue of the named policy.

    A contract may name a policy that only a newer version has. This host then
    uses the default policy, so that it still serves the contract.
    """
    if name not in order_policies.names():
        logger.warning(
            "Unknown order policy %r; using %s.", name, _DEFAULT_POLICY
        )
        name = _DEFAULT_POLICY
    return order_policies.get(name)()
