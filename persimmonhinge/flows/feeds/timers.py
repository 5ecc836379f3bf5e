"""Timers of all feeds, served by one task."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools
import math

import trio


class Timers:
    """Runs callbacks when they are due.

    One task serves all feeds, because a sleeping task per confirmable message
    in flight would take about 2 kB each.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._earlier_due = trio.Event()

    def call_after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay. The callback must not raise."""
        due = trio.current_time() + delay_s
        if not self._heap or due < self._heap[0][0]:
            self._earlier_due.set()
        heapq.heappush(self._heap, (due, next(self._order), callback))

    async def run(self) -> None:
        """Runs due callbacks until the task is cancelled."""
        while True:
            self._earlier_due = trio.Event()
            due = self._heap[0][0] if self._heap else math.inf
            with trio.move_on_at(due):
                await self._earlier_due.wait()
            self._run_due()

    def _run_due(self) -> None:
        now = trio.current_time()
        while self._heap and self._heap[0][0] <= now:
            _, _, callback = heapq.heappop(self._heap)
            callback()
