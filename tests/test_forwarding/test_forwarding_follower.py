"""Tests of how a host follows the store."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import types
from unittest import mock

import trio

from persimmonhinge import errors
from persimmonhinge.forwarding import follower
from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.forwarding import reading
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.platform import adapter
from persimmonhinge.store import port
from tests.support import trios
from tests.test_forwarding import test_forwarding_reading as readers

_ANSWER_S = 0.004
# A host that has just started follows by then, seconds.
_BEGIN_S = 2.0
_WATCH_S = 1.5
_GATHER_S = 0.25
_POLL_S = 0.1


class EmptyStore:
    """A store without entries.

    Attributes:
        reads: Readings of all entries.
    """

    def __init__(self) -> None:
        self.reads = 0

    async def get_prefix(self, prefix: str, limit: int = 0) -> port.PrefixState:
        """Returns nothing, after the time that the users' store takes."""
        self.reads += 1
        await trio.sleep(_ANSWER_S)
        return port.PrefixState(1, ())


class ForgetfulStore(EmptyStore):
    """A store that has dropped the history whenever a watch begins."""

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

    def should_follow(self, now: float) -> bool:
        """Returns true."""
        return True

    def is_selected(self) -> bool:
        """Returns true."""
        return True

    async def wait_for_change(self, now: float) -> None:
        """Waits a moment."""
        await trio.sleep(_POLL_S)

    def has_other_follower_since(self, failed_at: float, now: float) -> bool:
        """Returns false: no other host follows."""
        return False

    def count_domain_hosts(self) -> int:
        """Returns the hosts of its domain."""
        return self._hosts


def make_follower(store: object, hosts: int = 1) -> follower.Follower:
    """Returns the follower of a host in a domain of some hosts."""
    following = AlwaysDue(hosts)
    return make_follower_of(store, make_entries(), following)


def make_follower_of(
    store: object, entries: reading.Entries, following: AlwaysDue
) -> follower.Follower:
    """Returns the follower of a host that has its entries."""
    return follower.Follower(store, entries, following, _GATHER_S)  # type: ignore[arg-type]


def make_entries() -> reading.Entries:
    """Returns the entries of a host that has just started."""
    return reading.Entries(
        adapter.EntryFormat(),
        knowledge_parts.Knowledge(60.0, 2.2),
        host_counts.Counts(),
    )


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


class BusyStore(EmptyStore):
    """A store whose entries change in quick succession for a while.

    Attributes:
        watches: Answers to watches.
    """

    def __init__(self, changes: int, gap_s: float) -> None:
        super().__init__()
        self.watches = 0
        self._changes_at = [_BEGIN_S + n * gap_s for n in range(changes)]

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[AsyncIterator[tuple[port.WatchEvent, ...]]]:
        """Answers as soon as there is a change, with all that came since."""
        yield self._answer()

    async def _answer(self) -> AsyncIterator[tuple[port.WatchEvent, ...]]:
        told = 0
        while True:
            if told == len(self._changes_at):
                await trio.sleep_forever()
            await trio.sleep_until(self._changes_at[told] + _ANSWER_S)
            now = trio.current_time()
            came = sum(at + _ANSWER_S <= now for at in self._changes_at)
            self.watches += 1
            yield tuple(make_change(number) for number in range(told, came))
            told = came


def make_change(number: int) -> port.WatchEvent:
    """Returns the entry of an upstream that is new."""
    key = readers.make_key(f"{number:x}")
    return port.WatchEvent(key, readers.make_entry(), number + 2)


async def follow(store: object, time_s: float) -> reading.Entries:
    """Has a host follow a store for some time; returns what it read."""
    entries = make_entries()
    following = make_follower_of(store, entries, AlwaysDue())
    with trio.move_on_after(time_s):
        await following.run()
    return entries


@trios.clock_test
async def test_changes_in_quick_succession_are_read_together() -> None:
    """Guards against a call for each upstream of a service that is replaced."""
    store = BusyStore(changes=147, gap_s=0.02)
    entries = await follow(store, _BEGIN_S + 5.0)
    assert entries.revision == 148
    assert store.watches <= 20


@trios.clock_test
async def test_change_that_comes_alone_is_read_at_once() -> None:
    """Guards against a drain that waits for others to come."""
    entries = await follow(BusyStore(changes=1, gap_s=1.0), _BEGIN_S + 0.05)
    assert entries.revision == 2


class QuietStore(BusyStore):
    """A store in which nothing changes; a watch is answered at its limit."""

    def __init__(self) -> None:
        super().__init__(changes=0, gap_s=0.0)

    async def _answer(self) -> AsyncIterator[tuple[port.WatchEvent, ...]]:
        while True:
            await trio.sleep(_WATCH_S)
            yield ()


@trios.clock_test
async def test_host_that_follows_tells_others_that_nothing_is_newer() -> None:
    """Guards against a whole domain that asks the store itself.

    Reports come every two seconds in a large domain, so what the store told the
    host that follows is known to others only when it is too old.
    """
    entries = make_entries()
    told: list[int] = []
    entries.tell = lambda _, lines: told.append(len(lines))
    following = make_follower_of(QuietStore(), entries, AlwaysDue())
    with trio.move_on_after(_BEGIN_S + 4 * _WATCH_S):
        await following.run()
    assert told.count(0) >= 3


_RETURNS_AT_S = 10.0
_CURRENT_S = 2.2
_DOMAIN = 24


class ReturningStore(EmptyStore):
    """A store that is down for a while, and then answers.

    Attributes:
        answered_at: When it last answered; its answer is told to all.
    """

    def __init__(self) -> None:
        super().__init__()
        self.answered_at = 0.0

    async def get_prefix(self, prefix: str, limit: int = 0) -> port.PrefixState:
        """Fails, or returns nothing."""
        await trio.sleep(_ANSWER_S)
        if trio.current_time() < _RETURNS_AT_S:
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
        """Says again and again that nothing changes."""
        yield self._answer()

    async def _answer(self) -> AsyncIterator[tuple[port.WatchEvent, ...]]:
        while True:
            await trio.sleep(_WATCH_S)
            self.answered_at = trio.current_time()
            yield ()


class ToldWhenAnswered(AlwaysDue):
    """Says whose turn it is in a domain that is told of each answer."""

    def __init__(self, store: ReturningStore, number: int) -> None:
        super().__init__(_DOMAIN)
        self._store = store
        self._is_first = number == 0

    def should_follow(self, now: float) -> bool:
        """Returns true for the first host, and where nobody was answered."""
        return self._is_first or now - self._store.answered_at > _CURRENT_S

    def is_selected(self) -> bool:
        """Returns true for the first host."""
        return self._is_first

    def has_other_follower_since(self, failed_at: float, now: float) -> bool:
        """Returns true if the store has answered and another one follows."""
        return self._store.answered_at > failed_at and not self.should_follow(
            now
        )


@trios.clock_test
async def test_store_that_returns_is_not_read_by_all_hosts_of_a_domain() -> (
    None
):
    """Guards against a store that goes down again as it returns."""
    store = ReturningStore()
    clock = types.SimpleNamespace(monotonic=trio.current_time)
    with mock.patch.object(follower, "time", clock):
        with trio.move_on_after(_RETURNS_AT_S + 5.0):
            async with trio.open_nursery() as nursery:
                for number in range(_DOMAIN):
                    following = ToldWhenAnswered(store, number)
                    part = make_follower_of(store, make_entries(), following)
                    nursery.start_soon(part.run)
    assert 0 < store.reads <= 3, store.reads
