"""Table of the newest known change of each entry of the store."""

from __future__ import annotations

from collections.abc import Iterator

from persimmonhinge.forwarding import store_entry

# Maximum number of deletions that are retained for hosts whose entries are
# out of date.
_MAX_DELETIONS = 1000
# Maximum number of entries: three times the largest deployment. Only new keys
# are refused.
_MAX_ENTRIES = 16_000
# Maximum length of all entries but the desired state up to which new keys are
# accepted, octets. A snapshot with a desired state must stay below
# `message_limits.MAX_SNAPSHOT_OCTETS`.
_MAX_OCTETS = 2_750_000
# Maximum length to which values of known keys may grow, octets.
_MAX_GROWN_OCTETS = 2_850_000
# Maximum length of an encoded entry without its key and value, octets.
_OVERHEAD_OCTETS = 20
# Maximum number of refused keys in memory.
_MAX_REFUSED_KEYS = 1000


class EntryTable:
    """Holds entries by key, including recent deletions.

    Guards against memory use that grows with each upstream that ever existed:
    the number of retained deletions is limited. A key that is not in the table
    counts as deleted at the revision of the newest pruned deletion, and a host
    whose entries are older than that revision is sent all entries.

    Guards also against another writer that fills the memory: the number and
    the length of entries are limited.
    """

    def __init__(self, state_key: str) -> None:
        """Creates an empty table.

        Args:
            state_key: Key of the desired state, which always has room.
        """
        self._state_key = state_key
        self._octets = 0
        self._refused: set[str] = set()
        self._failed: set[str] = set()
        self._entries: dict[str, store_entry.StoreEntry] = {}
        self._deletion_count = 0
        self._pruned_revision = 0

    def __iter__(self) -> Iterator[store_entry.StoreEntry]:
        """Iterates over the newest change of each key."""
        return iter(tuple(self._entries.values()))

    def get(self, key: str) -> store_entry.StoreEntry | None:
        """Returns the newest change of a key, or None if none is known."""
        return self._entries.get(key)

    @property
    def has_refused_keys(self) -> bool:
        """Whether keys are absent only because there was no room for them."""
        return bool(self._refused)

    def has_room(self, entry: store_entry.StoreEntry) -> bool:
        """Returns whether a change fits into the table."""
        if entry.key == self._state_key:
            return True
        known = self._entries.get(entry.key)
        octets = self._octets + self._measure(entry) - self._measure(known)
        if known is not None:
            return octets <= _MAX_GROWN_OCTETS
        return octets <= _MAX_OCTETS and len(self._entries) < _MAX_ENTRIES

    def record_refused_key(self, entry: store_entry.StoreEntry) -> None:
        """Records a refused new key, which must not count as deleted.

        Only a bounded number of them can be accepted later at a revision that
        deletions have been pruned up to.
        """
        if entry.value is None:
            self._refused.discard(entry.key)
        elif len(self._refused) < _MAX_REFUSED_KEYS:
            self._refused.add(entry.key)

    def retain_refused_keys(self, present_keys: set[str]) -> None:
        """Forgets refused keys that a full read did not return."""
        self._refused &= present_keys

    def is_newer(self, entry: store_entry.StoreEntry) -> bool:
        """Returns whether a change is newer than the known one of its key.

        A change whose application failed counts as newer than itself.
        """
        known = self._entries.get(entry.key)
        if known is not None and entry.key in self._failed:
            return entry.revision >= known.revision
        if known is not None:
            return entry.revision > known.revision
        if entry.key in self._refused:
            return True
        return entry.revision > self._pruned_revision

    def record_failure(self, key: str) -> None:
        """Records that the stored change of a key could not be applied."""
        self._failed.add(key)

    def has_failed(self, key: str) -> bool:
        """Returns whether the stored change of a key could not be applied."""
        return key in self._failed

    def clear_value(self, entry: store_entry.StoreEntry) -> None:
        """Replaces the stored value of an unreadable change by an empty one.

        That of a desired state remains, as it needs no room of others.
        """
        if entry.key == self._state_key:
            return
        empty = store_entry.StoreEntry(entry.key, b"", entry.revision)
        self._octets += self._measure(empty) - self._measure(entry)
        self._entries[entry.key] = empty

    def put(self, entry: store_entry.StoreEntry) -> bool:
        """Stores a change if it is newer than the known one of its key.

        Returns:
            Whether the change was newer, and so was stored.
        """
        if not self.is_newer(entry):
            return False
        known = self._entries.get(entry.key)
        self._entries[entry.key] = entry
        self._refused.discard(entry.key)
        self._failed.discard(entry.key)
        self._octets += self._measure(entry) - self._measure(known)
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
                self._failed.discard(entry.key)
                self._deletion_count -= 1
                self._octets -= self._measure(entry)

    def has_all_deletions_since(self, revision: int) -> bool:
        """Returns whether all deletions after a revision are retained."""
        return revision >= self._pruned_revision

    def list_changes_since(
        self, revision: int
    ) -> tuple[store_entry.StoreEntry, ...]:
        """Returns the retained changes after a revision."""
        return tuple(entry for entry in self if entry.revision > revision)

    def _measure(self, entry: store_entry.StoreEntry | None) -> int:
        """Returns the maximum encoded length of an entry, octets."""
        if entry is None or entry.key == self._state_key:
            return 0
        key_octets = len(entry.key.encode())
        return key_octets + len(entry.value or b"") + _OVERHEAD_OCTETS


def _is_deletion(entry: store_entry.StoreEntry | None) -> bool:
    return entry is not None and entry.value is None
