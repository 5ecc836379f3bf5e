"""What entries of the store change in the knowledge of a host."""

from __future__ import annotations

import math
import time

from persimmonhinge import early_logs
from persimmonhinge import errors
from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.metrics import counts as host_counts

if TYPE_CHECKING:
    from persimmonhinge import ids
    from persimmonhinge.forwarding import entry_reader
    from persimmonhinge.forwarding import store_entry as entry_lines

logger = early_logs.get_logger(__name__)

# Least time between two lines about entries that can't be read, seconds; the
# counter counts them all.
_MIN_UNREADABLE_LOG_INTERVAL_S = 1.0


class EntryEffects:
    """Applies changes of entries, each newer than the last one of its key."""

    def __init__(
        self,
        reader: entry_reader.EntryReader,
        knowledge: knowledge_parts.Knowledge,
        counts: host_counts.Counts,
    ) -> None:
        self._reader = reader
        self._knowledge = knowledge
        self._counts = counts
        # Incarnation that the newest entry of each key was of.
        self._incarnations: dict[str, ids.UpstreamId] = {}
        self._unreadable_logged_at = -math.inf

    def is_relevant(self, key: str) -> bool:
        """Tells whether entries of a key change anything."""
        reader = self._reader
        return key == reader.state_key or key.startswith(
            (reader.upstreams_prefix, reader.evacuations_prefix)
        )

    def apply(self, entry: entry_lines.StoreEntry, source: str) -> None:
        """Applies a change; one that can't be read is used for nothing.

        Args:
            line: The change.
            source: Who told it, for the log.
        """
        try:
            self._apply(entry.key, entry.value, source)
        except errors.UnreadableEntryError as error:
            self._reject_unreadable(entry.key, error, source)

    def _apply(self, key: str, value: bytes | None, source: str) -> None:
        reader = self._reader
        if key.startswith(reader.upstreams_prefix):
            self._apply_upstream(key, value, source)
        elif key.startswith(reader.evacuations_prefix):
            self._apply_evacuation(key, value, source)
        elif value is not None:
            self._knowledge.apply_state(reader.read_state(value), source)

    def _apply_upstream(
        self, key: str, value: bytes | None, source: str
    ) -> None:
        now = time.monotonic()
        former = self._incarnations.get(key)
        if value is None:
            if former is not None:
                self._knowledge.record_missing_entry(former, now, source)
            if former is not None and self._knowledge.has_ended(former):
                del self._incarnations[key]
            return
        upstream = self._reader.read_upstream(key, value)
        if former is not None and former != upstream.id:
            self._knowledge.remove_upstream(former, now, source)
        self._incarnations[key] = upstream.id
        self._knowledge.apply_upstream(upstream, now, source)

    def _apply_evacuation(
        self, key: str, value: bytes | None, source: str
    ) -> None:
        domain = self._reader.read_evacuated_domain(key)
        if value is None:
            self._knowledge.end_evacuation(domain, source)
        else:
            self._knowledge.evacuate(domain, source)

    def _reject_unreadable(
        self, key: str, error: errors.UnreadableEntryError, source: str
    ) -> None:
        """Uses an entry that can't be read for nothing.

        Guards against another writer at an upstream's key: flows would go to
        what it names, or to an upstream of which nothing is known any more.
        The upstream keeps its open flows, and gets new ones once it has
        written again. Lines are bounded, since a writer may do this for
        thousands of keys.
        """
        self._counts.add("unreadable_entries_total")
        known = self._incarnations.get(key)
        if known is not None:
            self._knowledge.stop_new_flows(known, source)
        now = time.monotonic()
        if now - self._unreadable_logged_at >= _MIN_UNREADABLE_LOG_INTERVAL_S:
            self._unreadable_logged_at = now
            logger.error("Can't use an entry: %s.", error)
