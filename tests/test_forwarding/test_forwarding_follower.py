"""Tests of a host that follows the store."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import types
from unittest import mock

import trio

from persimmonhinge import errors
from persimmonhinge.forwarding import entry_replica
from persimmonhinge.forwarding import follower
from persimmonhinge.forwarding import knowledge
from persimmonhinge.metrics import counts
from persimmonhinge.platform import adapter
from persimmonhinge.store import port
from tests.support import trios
from tests.test_forwarding import test_forwarding_entry_replica as readers

_ANSWER_S = 0.004
# Time after its start by which a host follows the store, seconds.
_FOLLOWING_AT_S = 2.0
_WATCH_LIMIT_S = 1.5
_MIN_CALL_INTERVAL_S = 0.25
_POLL_INTERVAL_S = 0.1


class EmptyStore:
    """A store without entries.

    Attributes:
        reads: Number of reads of all entries.
    """

    def __init__(self) -> None:
        self.reads = 0

    async def get_prefix(self, prefix: str, limit: int = 0) -> port.PrefixState:
        """Returns no entries, after the typical delay of the users' store."""
        self.reads += 1
        await trio.sleep(_ANSWER_S)
        return port.PrefixState(1, ())


class HistoryDroppingStore(EmptyStore):
    """A store that has dropped the required history whenever a watch starts."""

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[AsyncIterator[tuple[port.WatchEvent, ...]]]:
        """Rejects the watch since the history is gone."""
        await trio.sleep(_ANSWER_S)
        raise errors.PlatformHistoryGoneError(
            "gone", step="watch", peer="store"
        )
        yield


class UnavailableStore:
    """A store that is unavailable.

    Attributes:
        calls: Number of calls received.
    """

    def __init__(self) -> None:
        self.calls = 0

    async def get_prefix(self, prefix: str, limit: int = 0) -> port.PrefixState:
        """Fails immediately."""
        self.calls += 1
        await trio.sleep(0)
        raise errors.PlatformUnavailableError("down", step="get", peer="store")


class FakeFollowerRole:
    """A fake of `FollowerRole` in a domain whose hosts all should follow."""

    reaches_store = True

    def __init__(self, hosts: int = 1) -> None:
        self._hosts = hosts

    def should_follow(self, now: float) -> bool:
        """Returns true."""
        return True

    def is_selected(self) -> bool:
        """Returns true."""
        return True

    async def wait_for_change(self, now: float) -> None:
        """Waits for a short time."""
        await trio.sleep(_POLL_INTERVAL_S)

    def has_other_follower_since(self, failed_at: float, now: float) -> bool:
        """Returns false: no other host follows."""
        return False

    def count_domain_hosts(self) -> int:
        """Returns the number of hosts in its domain."""
        return self._hosts


def make_follower(store: object, hosts: int = 1) -> follower.Follower:
    """Returns the follower of a host in a domain with `hosts` hosts."""
    following = FakeFollowerRole(hosts)
    return make_follower_with(store, make_entries(), following)


def make_follower_with(
    store: object,
    entries: entry_replica.EntryReplica,
    following: FakeFollowerRole,
) -> follower.Follower:
    """Returns a follower with the given replica and fake of `FollowerRole`."""
    return follower.Follower(store, entries, following, _MIN_CALL_INTERVAL_S)  # type: ignore[arg-type]


def make_entries() -> entry_replica.EntryReplica:
    """Returns the empty replica of a host that has just started."""
    return entry_replica.EntryReplica(
        adapter.EntryFormat(),
        knowledge.Knowledge(60.0, 2.2),
        counts.Counts(),
    )


@trios.clock_test
async def test_store_that_drops_its_history_is_not_flooded() -> None:
    """Guards against hosts that are rejected by the store for too many calls.

    The store drops its history repeatedly. Without a wait between two reads,
    each following host reads all entries 80 times a second; all hosts are then
    rejected, and a drain takes effect late.
    """
    store = HistoryDroppingStore()
    with trio.move_on_after(11.0):
        await make_follower(store).run()
    assert 20 < store.reads < 100


@trios.clock_test
async def test_hosts_of_a_large_domain_do_not_flood_a_store_that_is_down() -> (
    None
):
    """Guards against a recovering store that fails again under its callers.

    The store is down for ten seconds, so no host gets a confirmation, and all
    hosts of a domain start to follow. If the wait between two calls does not
    depend on the number of hosts, each of them makes three calls a second.
    """
    calls = {}
    for hosts in (2, 24):
        store = UnavailableStore()
        with trio.move_on_after(10.0):
            await make_follower(store, hosts).run()
        calls[hosts] = store.calls * hosts
    assert calls[2] > 40
    assert calls[24] < 300


class BusyStore(EmptyStore):
    """A store whose entries change in quick succession for some time.

    Attributes:
        watches: Number of answers to watches.
    """

    def __init__(self, changes: int, gap_s: float) -> None:
        super().__init__()
        self.watches = 0
        self._changes_at = [_FOLLOWING_AT_S + n * gap_s for n in range(changes)]

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[AsyncIterator[tuple[port.WatchEvent, ...]]]:
        """Answers once there is a change, with all since the last answer."""
        yield self._answer()

    async def _answer(self) -> AsyncIterator[tuple[port.WatchEvent, ...]]:
        reported_count = 0
        while True:
            if reported_count == len(self._changes_at):
                await trio.sleep_forever()
            await trio.sleep_until(self._changes_at[reported_count] + _ANSWER_S)
            now = trio.current_time()
            change_count = sum(at + _ANSWER_S <= now for at in self._changes_at)
            self.watches += 1
            yield tuple(
                make_change(number)
                for number in range(reported_count, change_count)
            )
            reported_count = change_count


