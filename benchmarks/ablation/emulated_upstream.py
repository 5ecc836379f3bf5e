"""An upstream of the emulator: slots, a queue, and troubles."""

from __future__ import annotations

import collections
from collections.abc import Callable
import random

from benchmarks import events
from persimmonhinge.forwarding import upstream as upstreams

_QUEUE = 12


class EmulatedUpstream:
    """Works on requests, as many at a time as it has slots.

    Attributes:
        described: The upstream as hosts know it.
        dark: True while it neither hears nor answers.
        slowness: Factor of its work.
        flows: Ports of callers whose flows it holds.
    """

    def __init__(
        self,
        described: upstreams.Upstream,
        queue: events.EventQueue,
        randomness: random.Random,
        work_s: float,
    ) -> None:
        """Makes an idle one.

        Args:
            described: The upstream as hosts know it.
            queue: The clock.
            randomness: Source of the length of its work.
            work_s: Mean work on a request, seconds.
        """
        self.described = described
        self.dark = False
        self.slowness = 1.0
        self.flows: set[int] = set()
        self._queue = queue
        self._random = randomness
        self._work_s = work_s
        self._busy = 0
        self._waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )

    def work(self, answer: Callable[[], None]) -> bool:
        """Takes a request; `answer` is called once it is done.

        Returns:
            False if the queue is full.
        """
        if len(self._waiting) >= _QUEUE:
            return False
        self._waiting.append(answer)
        self._begin()
        return True

    def _begin(self) -> None:
        if self._busy >= self.described.slots or not self._waiting:
            return
        answer = self._waiting.popleft()
        self._busy += 1
        length_s = self._work_s * self._random.uniform(0.4, 1.6)

        def end() -> None:
            self._busy -= 1
            if not self.dark:
                answer()
            self._begin()

        self._queue.after(length_s * self.slowness, end)
