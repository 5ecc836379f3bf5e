"""Table of the newest known change of each entry of the store."""

from __future__ import annotations

from collections.abc import Iterator

from persimmonhinge.forwarding import store_entry

# Maximum number of deletions that are retained for hosts whose entries are
# out of date.
_MAX_DELETIONS = 1000


class EntryTable:
    """Holds entries by key, including recent deletions.

    Guards against memory use that grows with each upstream that ever existed:
    the number of retained deletions is limited. A key that is not in the table
    counts as deleted at the revision of the newest pruned deletion, and a host
    whose entries are older than that revision is sent all entries.
    """

    def __init__(self) -> None:
        self._entries: dict[str, store_entry.StoreEntry] = {}
        self._deletion_count = 0
        self._pruned_revision = 0

    def __iter__(self) -> Iterator[store_entry.StoreEntry]:
        """Iterates over the newest change of each key."""
        return iter(tuple(self._entries.values()))

    def get(self, key: str) -> store_entry.StoreEntry | None:
        """Returns the newest change of a key, or None if none is known."""
        return self._entries.get(key)

    def put(self, entry: store_entry.StoreEntry) -> bool:
        """Stores a change if it is newer than the known one of its key.

        Returns:
            Whether the change was newer, and so was stored.
        """
        known = self._entries.get(entry.key)
        newest = self._pruned_revision if known is None else known.revision
        if entry.revision <= newest:
            return False
        self._entries[entry.key] = entry
        self._deletion_count += _is_deletion(entry) - _is_deletion(known)
        return True

    def prune_deletions(self, complete_revision: int) -> None:
        """Removes the older half of the deletions if there are too many.

        Args:
            complete_revision: Revision up to which all changes are known.
                Later deletions are retained, since an earlier change of the
                same key may still arrive.
        """
        if self._deletion_count <= _MAX_DELETIONS:
            return
        deletion_revisions = sorted(
            entry.revision
            for entry in self._entries.values()
            if entry.value is None and entry.revision <= complete_revision
        )
        if not deletion_revisions:
            return
        self._pruned_revision = deletion_revisions[
            (len(deletion_revisions) - 1) // 2
        ]
        for entry in self:
            if entry.value is None and entry.revision <= self._pruned_revision:
                del self._entries[entry.key]
                self._deletion_count -= 1

    def has_all_deletions_since(self, revision: int) -> bool:
        """Returns whether all deletions after a revision are retained."""
        return revision >= self._pruned_revision

    def list_changes_since(
        self, revision: int
    ) -> tuple[store_entry.StoreEntry, ...]:
        """Returns the retained changes after a revision."""
        return tuple(entry for entry in self if entry.revision > revision)


def _is_deletion(entry: store_entry.StoreEntry | None) -> bool:
    return entry is not None and entry.value is None
