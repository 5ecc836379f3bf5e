"""An upstream of the emulator: slots, a queue, and troubles."""

from __future__ import annotations

import collections
from collections.abc import Callable
import random

from benchmarks import events
from persimmonhinge import records
from persimmonhinge.forwarding import upstream as upstreams


class _Waiting(records.Record, frozen=True):
    """A request that waits for a slot.

    Attributes:
        answer: Sends its answer.
        work_s: Mean work on it, seconds.
    """

    answer: Callable[[], None]
    work_s: float


class EmulatedUpstream:
    """Works on requests, as many at a time as it has slots.

    Attributes:
        described: The upstream as hosts know it.
        dark: True while it neither hears nor answers.
        slowness: Factor of its work.
        refused: Number of requests that it refused.
        flows: Ports of callers whose flows it holds.
    """

    def __init__(
        self,
        described: upstreams.Upstream,
        queue: events.EventQueue,
        randomness: random.Random,
        max_waiting: int,
        max_wait_s: float | None,
    ) -> None:
        """Makes an idle one.

        Args:
            described: The upstream as hosts know it.
            queue: The clock.
            randomness: Source of the length of its work.
            max_waiting: Number of requests that may wait.
            max_wait_s: Time after which a request that waits is refused,
                seconds; None if requests are never refused.
        """
        self.described = described
        self.dark = False
        self.slowness = 1.0
        self.refused = 0
        self.flows: set[int] = set()
        self._queue = queue
        self._random = randomness
        self._max_waiting = max_waiting
        self._max_wait_s = max_wait_s
        self._busy = 0
        self._waiting: collections.deque[_Waiting] = collections.deque()

    def work(
        self,
        work_s: float,
        answer: Callable[[], None],
        refuse: Callable[[], None],
    ) -> bool:
        """Takes a request.

        Args:
            work_s: Mean work on it, seconds.
            answer: Called once it is done.
            refuse: Called if it is refused and was not run.

        Returns:
            False if it is dropped, as the queue is full.
        """
        if len(self._waiting) >= self._max_waiting:
            if self._max_wait_s is None:
                return False
            self._refuse(refuse)
            return True
        waiting = _Waiting(answer, work_s)
        self._waiting.append(waiting)
        self._begin()
        if self._max_wait_s is not None and self._is_waiting(waiting):
            self._queue.after(
                self._max_wait_s, lambda: self._end_wait(waiting, refuse)
            )
        return True

    def _is_waiting(self, request: _Waiting) -> bool:
        return any(waiting is request for waiting in self._waiting)

    def _end_wait(self, request: _Waiting, refuse: Callable[[], None]) -> None:
        if self._is_waiting(request):
            self._waiting.remove(request)
            self._refuse(refuse)

    def _refuse(self, refuse: Callable[[], None]) -> None:
        if not self.dark:
            self.refused += 1
            refuse()

    def _begin(self) -> None:
        if self._busy >= self.described.slots or not self._waiting:
            return
        waiting = self._waiting.popleft()
        self._busy += 1
        length_s = waiting.work_s * self._random.uniform(0.4, 1.6)

        def end() -> None:
            self._busy -= 1
            if not self.dark:
                waiting.answer()
            self._begin()

        self._queue.after(length_s * self.slowness, end)
