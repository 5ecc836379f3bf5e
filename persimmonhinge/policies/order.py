"""In which order a keeper serves its queue: what the policies share."""

from __future__ import annotations

import abc
import bisect
from collections.abc import Iterator
import dataclasses
import logging
from typing import Any
from typing import Protocol

from persimmonhinge import ids
from persimmonhinge import registry

logger = logging.getLogger(__name__)


class QueuedWork(Protocol):
    """Work that waits for a slot, as the policies see it.

    Attributes:
        call_class: Name of its call class.
        priority: 0 goes first.
        deadline: Time of its deadline, seconds.
        sequence: Number of its arrival.
        share: Part of the slots that is kept for its class.
        cost_s: How long it will hold a slot, as far as is known, seconds.
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


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _QueueEntry:
    key: SortKey
    work: Any = dataclasses.field(compare=False)


class OrderedQueue(abc.ABC):
    """A queue in the order of a policy.

    Each call class has a sorted list of its own, so that a policy can look
    at the first of each class; there are few classes and the lists are
    short, because a contract limits its queue.
    """

    def __init__(self) -> None:
        self._by_class: dict[ids.CallClassName, list[_QueueEntry]] = {}

    def __len__(self) -> int:
        return sum(len(places) for places in self._by_class.values())

    def __iter__(self) -> Iterator[QueuedWork]:
        for places in self._by_class.values():
            for place in places:
                yield place.work

    @abc.abstractmethod
    def sort_key(self, work: QueuedWork) -> SortKey:
        """Returns what decides between two; the lesser goes first.

        It is unique: it ends with the number of arrival.
        """

    def push(self, work: QueuedWork) -> None:
        """Adds work."""
        places = self._by_class.setdefault(work.call_class, [])
        bisect.insort(places, _QueueEntry(self.sort_key(work), work))

    def pop(self) -> QueuedWork:
        """Removes and returns the work that goes next.

        Raises:
            IndexError: Nothing waits.
        """
        heads = [places[0] for places in self._by_class.values()]
        if not heads:
            raise IndexError("nothing waits")
        chosen = self.choose_next([head.work for head in heads])
        self.discard(chosen)
        return chosen

    def choose_next(self, heads: list[QueuedWork]) -> QueuedWork:
        """Returns the one to go next of the first of each class."""
        return min(heads, key=self.sort_key)

    def discard(self, work: QueuedWork) -> None:
        """Removes work; what does not wait here is passed over."""
        places = self._by_class.get(work.call_class, [])
        place = _QueueEntry(self.sort_key(work), work)
        index = bisect.bisect_left(places, place)
        if index == len(places) or places[index].work is not work:
            return
        del places[index]
        if not places:
            del self._by_class[work.call_class]

    def list_ahead(self, work: QueuedWork) -> list[QueuedWork]:
        """Returns the work that would go before new work."""
        place = _QueueEntry(self.sort_key(work), work)
        ahead: list[QueuedWork] = []
        for places in self._by_class.values():
            index = bisect.bisect_left(places, place)
            ahead += [p.work for p in places[:index]]
        return ahead

    def count_waiting(self, call_class: ids.CallClassName) -> int:
        """Returns how much work of a class waits."""
        return len(self._by_class.get(call_class, ()))

    def list_tails(self) -> list[QueuedWork]:
        """Returns the last of each class, the last of all first."""
        tails = [places[-1] for places in self._by_class.values()]
        return [place.work for place in sorted(tails, reverse=True)]


order_policies: registry.Registry[type[OrderedQueue]] = registry.Registry(
    "order policy"
)

_DEFAULT_POLICY = "priority"


def make_queue(name: str) -> OrderedQueue:
    """Returns an empty queue of a policy.

    A contract may name a policy of a newer version; this host then serves by
    the default rather than not at all.
    """
    if name not in order_policies.names():
        logger.warning("No order policy %r; %s is used.", name, _DEFAULT_POLICY)
        name = _DEFAULT_POLICY
    return order_policies.get(name)()
