"""Bounded set of the open connections of a server."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib

import trio


class OpenConnections:
    """Limits connections in number and time; the oldest gives way to a new one.

    Idle connections thus never keep a new one from being served.
    """

    def __init__(self, max_count: int, max_duration_s: float) -> None:
        """Creates an empty set.

        Args:
            max_count: Maximum number of open connections.
            max_duration_s: Maximum time for which one is open, seconds.
        """
        self._max_count = max_count
        self._max_duration_s = max_duration_s
        # In order of arrival.
        self._scopes: dict[trio.CancelScope, None] = {}

    @contextlib.contextmanager
    def open(self) -> Iterator[trio.CancelScope]:
        """Adds the connection that the body of the statement serves.

        Yields:
            The scope of the body, which is cancelled when the connection has
            to be closed.
        """
        if len(self._scopes) >= self._max_count:
            oldest = next(iter(self._scopes))
            del self._scopes[oldest]
            oldest.cancel()
        with trio.move_on_after(self._max_duration_s) as scope:
            self._scopes[scope] = None
            try:
                yield scope
            finally:
                self._scopes.pop(scope, None)
