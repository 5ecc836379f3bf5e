"""A signal that something changed, for any number of waiting tasks."""

from __future__ import annotations

import trio


class ChangeSignal:
    """Wakes all waiters at each change; a late waiter misses none.

    Attributes:
        version: Number of changes so far.
    """

    def __init__(self) -> None:
        self.version = 0
        self._event = trio.Event()

    def announce(self) -> None:
        """Counts a change and wakes all waiters."""
        self.version += 1
        self._event.set()
        self._event = trio.Event()

    async def wait_beyond(self, version: int) -> int:
        """Waits until there are more changes than `version`.

        Returns:
            The number of changes so far.
        """
        while self.version <= version:
            await self._event.wait()
        return self.version
