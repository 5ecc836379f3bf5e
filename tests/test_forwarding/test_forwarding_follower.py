"""Tests of how a host follows the store."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib

import trio

from persimmonhinge import errors
from persimmonhinge.forwarding import follower
from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.forwarding import reading
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.platform import adapter
from persimmonhinge.store import port
from tests.support import trios

_ANSWER_S = 0.004


class ForgetfulStore:
    """A store that has dropped the history whenever a watch begins."""

    def __init__(self) -> None:
        self.reads = 0

    async def get_prefix(self, prefix: str, limit: int = 0) -> port.PrefixState:
        """Returns nothing, after the time that the users' store takes."""
        self.reads += 1
        await trio.sleep(_ANSWER_S)
        return port.PrefixState(1, ())

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[AsyncIterator[tuple[port.WatchEvent, ...]]]:
        """Refuses the watch."""
        await trio.sleep(_ANSWER_S)
        raise errors.PlatformHistoryGoneError(
            "gone", step="watch", peer="store"
        )
        yield


class AlwaysDue:
    """Says that this host is to follow."""

    reaches_store = True

    def is_due(self, now: float) -> bool:
        """Returns true."""
        return True


@trios.clock_test
async def test_store_that_drops_its_history_is_not_flooded() -> None:
    """All hosts are refused for too many calls, and a drain comes late.

    The store drops its history again and again; each host that follows reads
    all entries anew at once, 80 times a second. Cause: no wait between two
    readings.
    """
    store = ForgetfulStore()
    entries = reading.Entries(
        adapter.EntryFormat(),
        knowledge_parts.Knowledge(60.0, 2.2),
        host_counts.Counts(),
    )
    part = follower.Follower(store, entries, AlwaysDue())  # type: ignore[arg-type]
    with trio.move_on_after(11.0):
        await part.run()
    assert 20 < store.reads < 100
