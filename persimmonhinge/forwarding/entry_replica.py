"""A host's replica of the entries of the store."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import time

from persimmonhinge import early_logs
from persimmonhinge import errors
from persimmonhinge.forwarding import completeness
from persimmonhinge.forwarding import entry_effects
from persimmonhinge.forwarding import entry_table
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import refusals as refusals_module
from persimmonhinge.forwarding import store_entry
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.metrics import counts as counts_module

if TYPE_CHECKING:
    from persimmonhinge.forwarding import entry_reader
    from persimmonhinge.forwarding import flow
    from persimmonhinge.forwarding.peers import messages
    from persimmonhinge.store import port

logger = early_logs.get_logger(__name__)

_STORE_SOURCE = "store"
_ALL_KEYS_PREFIX = ""
# Length above which a desired state is sent separately, after all other
# entries, octets. A link of 5 Mbit/s transfers this length in 0.03 s.
_LONG_STATE_OCTETS = 16_384
# Length above which the value of any other entry is not stored, octets. Those
# of upstreams have some hundred.
_MAX_VALUE_OCTETS = 16_384
# Length above which a desired state is not stored, octets. The store takes up
# to a megabyte.
_MAX_STATE_OCTETS = 1_100_000

# Called with the revision before some changes, and with the changes.
ChangesCallback = Callable[[int, list[store_entry.StoreEntry]], None]


class EntryReplica:
    """Replicates entries of the store and applies them to a host's knowledge.

    Attributes:
        completeness: Revisions up to which all entries are known.
        on_changes: Called with the previous revision and the changes that this
            host itself received from the store, in one batch or in a read
            after the first one. The changes are empty if the store reported
            that nothing changed.
    """

    def __init__(
        self,
        reader: entry_reader.EntryReader,
        knowledge: knowledge_module.Knowledge,
        counts: counts_module.Counts,
        refusals: refusals_module.Refusals | None = None,
    ) -> None:
        """Creates a replica without entries.

        Args:
            reader: Decodes the entries.
            knowledge: The host's knowledge.
            counts: Counters of the host.
            refusals: Records entries that are not used; None for a record of
                the replica's own.
        """
        self._reader = reader
        self._knowledge = knowledge
        self._counts = counts
        self._table = entry_table.EntryTable(reader.state_key)
        self._effects = entry_effects.EntryEffects(
            reader,
            knowledge,
            counts,
            refusals or refusals_module.Refusals(counts),
        )
        self.completeness = completeness.Completeness()
        self.on_changes: ChangesCallback | None = None

    @property
    def revision(self) -> int:
        """Revision up to which all changes of entries are known."""
        return self.completeness.revision

    @property
    def state_key(self) -> str:
        """Key of the desired state."""
        return self._reader.state_key

    async def read_all(self, store: port.PlatformReader) -> int:
        """Reads all entries from the store, in pages if there are many.

        The pages together are not a consistent snapshot, so the replica counts
        as complete only up to the revision of the first page. If it counted as
        complete up to the higher revision of an upstream on a later page, it
        would miss a desired state that changed between the two pages, and
        would never request it.

        Returns:
            Revision of the first page; no entry is older than its state at
            this revision.

        Raises:
            PlatformError: The store did not answer or rejected the call.
        """
        result = await store.get_prefix(_ALL_KEYS_PREFIX)
        self.record_answer()
        for pair in result.values:
            self.apply(pair.key, pair.value, pair.mod_revision)
        present_keys = {pair.key for pair in result.values}
        self._table.retain_refused_keys(present_keys)
        self._delete_absent_entries(present_keys, result.revision)
        previous_revision = self.revision
        complete_revision = result.revision
        known_revisions = (
            e.revision for e in self._table if e.revision <= complete_revision
        )
        self._advance(max(known_revisions, default=0))
        self._report_changes_since(previous_revision)
        return complete_revision

    def apply_batch(self, batch: Sequence[port.WatchEvent]) -> None:
        """Applies changes received from the store, in their order.

        A read of all entries may have applied some of them before, but without
        advancing the revision and without reporting them to other hosts.
        """
        previous_revision = self.revision
        changes = []
        for event in batch:
            entry = store_entry.StoreEntry(
                event.key, event.value, event.mod_revision
            )
            is_newer = self._apply_entry(entry, _STORE_SOURCE)
            if is_newer or (
                entry.revision > previous_revision
                and self._effects.is_relevant(entry.key)
            ):
                changes.append(entry)
                self._advance(entry.revision)
        if changes and self.on_changes is not None:
            self.on_changes(previous_revision, changes)

    def _report_changes_since(self, previous_revision: int) -> None:
        """Reports the changes found by a read, except for the first read.

        Guards against a watch that stopped delivering changes. Other hosts
        would learn of the changes found by the new read only from this host's
        next report, and a stopping upstream would get new flows until then.
        """
        changes = [
            entry
            for entry in self._table
            if previous_revision < entry.revision <= self.revision
        ]
        if previous_revision and changes and self.on_changes is not None:
            self.on_changes(
                previous_revision,
                sorted(changes, key=lambda entry: entry.revision),
            )

    def report_no_changes(self) -> None:
        """Reports that the store has no entries newer than this replica."""
        if self.on_changes is not None:
            self.on_changes(self.revision, [])

    def is_confirmed(self) -> bool:
        """Returns whether the store has confirmed the entries to some host."""
        return self._knowledge.confirmed_at is not None

    def is_absence_final(self) -> bool:
        """Returns whether entries absent from the store were really deleted."""
        return self._knowledge.store_trust.confirms_absence(time.monotonic())

    def apply_update(self, update: messages.EntryUpdate, source: str) -> None:
        """Applies changes that another host received from the store.

        Guards against gaps: updates are datagrams, and the entries of a lost
        one must not count as known because a later one has arrived.
        """
        if update.entries:
            self._apply_entries(
                update.entries, source, settled=update.is_absence_final
            )
        if update.base_revision <= self.revision:
            self._advance(update.revision)
        if update.base_revision <= self.completeness.upstreams_revision:
            self.completeness.record_missing_state(update.upstreams_revision)
            self.completeness.advance_upstreams(
                max(update.revision, update.upstreams_revision)
            )
        if self._covers_update(update):
            self._knowledge.confirm(time.monotonic())

    def _covers_update(self, update: messages.EntryUpdate) -> bool:
        """Returns whether this replica is as recent as an update's sender."""
        known = self.completeness
        upstreams_revision = max(update.revision, update.upstreams_revision)
        return (
            0 < update.revision <= known.revision
            and upstreams_revision <= known.upstreams_revision
        )

    def apply(
        self,
        key: str,
        value: bytes | None,
        revision: int,
        source: str = _STORE_SOURCE,
    ) -> bool:
        """Applies an entry or its deletion if it is newer than the known one.

        Args:
            key: Key of the entry.
            value: Value of the entry; None if it was deleted.
            revision: Revision of the store at which the entry changed.
            source: Sender of the entry, for the log.

        Returns:
            Whether the change was newer, and so was applied.
        """
        entry = store_entry.StoreEntry(key, value, revision)
        return self._apply_entry(entry, source)

    def has_long_state_since(self, revision: int) -> bool:
        """Returns whether a long desired state was written after a revision."""
        entry = self._table.get(self._reader.state_key)
        return (
            entry is not None
            and entry.revision > revision
            and len(entry.value or b"") > _LONG_STATE_OCTETS
        )

    def make_short_snapshot(
        self, since_revision: int, peers: tuple[flow.Endpoint, ...]
    ) -> messages.Snapshot:
        """Returns the changes after a revision, without a long desired state.

        Guards against new flows to an upstream that has stopped: its entry of
        some hundred octets would wait behind a desired state of some hundred
        thousand, which a slow link cannot transfer within the time limit of a
        pull.
        """
        from persimmonhinge.forwarding.peers import messages

        snapshot = self.make_snapshot(since_revision, peers)
        entries = snapshot.entries
        state_revision = self.completeness.find_missing_state_revision()
        if self.has_long_state_since(
            0 if snapshot.lists_all_entries else since_revision
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
        self, since_revision: int, peers: tuple[flow.Endpoint, ...]
    ) -> messages.Snapshot:
        """Returns the entries changed after a revision.

        Returns all entries if deletions after that revision have been pruned.
        They don't count as all if some had no room here: a receiver would
        treat those as deleted.
        """
        # The import is deferred because the module is not needed before the
        # first packet; the callers import it anyway.
        from persimmonhinge.forwarding.peers import messages

        whole = not self._table.has_all_deletions_since(since_revision)
        entries = self._table.list_changes_since(0 if whole else since_revision)
        return messages.Snapshot(
            self.revision,
            self.is_absence_final(),
            entries,
            peers,
            whole and not self._table.has_refused_keys,
        )

    def apply_snapshot(self, snapshot: messages.Snapshot, source: str) -> None:
        """Applies another host's snapshot of the changes after `revision`."""
        self._apply_snapshot_entries(snapshot, source)
        self._advance(snapshot.revision)

    def apply_short_snapshot(
        self, snapshot: messages.Snapshot, source: str
    ) -> None:
        """Applies a snapshot that may omit a long desired state.

        It holds another host's changes after `upstreams_revision`.
        """
        self._apply_snapshot_entries(snapshot, source)
        if snapshot.omitted_state_revision > self._find_state_revision():
            self.completeness.record_missing_state(
                snapshot.omitted_state_revision
            )
        self.completeness.advance_upstreams(snapshot.revision)

    def record_answer(self) -> None:
        """Records that the store answered this host."""
        now = time.monotonic()
        if self._knowledge.is_outdated(now):
            self.record_reported_outage()
        self._knowledge.confirm(now)
        self._knowledge.end_missing_upstreams(now)
        if self._knowledge.store_trust.record_answer(now):
            logger.warning(
                "Store is reachable again.", extra={"dependency": "store"}
            )

    def record_failure(self, error: errors.PlatformError) -> None:
        """Records that a call to the store failed."""
        trust = self._knowledge.store_trust
        self._counts.add("store_failures_total")
        if not trust.is_failing:
            logger.warning(
                "Store is unreachable.",
                extra={"dependency": "store", "error": str(error)},
            )
        trust.record_failure()

    def record_reported_outage(self) -> None:
        """Treats absent entries as missing, not deleted, for some time.

        Guards against treating upstreams as ended whose entries expired in an
        outage of the store that only another host observed: the one that
        follows the store, or the one that did until shortly before. None that
        runs may have observed an outage while this host was suspended.
        """
        self._knowledge.store_trust.record_reported_return(time.monotonic())

    def _apply_snapshot_entries(
        self, snapshot: messages.Snapshot, source: str
    ) -> None:
        self._apply_entries(
            snapshot.entries, source, settled=snapshot.is_absence_final
        )
        if snapshot.lists_all_entries:
            present_keys = {entry.key for entry in snapshot.entries}
            self._delete_absent_entries(present_keys, snapshot.revision, source)

    def _apply_entries(
        self,
        entries: Sequence[store_entry.StoreEntry],
        source: str,
        *,
        settled: bool,
    ) -> None:
        if not settled:
            self.record_reported_outage()
        for entry in entries:
            self._apply_entry(entry, source)

    def _apply_entry(self, entry: store_entry.StoreEntry, source: str) -> bool:
        """Applies an entry if it is newer; see `apply`.

        Guards against reverting to an older entry, which a peer that was
        partitioned or a late answer of the store may deliver.
        """
        if not self._effects.is_relevant(entry.key):
            self._effects.refuse_key(entry.key)
            return False
        entry = self._omit_long_value(entry)
        if not self._table.is_newer(entry):
            return False
        if not self._table.has_room(entry):
            self._table.record_refused_key(entry)
            self._effects.refuse_without_room(entry.key)
            return False
        self._table.put(entry)
        outcome = self._effects.apply(entry, source)
        if outcome is entry_effects.Outcome.UNREADABLE:
            self._table.clear_value(entry)
        elif outcome is entry_effects.Outcome.FAILED:
            self._table.record_failure(entry.key)
        return True

    def _omit_long_value(
        self, entry: store_entry.StoreEntry
    ) -> store_entry.StoreEntry:
        """Returns an entry with an empty value if its own has no room.

        Guards against a host that exceeds its memory by the entries of another
        writer. An empty value is unreadable, here and at other hosts, except
        for that of an evacuation, whose value has no meaning.
        """
        is_state = entry.key == self._reader.state_key
        max_octets = _MAX_STATE_OCTETS if is_state else _MAX_VALUE_OCTETS
        is_known = self._table.get(entry.key) is not None
        if entry.value is None or (
            len(entry.value) <= max_octets
            and not (is_known and not self._table.has_room(entry))
        ):
            return entry
        return store_entry.StoreEntry(entry.key, b"", entry.revision)

    def _advance(self, revision: int) -> None:
        self.completeness.advance(revision)
        self._table.prune_deletions(self.revision)

    def _find_state_revision(self) -> int:
        entry = self._table.get(self._reader.state_key)
        return entry.revision if entry is not None else 0

    def _delete_absent_entries(
        self, present_keys: set[str], revision: int, source: str = _STORE_SOURCE
    ) -> None:
        """Applies the deletion of all entries that a full read did not return.

        The desired state is never deleted; the last known one stays in force.
        """
        for entry in self._table:
            if entry.key in present_keys:
                continue
            if entry.value is None and not self._table.has_failed(entry.key):
                continue
            if entry.key != self._reader.state_key:
                self.apply(entry.key, None, revision, source)
