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
    from persimmonhinge.forwarding import entry_line as entry_lines
    from persimmonhinge.forwarding import entry_reader

logger = early_logs.get_logger(__name__)

# Least time between two lines about entries that can't be read, seconds; the
# counter counts them all.
_TELL_UNREADABLE_S = 1.0


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
        self._named: dict[str, ids.UpstreamId] = {}
        self._told_unreadable_at = -math.inf

    def is_used(self, key: str) -> bool:
        """Tells whether entries of a key change anything."""
        reader = self._reader
        return key == reader.state_key or key.startswith(
            (reader.upstreams_prefix, reader.evacuations_prefix)
        )

    def apply(self, line: entry_lines.EntryLine, source: str) -> None:
        """Applies a change; one that can't be read is used for nothing.

        Args:
            line: The change.
            source: Who told it, for the log.
        """
        try:
            self._apply(line.key, line.value, source)
        except errors.UnreadableEntryError as error:
            self._skip_unreadable(line.key, error, source)

    def _apply(self, key: str, value: bytes | None, source: str) -> None:
        reader = self._reader
        if key.startswith(reader.upstreams_prefix):
            self._apply_upstream(key, value, source)
        elif key.startswith(reader.evacuations_prefix):
            self._apply_evacuation(key, value, source)
        elif value is not None:
            self._knowledge.take_state(reader.read_state(value), source)

    def _apply_upstream(
        self, key: str, value: bytes | None, source: str
    ) -> None:
        now = time.monotonic()
        former = self._named.get(key)
        if value is None:
            if former is not None:
                self._knowledge.miss_upstream(former, now, source)
            if former is not None and self._knowledge.is_gone(former):
                del self._named[key]
            return
        upstream = self._reader.read_upstream(key, value)
        if former is not None and former != upstream.id:
            self._knowledge.end_upstream(former, now, source)
        self._named[key] = upstream.id
        self._knowledge.take_upstream(upstream, now, source)

    def _apply_evacuation(
        self, key: str, value: bytes | None, source: str
    ) -> None:
        domain = self._reader.read_evacuated_domain(key)
        if value is None:
            self._knowledge.end_evacuation(domain, source)
        else:
            self._knowledge.evacuate(domain, source)

    def _skip_unreadable(
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
        known = self._named.get(key)
        if known is not None:
            self._knowledge.withhold_upstream(known, source)
        now = time.monotonic()
        if now - self._told_unreadable_at >= _TELL_UNREADABLE_S:
            self._told_unreadable_at = now
            logger.error("Can't use an entry: %s.", error)
