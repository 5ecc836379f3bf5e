"""Follows the entries of the store."""

from __future__ import annotations

import logging
import random

import trio

from persimmonhinge import errors
from persimmonhinge.forwarding import reading
from persimmonhinge.store import port

logger = logging.getLogger(__name__)

# First and longest wait after a call that failed, seconds. A host of six asks
# at most five times a second then, well below what the store takes.
_FIRST_RETRY_S = 0.05
_LAST_RETRY_S = 0.4
_EVERYTHING = ""


class Follower:
    """Reads all entries once, then follows their changes by one watch.

    A watch that falls silent or loses its history is replaced by a new read
    of everything.
    """

    def __init__(self, store: port.Platform, entries: reading.Entries) -> None:
        self._store = store
        self._entries = entries
        self._retry_s = _FIRST_RETRY_S

    async def run(self) -> None:
        """Follows until cancelled."""
        while True:
            try:
                await self._follow()
            except errors.PlatformHistoryGoneError as error:
                logger.warning("Reads all entries again: %s.", error)
            except errors.PlatformError as error:
                self._entries.record_failure(error)
                await trio.sleep(self._retry_s * random.uniform(0.5, 1.0))
                self._retry_s = min(2 * self._retry_s, _LAST_RETRY_S)

    async def _follow(self) -> None:
        revision = await self._entries.read_all(self._store)
        self._retry_s = _FIRST_RETRY_S
        async with self._store.watch(_EVERYTHING, revision + 1) as batches:
            async for batch in batches:
                self._entries.record_answer()
                for event in batch:
                    self._entries.take(
                        event.key, event.value, event.mod_revision
                    )
