"""Reads all entries of the store into the knowledge of a host."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import time

from persimmonhinge import early_logs
from persimmonhinge import errors
from persimmonhinge.forwarding import completeness as completenesses
from persimmonhinge.forwarding import entry_effects
from persimmonhinge.forwarding import entry_line as entry_lines
from persimmonhinge.forwarding import entry_table
from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.metrics import counts as host_counts

if TYPE_CHECKING:
    from persimmonhinge.forwarding import entry_reader
    from persimmonhinge.forwarding import flow as flows
    from persimmonhinge.forwarding.peers import messages
    from persimmonhinge.store import port

logger = early_logs.get_logger(__name__)

_SOURCE = "store"
_EVERYTHING = ""
# A desired state of more octets is passed on by itself, after all else: a link
# of 5 Mbit/s carries so much in 0.03 s.
_LONG_STATE_OCTETS = 16_384

# Takes the revision before some changes, and the changes.
Tell = Callable[[int, list[entry_lines.EntryLine]], None]


class Entries:
    """Takes entries of the store into the knowledge of a host.

    Attributes:
        completeness: Up to which revisions all entries are known.
        tell: Called with what the store told first-hand, in one batch or in a
            reading after the first one, and the revision before; with nothing
            if the store said that nothing has changed.
    """

    def __init__(
        self,
        reader: entry_reader.EntryReader,
        knowledge: knowledge_parts.Knowledge,
        counts: host_counts.Counts,
    ) -> None:
        self._reader = reader
        self._knowledge = knowledge
        self._counts = counts
        self._table = entry_table.EntryTable()
        self._effects = entry_effects.EntryEffects(reader, knowledge, counts)
        self.completeness = completenesses.Completeness()
        self.tell: Tell | None = None

    @property
    def revision(self) -> int:
        """All changes of entries up to this revision are known."""
        return self.completeness.revision

    @property
    def state_key(self) -> str:
        """Key of the desired state."""
        return self._reader.state_key

    async def read_all(self, store: port.PlatformReader) -> int:
        """Reads all entries, in one call unless they are many.

        The pages of many entries are no snapshot. Nothing later than the first
        one is taken for complete: a desired state that came between two pages
        would be missed, and never asked for, if the revision of an upstream
        stood for both.

        Returns:
            A revision that they are all at least of.

        Raises:
            PlatformError: The store gave no answer or a refusal.
        """
        found = await store.get_prefix(_EVERYTHING)
        self.record_answer()
        for pair in found.values:
            self.take(pair.key, pair.value, pair.mod_revision)
        self._miss_others({pair.key for pair in found.values}, found.revision)
        before = self.revision
        complete_to = found.revision
        claimed = (e.revision for e in self._table if e.revision <= complete_to)
        self._advance(max(claimed, default=0))
        self._tell_since(before)
        return complete_to

    def take_batch(self, batch: Sequence[port.WatchEvent]) -> None:
        """Takes in changes that the store told, in their order.

        A reading may have brought some of them already, but they were not
        taken for complete, nor told to others.
        """
        after = self.revision
        told = []
        for event in batch:
            line = entry_lines.EntryLine(
                event.key, event.value, event.mod_revision
            )
            is_newer = self._take_line(line, _SOURCE)
            if is_newer or (
                line.revision > after and self._effects.is_used(line.key)
            ):
                told.append(line)
                self._advance(line.revision)
        if told and self.tell is not None:
            self.tell(after, told)

    def _tell_since(self, before: int) -> None:
        """Tells others what a reading after the first one brought.

        Guards against a watch that went silent: what the new reading brings
        would be known to others only after the next report of this host, and
        an upstream that left would get new flows until then.
        """
        lines = [
            line
            for line in self._table
            if before < line.revision <= self.revision
        ]
        if before and lines and self.tell is not None:
            self.tell(before, sorted(lines, key=lambda line: line.revision))

    def tell_nothing_newer(self) -> None:
        """Tells others that the store has nothing newer than is known here."""
        if self.tell is not None:
            self.tell(self.revision, [])

    def is_read(self) -> bool:
        """Tells whether the store has answered this host or another one."""
        return self._knowledge.confirmed_at is not None

    def is_settled(self) -> bool:
        """Tells whether entries that are not there are gone."""
        return self._knowledge.trust.holds(time.monotonic())

    def take_news(self, news: messages.EntryUpdate, source: str) -> None:
        """Takes in changes that another host was told by the store.

        Guards against a gap: news are datagrams, and one that is lost must
        not be taken for known because a later one has come.
        """
        if news.entries:
            self._take_lines(
                news.entries, source, settled=news.is_absence_final
            )
        if news.base_revision <= self.revision:
            self._advance(news.revision)
        if news.base_revision <= self.completeness.upstreams_revision:
            self.completeness.lack_state(news.upstreams_revision)
            self.completeness.advance_upstreams(
                max(news.revision, news.upstreams_revision)
            )
        if self._knows_all(news):
            self._knowledge.confirm(time.monotonic())

    def _knows_all(self, news: messages.EntryUpdate) -> bool:
        """Tells whether the sender of news knows nothing more."""
        known = self.completeness
        upstreams_upto = max(news.revision, news.upstreams_revision)
        return (
            0 < news.revision <= known.revision
            and upstreams_upto <= known.upstreams_revision
        )

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
        line = entry_lines.EntryLine(key, value, revision)
        return self._take_line(line, source)

    def has_long_state_since(self, revision: int) -> bool:
        """Tells whether a long desired state came after a revision."""
        line = self._table.get(self._reader.state_key)
        return (
            line is not None
            and line.revision > revision
            and len(line.value or b"") > _LONG_STATE_OCTETS
        )

    def make_short_snapshot(
        self, since: int, peers: tuple[flows.Endpoint, ...]
    ) -> messages.Snapshot:
        """Returns what changed after a revision but a long desired state.

        Guards against new flows to an upstream that left: its entry of some
        hundred octets would wait behind a desired state of some hundred
        thousand, which a thin link does not carry within the limit of a pull.
        """
        from persimmonhinge.forwarding.peers import messages

        snapshot = self.make_snapshot(since, peers)
        entries = snapshot.entries
        state_revision = self.completeness.find_missing_state()
        if self.has_long_state_since(
            0 if snapshot.lists_all_entries else since
        ):
            state_key = self._reader.state_key
            entries = tuple(e for e in entries if e.key != state_key)
            state_revision = max(state_revision, self._find_state_revision())
        return messages.Snapshot(
            self.completeness.upstreams_revision,
            snapshot.is_absence_final,
            entries,
            peers,
            snapshot.lists_all_entries,
            state_revision,
        )

    def make_snapshot(
        self, since: int, peers: tuple[flows.Endpoint, ...]
    ) -> messages.Snapshot:
        """Returns the entries that changed after a revision, or all."""
        # Not needed before the first packet, and drawn in by what asks here.
        from persimmonhinge.forwarding.peers import messages

        whole = not self._table.has_all_since(since)
        entries = self._table.changes_since(0 if whole else since)
        return messages.Snapshot(
            self.revision, self.is_settled(), entries, peers, whole
        )

    def take_snapshot(self, snapshot: messages.Snapshot, source: str) -> None:
        """Takes in all that another host knows beyond this host's revision."""
        self._take_changes(snapshot, source)
        self._advance(snapshot.revision)

    def take_short_snapshot(
        self, snapshot: messages.Snapshot, source: str
    ) -> None:
        """Takes in what another host knows beyond `upstreams_revision`."""
        self._take_changes(snapshot, source)
        if snapshot.omitted_state_revision > self._find_state_revision():
            self.completeness.lack_state(snapshot.omitted_state_revision)
        self.completeness.advance_upstreams(snapshot.revision)

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

    def _take_changes(self, snapshot: messages.Snapshot, source: str) -> None:
        self._take_lines(
            snapshot.entries, source, settled=snapshot.is_absence_final
        )
        if snapshot.lists_all_entries:
            keys = {line.key for line in snapshot.entries}
            self._miss_others(keys, snapshot.revision, source)

    def _take_lines(
        self,
        lines: Sequence[entry_lines.EntryLine],
        source: str,
        *,
        settled: bool,
    ) -> None:
        if not settled:
            self.doubt()
        for line in lines:
            self._take_line(line, source)

    def _take_line(self, line: entry_lines.EntryLine, source: str) -> bool:
        """Takes in an entry if it is newer; see `take`.

        Guards against going back: a peer that was cut off, or an answer that
        comes late, brings an entry as it was before.
        """
        if not self._effects.is_used(line.key):
            return False
        if not self._table.put(line):
            return False
        self._effects.apply(line, source)
        return True

    def _advance(self, revision: int) -> None:
        self.completeness.advance(revision)
        self._table.forget_deletions(self.revision)

    def _find_state_revision(self) -> int:
        line = self._table.get(self._reader.state_key)
        return line.revision if line is not None else 0

    def _miss_others(
        self, keys: set[str], revision: int, source: str = _SOURCE
    ) -> None:
        """Takes all entries for deleted that a reading does not show.

        The desired state is never deleted: it stays as it was.
        """
        for entry in self._table:
            if entry.key in keys or entry.value is None:
                continue
            if entry.key != self._reader.state_key:
                self.take(entry.key, None, revision, source)
