"""An event that resets itself when a waiting task wakes up."""

from __future__ import annotations

import math

import trio


class AutoResetEvent:
    """Lets one task wait for a signal of other tasks instead of polling."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def set(self) -> None:
        """Wakes the waiting task, or makes the next call of `wait` return."""
        self._event.set()

    async def wait(self, timeout_s: float = math.inf) -> None:
        """Waits until the event is set or the timeout expires.

        Args:
            timeout_s: Maximum time to wait, seconds. A negative value, such as
                the remaining time to a deadline that has passed, does not
                wait.
        """
        with trio.move_on_after(max(timeout_s, 0.0)):
            await self._event.wait()
        self._event = trio.Event()
