"""Properties of the queues of the order policies."""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import strategies

from persimmonhinge import ids
from persimmonhinge.policies import builtin  # noqa: F401
from persimmonhinge.policies import order


@dataclasses.dataclass(frozen=True)
class Work:
    """Queued work."""

    call_class: ids.CallClassName
    priority: int
    deadline: float
    sequence: int
    share: float = 0.0
    cost_s: float = 0.04


_CLASSES = {
    ids.CallClassName("reservations"): 0,
    ids.CallClassName("reads"): 3,
    ids.CallClassName("manifests"): 5,
}


@strategies.composite
def draw_works(draw: strategies.DrawFn) -> list[Work]:
    """Draws work of several call classes, in order of arrival."""
    count = draw(strategies.integers(0, 20))
    works = []
    for sequence in range(count):
        name = draw(strategies.sampled_from(sorted(_CLASSES)))
        deadline = draw(strategies.integers(0, 5))
        works.append(Work(name, _CLASSES[name], deadline, sequence))
    return works


def pop_all(queue: order.OrderedQueue) -> list[order.QueuedWork]:
    """Removes all work and returns it in the order in which it is served."""
    return [queue.pop() for _ in range(len(queue))]


@hypothesis.given(
    works=draw_works(),
    name=strategies.sampled_from(("fifo", "deadline", "priority")),
)
def test_order_serves_all_in_its_order(works: list[Work], name: str) -> None:
    queue = order.order_policies.get(name)()
    for work in works:
        queue.push(work)
    keys = {
        "fifo": lambda w: w.sequence,
        "deadline": lambda w: (w.deadline, w.sequence),
        "priority": lambda w: (w.priority, w.deadline, w.sequence),
    }
    assert pop_all(queue) == sorted(works, key=keys[name])


@hypothesis.given(
    works=draw_works(),
    discarded=strategies.sets(strategies.integers(0, 19)),
    name=strategies.sampled_from(("fifo", "deadline", "priority")),
)
def test_order_removes_just_what_is_discarded(
    works: list[Work], discarded: set[int], name: str
) -> None:
    queue = order.order_policies.get(name)()
    for work in works:
        queue.push(work)
    for work in works:
        if work.sequence in discarded:
            queue.discard(work)
            queue.discard(work)
    remaining = [w for w in works if w.sequence not in discarded]
    assert len(queue) == len(remaining)
    assert sorted(w.sequence for w in queue) == [w.sequence for w in remaining]


@hypothesis.given(works=draw_works())
def test_order_lists_ahead_what_goes_before(works: list[Work]) -> None:
    hypothesis.assume(works)
    queue = order.order_policies.get("priority")()
    new = works.pop()
    for work in works:
        queue.push(work)
    ahead = {w.sequence for w in queue.list_ahead(new)}
    queue.push(new)
    served_order = [w.sequence for w in pop_all(queue)]
    assert ahead == set(served_order[: served_order.index(new.sequence)])


@hypothesis.given(
    share=strategies.floats(0.05, 0.9),
    cost_s=strategies.floats(0.01, 2.0),
    rounds=strategies.integers(50, 400),
)
def test_order_gives_a_class_its_share_and_no_more(
    share: float, cost_s: float, rounds: int
) -> None:
    """Guards against starvation of a call class of low priority.

    Manifests have a share of the slots and are queued behind a steady load of
    reservations of higher priority. By priority alone they would never be
    served.
    """
    queue = order.order_policies.get("priority")()
    manifests = ids.CallClassName("manifests")
    reservations = ids.CallClassName("reservations")
    served = {manifests: 0.0, reservations: 0.0}
    for number in range(2):
        queue.push(Work(manifests, 5, 0.0, -1 - number, share, cost_s))
    for number in range(rounds):
        queue.push(Work(reservations, 0, 0.0, 2 * number))
        popped = queue.pop()
        served[popped.call_class] += popped.cost_s
        if popped.call_class == manifests:
            queue.push(Work(manifests, 5, 0.0, 2 * number + 1, share, cost_s))
    total = sum(served.values())
    max_cost_s = max(cost_s, 0.04)
    assert served[manifests] >= share * total - 2 * max_cost_s
    assert served[manifests] <= share * total + 2 * max_cost_s


def test_order_gives_no_credit_to_an_idle_class() -> None:
    queue = order.order_policies.get("priority")()
    manifests = ids.CallClassName("manifests")
    reservations = ids.CallClassName("reservations")
    queue.push(Work(manifests, 5, 0.0, 0, 0.5))
    for number in range(1, 10):
        queue.push(Work(reservations, 0, 0.0, number))
    pop_all(queue)
    queue.push(Work(manifests, 5, 0.0, 10, 0.5))
    queue.push(Work(reservations, 0, 0.0, 11))
    assert queue.pop().call_class == reservations


def test_order_names_its_policies() -> None:
    assert order.order_policies.names() == ["deadline", "fifo", "priority"]
