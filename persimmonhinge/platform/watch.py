"""A watch of the platform's store."""

from __future__ import annotations

from collections.abc import AsyncIterator

from persimmonhinge.store import http
from persimmonhinge.store import port


class Watch:
    """A watch with a connection of its own, to be used in `async with`."""

    def __init__(
        self,
        connection: http.HttpConnection,
        events: AsyncIterator[tuple[port.WatchEvent, ...]],
    ) -> None:
        self._connection = connection
        self._events = events

    async def __aenter__(self) -> AsyncIterator[tuple[port.WatchEvent, ...]]:
        """Returns the batches of changes."""
        return self._events

    async def __aexit__(self, *_: object) -> None:
        """Closes the connection."""
        self._connection.close()
