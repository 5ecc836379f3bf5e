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


class DownStore:
    """A store that is down."""

    def __init__(self) -> None:
        self.calls = 0

    async def get_prefix(self, prefix: str, limit: int = 0) -> port.PrefixState:
        """Fails at once."""
        self.calls += 1
        await trio.sleep(0)
        raise errors.PlatformUnavailableError("down", step="get", peer="store")


class AlwaysDue:
    """Says that this host is to follow, as all of its domain."""

    reaches_store = True

    def __init__(self, hosts: int = 1) -> None:
        self._hosts = hosts

    def is_due(self, now: float) -> bool:
        """Returns true."""
        return True

    def count_domain(self) -> int:
        """Returns the hosts of its domain."""
        return self._hosts


def make_follower(store: object, hosts: int = 1) -> follower.Follower:
    """Returns the follower of a host in a domain of some hosts."""
    entries = reading.Entries(
        adapter.EntryFormat(),
        knowledge_parts.Knowledge(60.0, 2.2),
        host_counts.Counts(),
    )
    return follower.Follower(store, entries, AlwaysDue(hosts))  # type: ignore[arg-type]


@trios.clock_test
async def test_store_that_drops_its_history_is_not_flooded() -> None:
    """All hosts are refused for too many calls, and a drain comes late.

    The store drops its history again and again; each host that follows reads
    all entries anew at once, 80 times a second. Cause: no wait between two
    readings.
    """
    store = ForgetfulStore()
    with trio.move_on_after(11.0):
        await make_follower(store).run()
    assert 20 < store.reads < 100


@trios.clock_test
async def test_hosts_of_a_large_domain_do_not_flood_a_store_that_is_down() -> (
    None
):
    """A store that comes back goes down again under the calls of all hosts.

    It is down for ten seconds; nobody's knowledge is confirmed, so all hosts
    of a domain take over and ask three times a second each. Cause: the wait
    between two calls does not depend on how many ask.
    """
    calls = {}
    for hosts in (2, 24):
        store = DownStore()
        with trio.move_on_after(10.0):
            await make_follower(store, hosts).run()
        calls[hosts] = store.calls * hosts
    assert calls[2] > 40
    assert calls[24] < 300
