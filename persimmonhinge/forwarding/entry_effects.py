"""Applies changes of store entries to the knowledge of a host."""

from __future__ import annotations

import enum
import math
import time

from persimmonhinge import early_logs
from persimmonhinge import errors
from persimmonhinge.forwarding import input_source
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import refusals as refusals_module
from persimmonhinge.forwarding import store_entry
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.metrics import counts as counts_module

if TYPE_CHECKING:
    from persimmonhinge import ids
    from persimmonhinge.forwarding import entry_reader
    from persimmonhinge.forwarding import upstream as upstream_module

logger = early_logs.get_logger(__name__)

# Minimum time between two log lines about unreadable entries, seconds. The
# metric of unreadable entries also counts those that are not logged.
_MIN_UNREADABLE_LOG_INTERVAL_S = 1.0


# Number of upstreams in memory that ended without a deletion of their entry.
_MAX_ENDED_INCARNATIONS = 1000
_ENTRY = input_source.InputSource.ENTRY


class Outcome(enum.Enum):
    """What became of an entry; a failed one is to be applied again."""

    APPLIED = "applied"
    UNREADABLE = "unreadable"
    FAILED = "failed"


class EntryEffects:
    """Applies store entries to the knowledge of a host.

    Callers apply an entry only if it is newer than the last one of its key.
    """

    def __init__(
        self,
        reader: entry_reader.EntryReader,
        knowledge: knowledge_module.Knowledge,
        counts: counts_module.Counts,
        refusals: refusals_module.Refusals,
    ) -> None:
        self._reader = reader
        self._knowledge = knowledge
        self._counts = counts
        self._refusals = refusals
        # Upstream id, including the incarnation, of the newest readable
        # entry of each key.
        self._incarnations: dict[str, ids.UpstreamId] = {}
        # Entries that were refused because the desired state does not name
        # their service; at most one for each key.
        self._unnamed: dict[str, bytes] = {}
        self._unreadable_logged_at = -math.inf

    def is_relevant(self, key: str) -> bool:
        """Returns whether entries of a key affect the knowledge of a host.

        Keys that can't be sent to other hosts don't.
        """
        return self._is_known(key) and _is_encodable(key)

    def refuse_key(self, key: str) -> None:
        """Records an entry that is not relevant only because of its key."""
        if self._is_known(key):
            error = errors.UnreadableEntryError(
                "holds surrogates", step="read entry", field="key"
            )
            self._counts.add("unreadable_entries_total")
            self._refusals.record_refusal(_ENTRY, key, error)

    def refuse_without_room(self, key: str) -> None:
        """Records an entry of a new key for which the table has no room."""
        error = errors.UnreadableEntryError(
            "has no room beside the other entries",
            step="read entry",
            peer=key,
        )
        self._counts.add("unreadable_entries_total")
        self._refusals.record_refusal(_ENTRY, key, error)

    def apply(self, entry: store_entry.StoreEntry, source: str) -> Outcome:
        """Applies an entry; the content of an unreadable one is ignored.

        An error is recorded and doesn't keep the caller from the next entry.

        Args:
            entry: The newest entry of its key, or its deletion.
            source: Sender of the entry, for the log.

        Returns:
            What became of the entry.
        """
        try:
            return self._apply_readable(entry.key, entry.value, source)
        except Exception as error:
            self._refusals.record_failure(_ENTRY, entry.key, error)
            self._stop_flows_after_failure(entry.key, source)
            return Outcome.FAILED

    def _stop_flows_after_failure(self, key: str, source: str) -> None:
        """Stops new flows to a known upstream whose entry failed."""
        try:
            self._stop_new_flows(key, source)
        except Exception as error:
            self._refusals.record_failure(_ENTRY, key, error)

    def _apply_readable(
        self, key: str, value: bytes | None, source: str
    ) -> Outcome:
        try:
            self._apply(key, value, source)
        except errors.UnreadableEntryError as error:
            self._reject_unreadable(key, error, source)
            return Outcome.APPLIED if value is None else Outcome.UNREADABLE
        return Outcome.APPLIED

    def _apply(self, key: str, value: bytes | None, source: str) -> None:
        reader = self._reader
        if key.startswith(reader.upstreams_prefix):
            self._apply_upstream(key, value, source)
        elif key.startswith(reader.evacuations_prefix):
            self._apply_evacuation(key, value, source)
        elif value is not None:
            self._apply_state(key, value, source)

    def _apply_state(self, key: str, value: bytes, source: str) -> None:
        state = self._reader.read_state(value)
        if state.refused:
            self._counts.add("unreadable_entries_total")
            for part in state.refused:
                self._refusals.record_refusal(_ENTRY, key, part.error)
            former = self._knowledge.state
            if former is not None:
                # Imported only here, as most hosts never need it.
                from persimmonhinge.forwarding import former_parts

                state = former_parts.retain_former_parts(state, former)
        if self._knowledge.apply_state(state, source):
            self._apply_unnamed(source)

    def _apply_unnamed(self, source: str) -> None:
        """Applies the entries whose service was not named before."""
        for key, value in list(self._unnamed.items()):
            self.apply(store_entry.StoreEntry(key, value, 0), source)

    def _apply_upstream(
        self, key: str, value: bytes | None, source: str
    ) -> None:
        now = time.monotonic()
        former = self._incarnations.get(key)
        self._unnamed.pop(key, None)
        if value is None:
            if former is not None:
                self._knowledge.record_missing_entry(former, now, source)
            if former is not None and self._knowledge.has_ended(former):
                del self._incarnations[key]
            return
        upstream = self._reader.read_upstream(key, value)
        if former is not None:
            error = self._find_service_error(key, upstream, former)
            if error is not None:
                self._unnamed[key] = value
                self._reject_unreadable(key, error, source)
                return
        if former is not None and former != upstream.id:
            self._check_start(key, upstream, former)
            self._knowledge.end_incarnation(former, now, source)
        if former is None:
            self._remove_ended_incarnations()
        self._incarnations[key] = upstream.id
        self._knowledge.apply_upstream(upstream, now, source)

    def _find_service_error(
        self,
        key: str,
        upstream: upstream_module.Upstream,
        former: ids.UpstreamId,
    ) -> errors.UnreadableEntryError | None:
        """Returns why an upstream can't move to the service of its entry.

        Guards against another writer that overwrites the entry of a running
        upstream: its open flows would be reset. The entry takes effect once a
        desired state names its service.
        """
        known = self._find_running(former)
        if known is None or known.service == upstream.service:
            return None
        if self._is_named(upstream.service):
            return None
        return errors.UnreadableEntryError(
            "is not named in the desired state",
            step="read entry",
            peer=key,
            field="service",
        )

    def _is_named(self, service: ids.ServiceName) -> bool:
        """Returns whether the desired state names a service, if it is known."""
        state = self._knowledge.state
        if state is None or not state.services:
            return True
        return service in state.services

    def _find_running(
        self, upstream_id: ids.UpstreamId
    ) -> upstream_module.Upstream | None:
        """Returns an upstream, or None if it is unknown or has ended."""
        if self._knowledge.has_ended(upstream_id):
            return None
        return self._knowledge.directory.get(upstream_id)

    def _check_start(
        self,
        key: str,
        upstream: upstream_module.Upstream,
        former: ids.UpstreamId,
    ) -> None:
        """Checks that an upstream started after the one it would replace.

        Guards against another writer that overwrites the entry of a live
        upstream without the start that it has told: new flows would go to the
        address that was written. An upstream whose entry was deleted can be
        replaced by any other. A start that this host knows is told by a
        process that still runs.

        Raises:
            UnreadableEntryError: The start is missing or earlier.
        """
        known = self._find_running(former)
        if known is None or not self._is_named(known.service):
            return
        is_told_again = self._knowledge.directory.get(upstream.id) is not None
        if is_told_again and upstream.started_at_ms:
            return
        if upstream.started_at_ms < known.started_at_ms:
            raise errors.UnreadableEntryError(
                f"is {upstream.started_at_ms}, but the upstream has told "
                f"{known.started_at_ms}",
                step="read entry",
                peer=key,
                field="started_at_ms",
            )

    def _remove_ended_incarnations(self) -> None:
        """Removes upstreams that ended after an outage, if there are many."""
        known = len(self._knowledge.directory)
        if len(self._incarnations) > known + _MAX_ENDED_INCARNATIONS:
            self._incarnations = {
                key: upstream
                for key, upstream in self._incarnations.items()
                if not self._knowledge.has_ended(upstream)
            }

    def _apply_evacuation(
        self, key: str, value: bytes | None, source: str
    ) -> None:
        domain = self._reader.read_evacuated_domain(key)
        if value is None:
            self._knowledge.end_evacuation(domain, source)
        elif not self._knowledge.evacuate(domain, source):
            raise errors.UnreadableEntryError(
                "too many failure domains are evacuated",
                step="read entry",
                peer=key,
            )

    def _is_known(self, key: str) -> bool:
        reader = self._reader
        return key == reader.state_key or key.startswith(
            (reader.upstreams_prefix, reader.evacuations_prefix)
        )

    def _reject_unreadable(
        self, key: str, error: errors.UnreadableEntryError, source: str
    ) -> None:
        """Ignores the content of an unreadable entry and counts it.

        Guards against another writer that overwrites the key of an upstream:
        new flows would go to the address it wrote, or to an upstream whose
        current state is unknown. The upstream keeps its open flows, and gets
        new ones again after its next readable entry. Log lines are rate
        limited because a writer may overwrite thousands of keys.
        """
        self._counts.add("unreadable_entries_total")
        self._refusals.record_refusal(_ENTRY, key, error)
        self._stop_new_flows(key, source)
        now = time.monotonic()
        if now - self._unreadable_logged_at >= _MIN_UNREADABLE_LOG_INTERVAL_S:
            self._unreadable_logged_at = now
            logger.error("Ignoring an unreadable store entry: %s.", error)

    def _stop_new_flows(self, key: str, source: str) -> None:
        known = self._incarnations.get(key)
        if known is not None:
            self._knowledge.stop_new_flows(known, source)


def _is_encodable(key: str) -> bool:
    if key.isprintable():
        return True
    try:
        key.encode()
    except UnicodeEncodeError:
        return False
    return True
