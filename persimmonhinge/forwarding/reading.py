"""Reads all entries of the store into the knowledge of a host."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import logging
import time
from typing import Protocol

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.forwarding import desired_state as desired_states
from persimmonhinge.forwarding import entry_table
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.store import port

logger = logging.getLogger(__name__)

_SOURCE = "store"


class EntryReader(Protocol):
    """Reads the platform's entries; the adapter implements it.

    Attributes:
        state_key: Key of the desired state.
        upstreams_prefix: Prefix of the keys of upstreams.
    """

    state_key: str
    upstreams_prefix: str

    def read_state(self, value: bytes) -> desired_states.DesiredState:
        """Reads the desired state."""

    def read_upstream(self, key: str, value: bytes) -> upstreams.Upstream:
        """Reads an upstream."""

    def name_upstream(self, key: str) -> ids.UpstreamId:
        """Returns whose entry is under a key."""


class Entries:
    """Takes entries of the store into the knowledge of a host.

    Attributes:
        revision: All changes of entries up to this revision are known. It is
            always that of an entry, so hosts that know the same have the same.
        tell: Called with what the store told first-hand in one batch, and the
            revision before.
    """

    def __init__(
        self,
        reader: EntryReader,
        knowledge: knowledge_parts.Knowledge,
        counts: host_counts.Counts,
    ) -> None:
        self._reader = reader
        self._knowledge = knowledge
        self._counts = counts
        self._table = entry_table.EntryTable()
        self.revision = 0
        self.tell: Callable[[int, list[messages.EntryLine]], None] | None = None

    @property
    def state_key(self) -> str:
        """Key of the desired state."""
        return self._reader.state_key

    async def read_all(self, store: port.Platform) -> int:
        """Reads all entries.

        Upstreams are read after the desired state, so both are as new as the
        earlier of the two revisions.

        Returns:
            A revision that they are all at least of.

        Raises:
            PlatformError: The store gave no answer or a refusal.
        """
        state = await store.get_prefix(self._reader.state_key)
        self.record_answer()
        for pair in state.values:
            self.take(pair.key, pair.value, pair.mod_revision)
        found = await store.get_prefix(self._reader.upstreams_prefix)
        self.record_answer()
        for pair in found.values:
            self.take(pair.key, pair.value, pair.mod_revision)
        self._miss_others({pair.key for pair in found.values}, found.revision)
        self._advance(max((line.revision for line in self._table), default=0))
        return min(state.revision, found.revision)

    def take_batch(self, batch: Sequence[port.WatchEvent]) -> None:
        """Takes in changes that the store told, in their order."""
        after = self.revision
        told = []
        for event in batch:
            line = messages.EntryLine(
                event.key, event.value, event.mod_revision
            )
            if self._take_line(line, _SOURCE):
                told.append(line)
                self._advance(line.revision)
        if told and self.tell is not None:
            self.tell(after, told)

    def is_read(self) -> bool:
        """Tells whether the store has answered this host or another one."""
        return self._knowledge.confirmed_at is not None

    def is_settled(self) -> bool:
        """Tells whether entries that are not there are gone."""
        return self._knowledge.trust.holds(time.monotonic())

    def take_news(self, news: messages.News, source: str) -> None:
        """Takes in changes that another host was told by the store.

        Guards against a gap: news are datagrams, and one that is lost must
        not be taken for known because a later one has come.
        """
        self._take_lines(news.entries, source, settled=news.settled)
        if news.after <= self.revision:
            self._advance(news.upto)

    def take(
        self,
        key: str,
        value: bytes | None,
        revision: int,
        source: str = _SOURCE,
    ) -> bool:
        """Takes in an entry, or that it was deleted, if it is newer.

        Args:
            key: Key of the entry.
            value: Its value; None if it was deleted.
            revision: Revision of the store of the change.
            source: Who told it, for the log.

        Returns:
            True if it is newer than what was known.
        """
        line = messages.EntryLine(key, value, revision)
        return self._take_line(line, source)

    def make_snapshot(
        self, since: int, peers: tuple[flows.Endpoint, ...]
    ) -> messages.Snapshot:
        """Returns the entries that changed after a revision, or all."""
        whole = not self._table.has_all_since(since)
        entries = self._table.changes_since(0 if whole else since)
        return messages.Snapshot(
            self.revision, self.is_settled(), entries, peers, whole
        )

    def take_snapshot(self, snapshot: messages.Snapshot, source: str) -> None:
        """Takes in what another host knows beyond this host's revision."""
        self._take_lines(snapshot.entries, source, settled=snapshot.settled)
        if snapshot.whole:
            keys = {line.key for line in snapshot.entries}
            self._miss_others(keys, snapshot.revision, source)
        self._advance(snapshot.revision)

    def record_answer(self) -> None:
        """Records that the store answered."""
        now = time.monotonic()
        self._knowledge.confirm(now)
        self._knowledge.settle(now)
        if self._knowledge.trust.record_answer(now):
            logger.warning("Store is back.", extra={"dependency": "store"})

    def record_failure(self, error: errors.PlatformError) -> None:
        """Records that the store failed to answer."""
        trust = self._knowledge.trust
        self._counts.add("store_failures_total")
        if not trust.failing:
            logger.warning(
                "Store is lost.",
                extra={"dependency": "store", "error": str(error)},
            )
        trust.record_failure()

    def doubt(self) -> None:
        """Takes entries that are not there for missing, for some time.

        Guards against taking upstreams for dead whose entries expired in an
        outage that only another host has seen: the one that follows the
        store, or the one that did until a moment ago.
        """
        self._knowledge.trust.doubt(time.monotonic())

    def _take_lines(
        self,
        lines: Sequence[messages.EntryLine],
        source: str,
        *,
        settled: bool,
    ) -> None:
        if not settled:
            self.doubt()
        for line in lines:
            self._take_line(line, source)

    def _take_line(self, line: messages.EntryLine, source: str) -> bool:
        """Takes in an entry if it is newer; see `take`.

        Guards against going back: a peer that was cut off, or an answer that
        comes late, brings an entry as it was before.
        """
        if not line.key.startswith(self._prefixes()):
            return False
        if not self._table.put(line):
            return False
        try:
            self._apply(line.key, line.value, source)
        except errors.UnreadableEntryError as error:
            self._counts.add("unreadable_entries_total")
            logger.error("Keeps the former entry: %s.", error)
        return True

    def _advance(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        self._table.forget_deletions(self.revision)

    def _prefixes(self) -> tuple[str, ...]:
        return (self._reader.state_key, self._reader.upstreams_prefix)

    def _apply(self, key: str, value: bytes | None, source: str) -> None:
        reader = self._reader
        if key == reader.state_key and value is not None:
            self._knowledge.take_state(reader.read_state(value), source)
        elif key.startswith(reader.upstreams_prefix):
            self._apply_upstream(key, value, source)

    def _apply_upstream(
        self, key: str, value: bytes | None, source: str
    ) -> None:
        now = time.monotonic()
        if value is None:
            name = self._reader.name_upstream(key)
            self._knowledge.miss_upstream(name, now, source)
        else:
            upstream = self._reader.read_upstream(key, value)
            self._knowledge.take_upstream(upstream, now, source)

    def _miss_others(
        self, keys: set[str], revision: int, source: str = _SOURCE
    ) -> None:
        """Takes all upstreams for deleted that a reading does not show."""
        for entry in self._table:
            if entry.key in keys or entry.value is None:
                continue
            if entry.key.startswith(self._reader.upstreams_prefix):
                self.take(entry.key, None, revision, source)
