"""The table of requests that a home has started under its own tickets."""

from __future__ import annotations

import heapq
import itertools

from persimmonhinge.flows import row as row_module

# Maximum total size of the answers that are stored in all rows.
MAX_STORED_ANSWER_OCTETS = 64 * 1024 * 1024


class RequestTable:
    """Rows by key, each stored until its ticket has expired.

    Guards against running a request twice: a copy or retry of a request
    finds the row of the first copy, and waits for its result or gets it at
    once. No row is removed before its ticket expires. When the table is full,
    new requests are refused instead.
    """

    def __init__(self, max_rows: int) -> None:
        self._max_rows = max_rows
        self._rows: dict[row_module.RowKey, row_module.Row] = {}
        self._expiries: list[tuple[int, int, row_module.RowKey]] = []
        self._sequence_numbers = itertools.count()
        self._answer_octets = 0

    def __len__(self) -> int:
        return len(self._rows)

    def find(self, key: row_module.RowKey) -> row_module.Row | None:
        """Returns the row of a request; None if there is none."""
        return self._rows.get(key)

    def add(
        self, key: row_module.RowKey, expiry_ms: int
    ) -> row_module.Row | None:
        """Adds a row for a new request.

        Args:
            key: Key of the request, which must not have a row yet.
            expiry_ms: Uptime of this host at which the row may be removed,
                milliseconds.

        Returns:
            The new row; None if the table is full.
        """
        assert key not in self._rows
        if self.is_full():
            return None
        row = row_module.Row(key)
        self._rows[key] = row
        entry = (expiry_ms, next(self._sequence_numbers), key)
        heapq.heappush(self._expiries, entry)
        return row

    def is_full(self) -> bool:
        """Tells whether the table has no capacity for another row."""
        if len(self._rows) >= self._max_rows:
            return True
        return self._answer_octets >= MAX_STORED_ANSWER_OCTETS

    def count_answer(self, row: row_module.Row) -> None:
        """Adds the size of a finished row's answer to the stored total."""
        if row.result is not None:
            self._answer_octets += len(row.result.answer)

    def remove_expired(self, uptime_ms: int) -> None:
        """Removes the finished rows whose tickets have expired."""
        while self._expiries and self._expiries[0][0] <= uptime_ms:
            _, _, key = heapq.heappop(self._expiries)
            row = self._rows[key]
            if row.result is None:
                recheck = (uptime_ms + 1000, next(self._sequence_numbers), key)
                heapq.heappush(self._expiries, recheck)
                continue
            self._answer_octets -= len(row.result.answer)
            del self._rows[key]
