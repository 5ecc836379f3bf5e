"""Wakes a task that waits for something to look at."""

from __future__ import annotations

import math

import trio


class AutoResetEvent:
    """Lets one task wait for others, in place of looking again and again."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def set(self) -> None:
        """Wakes the task, or the next one that waits."""
        self._event.set()

    async def wait(self, timeout_s: float = math.inf) -> None:
        """Waits until it is woken.

        Args:
            longest_s: How long at most, seconds; not at all if negative, as
                the rest of a time that is over by then.
        """
        with trio.move_on_after(max(timeout_s, 0.0)):
            await self._event.wait()
        self._event = trio.Event()