def make_change(number: int) -> port.WatchEvent:
    """Returns the event of a new upstream's entry."""
    key = readers.make_key(f"{number:x}")
    return port.WatchEvent(key, readers.make_entry(), number + 2)


async def run_follower(
    store: object, time_s: float
) -> entry_replica.EntryReplica:
    """Lets a host follow a store for some time; returns its replica."""
    entries = make_entries()
    host_follower = make_follower_with(store, entries, FakeFollowerRole())
    with trio.move_on_after(time_s):
        await host_follower.run()
    return entries


@trios.clock_test
async def test_changes_in_quick_succession_are_read_together() -> None:
    """Guards against one call for each upstream while a service is replaced."""
    store = BusyStore(changes=147, gap_s=0.02)
    entries = await run_follower(store, _FOLLOWING_AT_S + 5.0)
    assert entries.revision == 148
    assert store.watches <= 20


@trios.clock_test
async def test_change_that_comes_alone_is_read_at_once() -> None:
    """Guards against a drain that is delayed to wait for other changes."""
    entries = await run_follower(
        BusyStore(changes=1, gap_s=1.0), _FOLLOWING_AT_S + 0.05
    )
    assert entries.revision == 2


class UnchangedStore(BusyStore):
    """A store without changes; it answers a watch at its time limit."""

    def __init__(self) -> None:
        super().__init__(changes=0, gap_s=0.0)

    async def _answer(self) -> AsyncIterator[tuple[port.WatchEvent, ...]]:
        while True:
            await trio.sleep(_WATCH_LIMIT_S)
            yield ()


@trios.clock_test
async def test_host_that_follows_tells_others_that_nothing_is_newer() -> None:
    """Guards against a domain of which every host calls the store.

    In a large domain, hosts report every two seconds. By then, the answer that
    the following host got from the store is too old to confirm the others'
    knowledge.
    """
    entries = make_entries()
    reported_counts: list[int] = []
    entries.on_changes = lambda _, changes: reported_counts.append(len(changes))
    following = make_follower_with(
        UnchangedStore(), entries, FakeFollowerRole()
    )
    with trio.move_on_after(_FOLLOWING_AT_S + 4 * _WATCH_LIMIT_S):
        await following.run()
    assert reported_counts.count(0) >= 3


_AVAILABLE_AT_S = 10.0
_MAX_AGE_S = 2.2
_DOMAIN_HOSTS = 24


class RecoveringStore(EmptyStore):
    """A store that is unavailable for some time, and then answers.

    Attributes:
        answered_at: Time of its last answer, which all hosts learn of.
    """

    def __init__(self) -> None:
        super().__init__()
        self.answered_at = 0.0

    async def get_prefix(self, prefix: str, limit: int = 0) -> port.PrefixState:
        """Fails while the store is down; returns no entries afterwards."""
        await trio.sleep(_ANSWER_S)
        if trio.current_time() < _AVAILABLE_AT_S:
            raise errors.PlatformUnavailableError(
                "down", step="get", peer="store"
            )
        self.reads += 1
        self.answered_at = trio.current_time()
        return port.PrefixState(1, ())

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[AsyncIterator[tuple[port.WatchEvent, ...]]]:
        """Reports periodically that nothing changes."""
        yield self._answer()

    async def _answer(self) -> AsyncIterator[tuple[port.WatchEvent, ...]]:
        while True:
            await trio.sleep(_WATCH_LIMIT_S)
            self.answered_at = trio.current_time()
            yield ()


class SharedFollowerRole(FakeFollowerRole):
    """A fake of `FollowerRole` in a domain whose hosts learn of each answer."""

    def __init__(self, store: RecoveringStore, number: int) -> None:
        super().__init__(_DOMAIN_HOSTS)
        self._store = store
        self._is_first = number == 0

    def should_follow(self, now: float) -> bool:
        """Returns true for the first host, or without a recent answer."""
        return self._is_first or now - self._store.answered_at > _MAX_AGE_S

    def is_selected(self) -> bool:
        """Returns true for the first host."""
        return self._is_first

    def has_other_follower_since(self, failed_at: float, now: float) -> bool:
        """Returns true if the store has answered and another host follows."""
        return self._store.answered_at > failed_at and not self.should_follow(
            now
        )


@trios.clock_test
async def test_store_that_returns_is_not_read_by_all_hosts_of_a_domain() -> (
    None
):
    """Guards against a store that fails again as it recovers.

    It would be overloaded if all hosts of a domain read all entries at once.
    """
    store = RecoveringStore()
    clock = types.SimpleNamespace(monotonic=trio.current_time)
    with mock.patch.object(follower, "time", clock):
        with trio.move_on_after(_AVAILABLE_AT_S + 5.0):
            async with trio.open_nursery() as nursery:
                for number in range(_DOMAIN_HOSTS):
                    following = SharedFollowerRole(store, number)
                    host_follower = make_follower_with(
                        store, make_entries(), following
                    )
                    nursery.start_soon(host_follower.run)
    assert 0 < store.reads <= 3, store.reads
