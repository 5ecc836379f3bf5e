"""The newest change of each entry of the store that a host knows of."""

from __future__ import annotations

from collections.abc import Iterator

from persimmonhinge.forwarding import store_entry as entry_lines

# Deletions that are kept for hosts that lag behind.
_MAX_DELETIONS = 1000


class EntryTable:
    """Entries by key, with the deletions of late.

    Guards against a host that grows with each upstream that ever was: only so
    many deletions are kept. What is older counts as deleted by its revision
    alone, and a host that lags behind it gets all entries.
    """

    def __init__(self) -> None:
        self._entries: dict[str, entry_lines.StoreEntry] = {}
        self._deletion_count = 0
        self._pruned_revision = 0

    def __iter__(self) -> Iterator[entry_lines.StoreEntry]:
        """Gives the newest change of each key."""
        return iter(tuple(self._entries.values()))

    def get(self, key: str) -> entry_lines.StoreEntry | None:
        """Returns the newest change of a key, None if it is not known."""
        return self._entries.get(key)

    def put(self, entry: entry_lines.StoreEntry) -> bool:
        """Keeps a change if it is newer than what is known of its key.

        Returns:
            True if it is.
        """
        known = self._entries.get(entry.key)
        newest = self._pruned_revision if known is None else known.revision
        if entry.revision <= newest:
            return False
        self._entries[entry.key] = entry
        self._deletion_count += _is_deletion(entry) - _is_deletion(known)
        return True

    def prune_deletions(self, complete_revision: int) -> None:
        """Forgets the older half of the deletions once there are too many.

        Args:
            complete_to: Revision up to which all changes are known; a later
                deletion is kept, as an earlier change may still come.
        """
        if self._deletion_count <= _MAX_DELETIONS:
            return
        deleted = sorted(
            line.revision
            for line in self._entries.values()
            if line.value is None and line.revision <= complete_revision
        )
        if not deleted:
            return
        self._pruned_revision = deleted[(len(deleted) - 1) // 2]
        for line in self:
            if line.value is None and line.revision <= self._pruned_revision:
                del self._entries[line.key]
                self._deletion_count -= 1

    def has_all_deletions_since(self, revision: int) -> bool:
        """Tells whether all deletions after a revision are kept."""
        return revision >= self._pruned_revision

    def list_changes_since(
        self, revision: int
    ) -> tuple[entry_lines.StoreEntry, ...]:
        """Returns the changes after a revision, as far as they are kept."""
        return tuple(line for line in self if line.revision > revision)


def _is_deletion(entry: entry_lines.StoreEntry | None) -> bool:
    return entry is not None and entry.value is None
