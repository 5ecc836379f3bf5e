"""The key-value store of the platform's stand-in, in memory."""

from __future__ import annotations

import copy
import dataclasses

from persimmonhinge import changes


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key as it stands."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change of one key; `entry` is None for a delete."""

    revision: int
    key: bytes
    entry: Entry | None


@dataclasses.dataclass
class Contents:
    """All that a restore brings back.

    Attributes:
        revision: Number of the newest change.
        compacted: Events up to here can no longer be watched.
        entries: Keys that exist.
        events: Changes in order, compacted ones left out.
    """

    revision: int = 1
    compacted: int = 0
    entries: dict[bytes, Entry] = dataclasses.field(default_factory=dict)
    events: list[Event] = dataclasses.field(default_factory=list)


class Store:
    """Keys with revisions and a history of changes.

    Attributes:
        changed: Announced at each change.
        epoch: Number of restores so far; watches of an older one end.
    """

    def __init__(self) -> None:
        self.changed = changes.ChangeSignal()
        self.epoch = 0
        self._contents = Contents()
        self._copy = Contents()

    @property
    def revision(self) -> int:
        """Number of the newest change."""
        return self._contents.revision

    @property
    def compacted(self) -> int:
        """Newest revision that can no longer be watched."""
        return self._contents.compacted

    def get(self, key: bytes) -> Entry | None:
        """Returns a key, None if it does not exist."""
        return self._contents.entries.get(key)

    def select(self, key: bytes, range_end: bytes) -> list[Entry]:
        """Returns a key, or all from it up to but without `range_end`."""
        return [
            self._contents.entries[candidate]
            for candidate in sorted(self._contents.entries)
            if covers(key, range_end, candidate)
        ]

    def begin(self) -> int:
        """Starts a change of one or more keys; returns its revision."""
        self._contents.revision += 1
        return self._contents.revision

    def put(self, revision: int, key: bytes, value: bytes, lease: int) -> None:
        """Writes a key within a change."""
        former = self.get(key)
        entry = Entry(
            key=key,
            value=value,
            create_revision=former.create_revision if former else revision,
            mod_revision=revision,
            version=former.version + 1 if former else 1,
            lease=lease,
        )
        self._contents.entries[key] = entry
        self._contents.events.append(Event(revision, key, entry))

    def delete(self, revision: int, key: bytes) -> None:
        """Deletes a key within a change."""
        if self._contents.entries.pop(key, None) is not None:
            self._contents.events.append(Event(revision, key, None))

    def end(self) -> None:
        """Ends a change: watches see it."""
        self.changed.announce()

    def delete_leased(self, lease: int) -> None:
        """Deletes all keys of a lease."""
        entries = self._contents.entries.values()
        keys = [entry.key for entry in entries if entry.lease == lease]
        if not keys:
            return
        revision = self.begin()
        for key in keys:
            self.delete(revision, key)
        self.end()

    def events_from(self, revision: int) -> list[Event]:
        """Returns all changes from a revision on."""
        events = self._contents.events
        return [event for event in events if event.revision >= revision]

    def compact(self, revision: int | None) -> None:
        """Forgets changes up to a revision."""
        if revision is None:
            revision = self._contents.revision
        self._contents.compacted = revision
        self._contents.events = self.events_from(revision + 1)

    def take_copy(self) -> None:
        """Keeps a copy for `restore`."""
        self._copy = copy.deepcopy(self._contents)

    def restore(self) -> None:
        """Goes back to the copy, revisions included."""
        self._contents = copy.deepcopy(self._copy)
        self.epoch += 1
        self.changed.announce()


def covers(key: bytes, range_end: bytes, candidate: bytes) -> bool:
    """Tells whether a range, or a single key, holds a key."""
    if not range_end:
        return candidate == key
    if range_end == b"\x00":
        return candidate >= key
    return key <= candidate < range_end
