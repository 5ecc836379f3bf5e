"""The page `/room`: demand, room and decisions of a forwarding host."""

from __future__ import annotations

from collections.abc import Callable
import time

import trio

from persimmonhinge import ids
from persimmonhinge.forwarding import overload as overload_module
from persimmonhinge.forwarding.room_sections import builtin  # noqa: F401
from persimmonhinge.forwarding.room_sections import sections
from persimmonhinge.metrics import page

ROOM_PATH = "/room"
# Rows that are made before packets are read again. A row takes some tens of
# microseconds, so this is well below the 10 ms between two releases of flows.
_ROWS_AT_ONCE = 50


class RoomPage:
    """Enters the page into a page server."""

    def __init__(
        self,
        server: page.PageServer,
        host: ids.HostId,
        domain: ids.DomainId,
        overload: overload_module.OverloadControl | None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Enters the page.

        Args:
            server: The server.
            host: Name of the host.
            domain: Failure domain of the host.
            overload: The overload control of the host; None if it is off.
            clock: Returns the current time, seconds.
        """
        self._host = host
        self._domain = domain
        self._overload = overload
        self._clock = clock
        server.pages.register(ROOM_PATH)(self.show_room)

    async def show_room(self, request: page.PageRequest) -> page.PageAnswer:
        """Shows all sections as JSON, or that overload control is off."""
        document: dict[str, object] = {
            "host": self._host,
            "domain": self._domain,
            "enabled": self._overload is not None,
        }
        if self._overload is not None:
            for name in sections.sections.names():
                document[name] = await self._list_rows(name, self._overload)
        return page.make_json(document)

    async def _list_rows(
        self, name: str, overload: overload_module.OverloadControl
    ) -> list[sections.Row]:
        rows: list[sections.Row] = []
        section = sections.sections.get(name)
        for row in section(overload, self._clock):
            rows.append(row)
            if len(rows) % _ROWS_AT_ONCE == 0:
                await trio.lowlevel.checkpoint()
        return rows
