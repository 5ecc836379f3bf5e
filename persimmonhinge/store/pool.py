"""Connections to the store that calls share."""

from __future__ import annotations

from collections.abc import Callable

from persimmonhinge import early_logs
from persimmonhinge import errors
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.store import http
from persimmonhinge.store import port

if TYPE_CHECKING:
    from persimmonhinge.store import response_reader
    from persimmonhinge.store import transport as transports

logger = early_logs.get_logger(__name__)

# Idle connections that are kept for later calls.
_MOST_IDLE = 2


class ConnectionPool:
    """Makes calls, each on a connection that no other call uses meanwhile."""

    def __init__(
        self,
        settings: port.StoreSettings,
        make_transport: Callable[[str, int], transports.Transport],
    ) -> None:
        """Makes a pool without connections.

        Args:
            settings: How the store is reached.
            make_transport: Makes a connection to an address and a port.
        """
        self._settings = settings
        self._make_transport = make_transport
        self._first = 0
        self._idle: list[http.HttpConnection] = []
        # An address that swallows packets must leave time for the others.
        self._limit_s = settings.timeout_s / len(settings.addresses)

    def connect(self) -> http.HttpConnection:
        """Returns a new connection to the address that last answered."""
        host, number = self._settings.addresses[self._first]
        transport = self._make_transport(host, number)
        return http.HttpConnection(transport, f"{host}:{number}")

    async def call(
        self, method: str, target: str, body: bytes, *, repeatable: bool
    ) -> response_reader.Response:
        """Makes a call, at one address after the other if need be.

        Args:
            method: HTTP method.
            target: Path and query.
            body: JSON body, empty for none.
            repeatable: True if a second run does no harm. A call that is not
                goes on to the next address only if no connection to the one
                before could be opened, so that it can't run twice.

        Raises:
            PlatformUnavailableError: No answer; it may have taken effect.
        """
        for _ in self._settings.addresses[1:]:
            try:
                return await self._call_once(method, target, body, repeatable)
            except errors.PlatformUnavailableError as error:
                self._skip()
                unsent = isinstance(error, errors.PlatformUnreachableError)
                if not (repeatable or unsent):
                    raise
                logger.info("Trying the next address: %s.", error)
        try:
            return await self._call_once(method, target, body, repeatable)
        except errors.PlatformUnavailableError:
            self._skip()
            raise

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _call_once(
        self, method: str, target: str, body: bytes, repeatable: bool
    ) -> response_reader.Response:
        # The store may have closed a connection that was idle. A call that
        # must not run twice can't be repeated then, so it gets a new one.
        connection = self._take_idle() if repeatable else self.connect()
        try:
            response = await connection.call(
                method, target, body, self._limit_s
            )
        except errors.PlatformUnavailableError:
            # What made this connection fail may have silenced the others.
            self.close()
            raise
        if connection.is_used and len(self._idle) < _MOST_IDLE:
            self._idle.append(connection)
        else:
            connection.close()
        return response

    def _take_idle(self) -> http.HttpConnection:
        return self._idle.pop() if self._idle else self.connect()

    def _skip(self) -> None:
        self._first = (self._first + 1) % len(self._settings.addresses)
