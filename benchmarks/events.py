"""Events on a clock of their own, for runs that take no real time."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools


class EventQueue:
    """Does work in the order of its times.

    Attributes:
        now: The time, seconds from the beginning.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, time_s: float, work: Callable[[], None]) -> None:
        """Has work done later; of two at one time the first added comes first.

        Args:
            time_s: How much later, seconds.
            work: The work.
        """
        event = (self.now + time_s, next(self._order), work)
        heapq.heappush(self._events, event)

    def run(self, until_s: float) -> None:
        """Does all work that is due before a time, seconds."""
        while self._events and self._events[0][0] < until_s:
            self.now, _, work = heapq.heappop(self._events)
            work()
