"""Follows the desired state and the upstreams in the store."""

from __future__ import annotations

from collections.abc import Callable
import logging
import random
from typing import Protocol

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.forwarding import desired_state as desired_states
from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.store import port

logger = logging.getLogger(__name__)

# First and longest wait after a call that failed, seconds. A host of six asks
# at most five times a second then, well below what the store takes.
_FIRST_RETRY_S = 0.05
_LAST_RETRY_S = 0.4
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


class Follower:
    """Reads all entries once, then follows their changes by one watch.

    A watch that falls silent or loses its history is replaced by a new read
    of everything.
    """

    def __init__(
        self,
        store: port.Platform,
        reader: EntryReader,
        knowledge: knowledge_parts.Knowledge,
        counts: host_counts.Counts,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._store = store
        self._reader = reader
        self._knowledge = knowledge
        self._counts = counts
        self._clock = clock
        self._retry_s = _FIRST_RETRY_S

    async def run(self) -> None:
        """Follows until cancelled."""
        while True:
            try:
                await self._follow()
            except errors.PlatformHistoryGoneError as error:
                logger.warning("Reads all entries again: %s.", error)
            except errors.PlatformError as error:
                self._record_failure(error)
                await trio.sleep(self._retry_s * random.uniform(0.5, 1.0))
                self._retry_s = min(2 * self._retry_s, _LAST_RETRY_S)

    async def _follow(self) -> None:
        revision = await self._read_all()
        async with self._store.watch("", revision + 1) as batches:
            async for batch in batches:
                self._record_answer()
                for event in batch:
                    self._take(event.key, event.value)

    async def _read_all(self) -> int:
        """Reads all entries; returns the revision that they are at least of.

        Upstreams are read after the desired state, so both are as new as the
        earlier of the two revisions.
        """
        reader = self._reader
        state = await self._store.get_prefix(reader.state_key)
        self._record_answer()
        for pair in state.values:
            self._take(pair.key, pair.value)
        found = await self._store.get_prefix(reader.upstreams_prefix)
        self._record_answer()
        for pair in found.values:
            self._take(pair.key, pair.value)
        self._miss_others({pair.key for pair in found.values})
        return min(state.revision, found.revision)

    def _miss_others(self, keys: set[str]) -> None:
        present = {self._reader.name_upstream(key) for key in keys}
        for upstream in self._knowledge.directory.all():
            if upstream.id not in present:
                self._knowledge.miss_upstream(
                    upstream.id, self._clock(), _SOURCE
                )

    def _take(self, key: str, value: bytes | None) -> None:
        reader = self._reader
        try:
            if key == reader.state_key and value is not None:
                self._knowledge.take_state(reader.read_state(value), _SOURCE)
            elif key.startswith(reader.upstreams_prefix):
                self._take_upstream(key, value)
        except errors.UnreadableEntryError as error:
            self._counts.add("unreadable_entries_total")
            logger.error("Keeps the former entry: %s.", error)

    def _take_upstream(self, key: str, value: bytes | None) -> None:
        now = self._clock()
        if value is None:
            name = self._reader.name_upstream(key)
            self._knowledge.miss_upstream(name, now, _SOURCE)
        else:
            upstream = self._reader.read_upstream(key, value)
            self._knowledge.take_upstream(upstream, now, _SOURCE)

    def _record_answer(self) -> None:
        now = self._clock()
        self._retry_s = _FIRST_RETRY_S
        self._knowledge.confirmed_at = now
        self._knowledge.settle(now)
        if self._knowledge.trust.record_answer(now):
            logger.warning("Store is back.", extra={"dependency": "store"})

    def _record_failure(self, error: errors.PlatformError) -> None:
        trust = self._knowledge.trust
        self._counts.add("store_failures_total")
        if not trust.failing:
            logger.warning(
                "Store is lost.",
                extra={"dependency": "store", "error": str(error)},
            )
        trust.record_failure()
