"""Storage of the rows in the table of executed requests."""

from __future__ import annotations

from collections.abc import Iterator
import heapq
import itertools

from persimmonhinge import ids
from persimmonhinge.upstreams import executed_row

_DueItem = tuple[int, int, executed_row.ExecutedRow]


class ExecutedRows:
    """Stores rows by request, and by the time of their next expiry check.

    The time of a check is an uptime of the row's home.

    Attributes:
        answer_octets: Total size of the stored answers, octets.
    """

    def __init__(self) -> None:
        self.answer_octets = 0
        self._rows: dict[
            tuple[ids.TicketId, bytes],
            dict[bytes, executed_row.ExecutedRow],
        ] = {}
        self._due_heaps: dict[ids.HostRef, list[_DueItem]] = {}
        self._row_count = 0
        self._tie_breakers = itertools.count()

    def __len__(self) -> int:
        return self._row_count

    def __iter__(self) -> Iterator[executed_row.ExecutedRow]:
        for rows in self._rows.values():
            yield from rows.values()

    def get(
        self, key: executed_row.ExecutedKey
    ) -> executed_row.ExecutedRow | None:
        """Returns the row of a request, None if there is none."""
        return self.get_by_token(key.ticket, key.token).get(key.digest)

    def get_by_token(
        self, ticket: ids.TicketId, token: bytes
    ) -> dict[bytes, executed_row.ExecutedRow]:
        """Returns the rows with a ticket and token, by digest."""
        return self._rows.get((ticket, token), {})

    def put(self, row: executed_row.ExecutedRow, due_ms: int) -> None:
        """Adds a row, replacing any row of the same request.

        Args:
            row: The row.
            due_ms: Uptime of the row's home at which the row is to be checked
                for expiry, milliseconds.
        """
        existing = self.get(row.key)
        if existing is not None:
            self.remove(existing)
        key = row.key
        self._rows.setdefault((key.ticket, key.token), {})[key.digest] = row
        self._row_count += 1
        self.answer_octets += row.answer_octets
        self.schedule_check(row, due_ms)

    def schedule_check(
        self, row: executed_row.ExecutedRow, due_ms: int
    ) -> None:
        """Schedules an expiry check of a row.

        Args:
            row: The row.
            due_ms: Uptime of the row's home at which the row is to be
                checked, milliseconds.
        """
        due = self._due_heaps.setdefault(row.home, [])
        heapq.heappush(due, (due_ms, next(self._tie_breakers), row))

    def remove(self, row: executed_row.ExecutedRow) -> None:
        """Removes a row."""
        key = row.key
        rows = self._rows[(key.ticket, key.token)]
        del rows[key.digest]
        if not rows:
            del self._rows[(key.ticket, key.token)]
        self._row_count -= 1
        self.answer_octets -= row.answer_octets

    def pop_due(
        self, home: ids.HostRef, uptime_ms: int
    ) -> Iterator[executed_row.ExecutedRow]:
        """Yields the rows of a home whose expiry check is due.

        The rows stay in the table and have no further check scheduled. The
        caller must remove each row or schedule its next check.
        """
        due = self._due_heaps.get(home)
        while due and due[0][0] <= uptime_ms:
            row = heapq.heappop(due)[2]
            if self.get(row.key) is row:
                yield row
        if not due:
            self._due_heaps.pop(home, None)

    def list_homes(self) -> list[ids.HostRef]:
        """Returns all homes with scheduled expiry checks."""
        return list(self._due_heaps)
