"""The audit trail in the platform: read, searched and pruned."""

from __future__ import annotations

from collections.abc import AsyncIterator
import dataclasses

import pydantic

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import audit
from persimmonhinge.store import keys
from persimmonhinge.store import port

# Entries that one read of the platform brings.
PAGE_ENTRIES = 100
# Entries that one change deletes at most; more than one only after the
# bound was lowered.
_MOST_PRUNED = 50


@dataclasses.dataclass(frozen=True)
class HeadState:
    """The head of the trail, and where it stood when it was read."""

    head: audit.AuditHead
    mod_revision: int


class AuditTrail:
    """Reads the trail and makes the writes that extend it.

    Entries are numbered. The head holds the newest number and is written
    with each change, so that of two changes that read the same head only one
    takes effect, and its entry stands at a number known beforehand.
    """

    def __init__(
        self, platform: port.Platform, prefix: str, most_entries: int
    ) -> None:
        self._platform = platform
        self._prefix = prefix
        self._most_entries = most_entries

    async def read_head(self) -> HeadState:
        """Reads the head."""
        pair = await self._platform.get(self._prefix + keys.AUDIT_HEAD)
        if pair is None:
            return HeadState(audit.AuditHead(), 0)
        try:
            head = audit.AuditHead.model_validate_json(pair.value)
        except pydantic.ValidationError as error:
            raise errors.PlatformError(
                "can't be read", step="read audit trail", peer=pair.key
            ) from error
        return HeadState(head, pair.mod_revision)

    async def get(self, sequence: int) -> audit.AuditRecord | None:
        """Returns an entry by its number, None if there is none."""
        pair = await self._platform.get(self._make_key(sequence))
        return None if pair is None else _read(pair)

    async def find(self, request_id: ids.RequestId) -> audit.AuditRecord | None:
        """Searches all entries for a request id, newest first."""
        async for record in self.read_backwards():
            if record.request_id == request_id:
                return record
        return None

    async def read_backwards(self) -> AsyncIterator[audit.AuditRecord]:
        """Yields all entries, newest first; one read for each page."""
        state = await self.read_head()
        newest = state.head.newest // PAGE_ENTRIES
        oldest = state.head.oldest // PAGE_ENTRIES
        for page in range(newest, oldest - 1, -1):
            prefix = self._make_page_key(page)
            found = await self._platform.get_prefix(prefix)
            for pair in reversed(found.values):
                yield _read(pair)

    def extend(
        self, state: HeadState, entry: audit.AuditEntry
    ) -> tuple[port.Write, ...]:
        """Returns the writes that add an entry and delete the oldest ones."""
        bound = entry.sequence - self._most_entries
        oldest = max(
            state.head.oldest, min(bound + 1, state.head.oldest + _MOST_PRUNED)
        )
        head = audit.AuditHead(newest=entry.sequence, oldest=oldest)
        prune = tuple(
            port.Write(self._make_key(sequence), None)
            for sequence in range(state.head.oldest, oldest)
        )
        return (
            port.Write(
                self._prefix + keys.AUDIT_HEAD, head.model_dump_json().encode()
            ),
            port.Write(
                self._make_key(entry.sequence),
                entry.model_dump_json().encode(),
            ),
            *prune,
        )

    def compare_head(self, state: HeadState) -> port.Compare:
        """Returns the condition that the head has not changed."""
        return port.Compare(self._prefix + keys.AUDIT_HEAD, state.mod_revision)

    def _make_page_key(self, page: int) -> str:
        return f"{self._prefix}{keys.AUDIT}{page:010d}/"

    def _make_key(self, sequence: int) -> str:
        page, index = divmod(sequence, PAGE_ENTRIES)
        return f"{self._make_page_key(page)}{index:02d}"


def _read(pair: port.KeyValue) -> audit.AuditRecord:
    try:
        entry = audit.AuditEntry.model_validate_json(pair.value)
    except pydantic.ValidationError as error:
        raise errors.PlatformError(
            "can't be read", step="read audit trail", peer=pair.key
        ) from error
    return audit.AuditRecord(revision=pair.mod_revision, **dict(entry))
