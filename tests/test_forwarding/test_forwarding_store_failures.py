"""Tests of a host whose store raises, or answers at once and for ever."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from unittest import mock

import trio

from persimmonhinge import errors
from persimmonhinge.forwarding import follower
from persimmonhinge.forwarding import refusals
from persimmonhinge.forwarding import startup
from persimmonhinge.store import port
from tests.support import trios
from tests.test_forwarding import test_forwarding_entry_replica as readers
from tests.test_forwarding import test_forwarding_follower as following

_INTERVAL_S = 0.25
_TIME_S = 10.0
# A read and a watch in each interval, and the first of each.
_MOST_CALLS = 2 * _TIME_S / _INTERVAL_S + 2
_UNEXPECTED = (IndexError, RecursionError, MemoryError, RuntimeError)
_REFUSED = errors.UnreadableAnswerError("is none", step="read", field="items")
_EVENT = port.WatchEvent(readers.make_key("1"), readers.make_entry(), 2)


class FailingStore(following.EmptyStore):
    """A store whose answers raise, until some time.

    Attributes:
        calls: Number of calls received.
    """

    def __init__(
        self,
        read_error: Exception | None = None,
        batch: tuple[port.WatchEvent, ...] = (),
        lasts_s: float = _TIME_S,
    ) -> None:
        """Creates a store.

        Args:
            read_error: What reads raise; None for reads that are answered.
            batch: Answer to each watch, at once.
            lasts_s: How long reads raise, seconds.
        """
        super().__init__()
        self.calls = 0
        self._read_error = read_error
        self._batch = batch
        self._ends_at = trio.current_time() + lasts_s

    async def get_prefix(self, prefix: str, limit: int = 0) -> port.PrefixState:
        """Raises, or returns no entries."""
        self.calls += 1
        await trio.sleep(0)
        if self._read_error and trio.current_time() < self._ends_at:
            raise self._read_error
        return await super().get_prefix(prefix, limit)

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[AsyncIterator[tuple[port.WatchEvent, ...]]]:
        """Answers at once, and for ever."""
        yield self._answer()

    async def _answer(self) -> AsyncIterator[tuple[port.WatchEvent, ...]]:
        while True:
            self.calls += 1
            await trio.sleep(0)
            yield self._batch


class RefusedStore(FailingStore):
    """A store of which a host refuses the answers to reads and watches."""

    async def _answer(self) -> AsyncIterator[tuple[port.WatchEvent, ...]]:
        async for _ in super()._answer():
            raise _REFUSED
            yield ()


async def follow(
    store: FailingStore,
    prepare: Callable[[readers.HostReplica], object] = lambda _: None,
) -> readers.HostReplica:
    """Follows a store for some time; returns the replica."""
    replica = readers.HostReplica()
    prepare(replica)
    host_follower = follower.Follower(
        store,  # type: ignore[arg-type]
        replica.entries,
        following.FakeFollowerRole(),  # type: ignore[arg-type]
        _INTERVAL_S,
        refusals.Refusals(replica.counts),
    )
    with trio.move_on_after(_TIME_S):
        await host_follower.run()
    assert store.calls <= _MOST_CALLS
    return replica


def count(replica: readers.HostReplica, name: str) -> float:
    return replica.counts.get(name, source="store-answer")


@trios.clock_test
async def test_read_that_raises_is_a_failed_call() -> None:
    """Guards against a host that ends by one answer of the store."""
    for kind in _UNEXPECTED:
        replica = await follow(FailingStore(kind("fault"), lasts_s=5.0))
        assert count(replica, "input_failures_total") > 0
        assert replica.counts.get("store_failures_total") > 0
        assert replica.entries.is_confirmed()


@trios.clock_test
async def test_refused_answer_is_counted_and_no_fault() -> None:
    replica = await follow(FailingStore(_REFUSED))
    assert count(replica, "inputs_refused_total") > 1
    assert count(replica, "input_failures_total") == 0
    assert replica.counts.get("store_failures_total") > 1


@trios.clock_test
async def test_host_whose_reads_are_refused_watches_from_what_it_knows() -> (
    None
):
    """Guards against missed changes while one item can't be read."""
    known = port.WatchEvent(readers.make_key("2"), readers.make_entry(), 1)

    def prepare(replica: readers.HostReplica) -> None:
        replica.entries.apply_batch([known])

    replica = await follow(FailingStore(_REFUSED, (_EVENT,)), prepare)
    assert replica.entries.revision == _EVENT.mod_revision
    replica = await follow(RefusedStore(_REFUSED), prepare)
    assert replica.entries.revision == known.mod_revision
    assert count(replica, "inputs_refused_total") > 0


@trios.clock_test
async def test_read_that_is_told_of_dropped_history_is_paced() -> None:
    gone = errors.PlatformHistoryGoneError("gone", step="read")
    assert not (await follow(FailingStore(gone))).entries.is_confirmed()


@trios.clock_test
async def test_batch_that_raises_is_a_failed_call() -> None:
    """Guards against a host that ends by one change in the store."""

    def fail(replica: readers.HostReplica) -> None:
        error = IndexError("fault")
        replica.entries.apply_batch = mock.Mock(side_effect=error)  # type: ignore[method-assign]

    replica = await follow(FailingStore(batch=(_EVENT,)), fail)
    assert count(replica, "input_failures_total") > 1


@trios.clock_test
async def test_watch_that_is_answered_at_once_for_ever_is_paced() -> None:
    """Guards against a host that only calls the store and forwards nothing."""
    for batch in ((), (_EVENT,)):
        replica = await follow(FailingStore(batch=batch))
        assert replica.entries.is_confirmed()


def test_first_read_that_raises_does_not_end_the_start() -> None:
    """Guards against a host that does not start while one answer stands."""
    for error in (*(kind("fault") for kind in _UNEXPECTED), _REFUSED):
        store = mock.Mock()
        store.get_prefix = mock.AsyncMock(side_effect=error)
        replica = readers.HostReplica()
        core = mock.Mock(
            entries=replica.entries,
            refusals=refusals.Refusals(replica.counts),
            knowledge=replica.knowledge,
        )
        imports = mock.Mock()
        with (
            mock.patch.object(startup, "_ForwardingFinder"),
            mock.patch.object(startup, "_pull_from_seeds") as pull,
        ):
            startup.forward_during_imports(imports, core, store)
        assert imports.called
        assert pull.called
        assert replica.counts.get("store_failures_total") == 1
