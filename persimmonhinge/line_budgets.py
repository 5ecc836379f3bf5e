"""How many log lines a process may write."""

from __future__ import annotations

from collections.abc import Callable
import time

# Lines that are written a second, and at once after a quiet time.
_LINES_PER_S = 200.0
_BURST_LINES = 1000.0


class Budget:
    """Allows so many lines a second, with room for a burst."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._left = _BURST_LINES
        self._counted_at = clock()

    def take(self) -> bool:
        """Takes a line out of the budget; False if it is used up."""
        now = self._clock()
        earned = (now - self._counted_at) * _LINES_PER_S
        self._left = min(_BURST_LINES, self._left + earned)
        self._counted_at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True
