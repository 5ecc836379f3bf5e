"""Waits between attempts: exponential, with jitter."""

from __future__ import annotations

import random


class Backoff:
    """Doubles the wait after each failure up to a limit.

    Guards against a stampede: hosts that lost the platform at one moment
    would otherwise all come back at one moment. Each wait is drawn evenly
    from zero to the limit of the attempt, so that they spread out.
    """

    def __init__(
        self, first_s: float, most_s: float, randomness: random.Random
    ) -> None:
        self._first_s = first_s
        self._most_s = most_s
        self._random = randomness
        self._limit_s = first_s

    def next_wait(self) -> float:
        """Returns the next wait, seconds."""
        limit_s = self._limit_s
        self._limit_s = min(2 * limit_s, self._most_s)
        return self._random.uniform(0, limit_s)

    def reset(self) -> None:
        """Begins anew after a success."""
        self._limit_s = self._first_s
