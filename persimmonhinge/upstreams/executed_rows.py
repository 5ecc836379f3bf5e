"""The rows of the table of executed requests, and when they are due."""

from __future__ import annotations

from collections.abc import Iterator
import heapq
import itertools

from persimmonhinge import ids
from persimmonhinge.upstreams import executed_entry as entries

_Due = tuple[int, int, entries.ExecutedEntry]


class ExecutedRows:
    """Finds rows by request, and by the uptime at which they are due.

    Attributes:
        answer_octets: Size of all kept answers.
    """

    def __init__(self) -> None:
        self.answer_octets = 0
        self._rows: dict[
            tuple[ids.TicketId, bytes], dict[bytes, entries.ExecutedEntry]
        ] = {}
        self._due: dict[ids.HostRef, list[_Due]] = {}
        self._count = 0
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[entries.ExecutedEntry]:
        for rows in self._rows.values():
            yield from rows.values()

    def get(self, key: entries.ExecutedKey) -> entries.ExecutedEntry | None:
        """Returns a row, None if there is none."""
        return self.get_all(key.ticket, key.token).get(key.digest)

    def get_all(
        self, ticket: ids.TicketId, token: bytes
    ) -> dict[bytes, entries.ExecutedEntry]:
        """Returns the rows of a token by digest."""
        return self._rows.get((ticket, token), {})

    def put(self, entry: entries.ExecutedEntry, due_ms: int) -> None:
        """Adds a row, or replaces that of the same request.

        Args:
            entry: The row.
            due_ms: Uptime of its home at which it is due.
        """
        former = self.get(entry.key)
        if former is not None:
            self.drop(former)
        key = entry.key
        self._rows.setdefault((key.ticket, key.token), {})[key.digest] = entry
        self._count += 1
        self.answer_octets += entry.answer_octets
        self.plan(entry, due_ms)

    def plan(self, entry: entries.ExecutedEntry, due_ms: int) -> None:
        """Sets when a row is due."""
        due = self._due.setdefault(entry.home, [])
        heapq.heappush(due, (due_ms, next(self._numbers), entry))

    def drop(self, entry: entries.ExecutedEntry) -> None:
        """Removes a row."""
        key = entry.key
        rows = self._rows[(key.ticket, key.token)]
        del rows[key.digest]
        if not rows:
            del self._rows[(key.ticket, key.token)]
        self._count -= 1
        self.answer_octets -= entry.answer_octets

    def take_due(
        self, home: ids.HostRef, uptime_ms: int
    ) -> Iterator[entries.ExecutedEntry]:
        """Returns the rows of a home that are due; they are planned no more.

        Each is still there: it is to be dropped or planned anew.
        """
        due = self._due.get(home)
        while due and due[0][0] <= uptime_ms:
            entry = heapq.heappop(due)[2]
            if self.get(entry.key) is entry:
                yield entry
        if not due:
            self._due.pop(home, None)

    def list_homes(self) -> list[ids.HostRef]:
        """Returns all homes that have rows."""
        return list(self._due)
