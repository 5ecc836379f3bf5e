"""A store of the platform for hosts on a clock of their own."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

import trio

from persimmonhinge import errors
from persimmonhinge.store import port
from tests.test_forwarding import test_forwarding_entry_replica as readers

_UPSTREAMS = 32
# An answer of the store, seconds.
_ANSWER_S = 0.004
# Limit of a call to the store, seconds.
_CALL_LIMIT_S = 1.0


class Store:
    """The platform's store.

    Attributes:
        calls: How often it was called, by what was asked.
        changed_at: When its newest entry came.
        revision: Revision of that entry.
        version: Version of the desired state.
        is_down: Whether it refuses all calls, and cuts the watches that wait.
        forgotten: Revision up to which its history is dropped.
    """

    def __init__(self) -> None:
        self.calls = {"read": 0, "watch": 0}
        self.changed_at = 0.0
        self.is_down = False
        self.forgotten = 0
        self.revision = 0
        self.version = 0
        self._values: dict[str, port.KeyValue] = {}
        # Revisions at which keys were deleted.
        self._deleted: dict[str, int] = {}
        self._changed = trio.Event()
        self.change_state()
        for number in range(_UPSTREAMS):
            self._put(readers.make_key(f"{number:02x}"), readers.make_entry())

    def add_upstream(self) -> None:
        """Has a new upstream enter itself."""
        name = f"{len(self._values):02x}"
        self._put(readers.make_key(name), readers.make_entry())

    def drain_upstream(self) -> None:
        """Has the first upstream say that it leaves."""
        self._put(readers.make_key("00"), readers.make_entry("draining"))

    def change_state(self) -> None:
        """Has an operator write the next version of the desired state."""
        self.version += 1
        self._put("op/config", readers.make_state(self.version))

    def evacuate(self, domain: str) -> None:
        """Has an operator evacuate a failure domain."""
        self._put(f"op/evacuate/{domain}", b"{}")

    def end_evacuation(self, domain: str) -> None:
        """Has an operator take an evacuation back."""
        key = f"op/evacuate/{domain}"
        del self._values[key]
        self._note_change()
        self._deleted[key] = self.revision

    def go_down(self) -> None:
        """Has it refuse all calls, until `is_down` is taken back."""
        self.is_down = True
        self._changed.set()
        self._changed = trio.Event()

    def forget_history(self) -> None:
        """Has it drop its history, so that no watch goes on."""
        self.add_upstream()
        self.forgotten = self.revision

    async def get_prefix(self, prefix: str, limit: int = 0) -> port.PrefixState:
        """See `port.PlatformReader`."""
        self.calls["read"] += 1
        await self._begin_answer()
        return port.PrefixState(self.revision, tuple(self._values.values()))

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int, wait_s: float
    ) -> AsyncIterator[AsyncIterator[tuple[port.WatchEvent, ...]]]:
        """See `port.PlatformReader`; an answer comes after a time at least."""
        yield self._answer(start_revision - 1, wait_s)

    async def _answer(
        self, after: int, wait_s: float
    ) -> AsyncIterator[tuple[port.WatchEvent, ...]]:
        while True:
            self.calls["watch"] += 1
            await self._begin_answer()
            if self.revision == after:
                with trio.move_on_after(wait_s):
                    await self._changed.wait()
            self._check()
            if after < self.forgotten:
                raise errors.PlatformHistoryGoneError("gone", step="watch")
            events = self._list_events(after)
            after = self.revision
            yield events

    def _list_events(self, after: int) -> tuple[port.WatchEvent, ...]:
        events = [
            port.WatchEvent(value.key, value.value, value.mod_revision)
            for value in self._values.values()
            if value.mod_revision > after
        ]
        events += [
            port.WatchEvent(key, None, revision)
            for key, revision in self._deleted.items()
            if revision > after and key not in self._values
        ]
        return tuple(sorted(events, key=lambda event: event.mod_revision))

    async def _begin_answer(self) -> None:
        await trio.sleep(_ANSWER_S)
        self._check()

    def _check(self) -> None:
        if self.is_down:
            raise errors.PlatformUnavailableError("busy", step="call")

    def _put(self, key: str, value: bytes) -> None:
        self._note_change()
        self._values[key] = port.KeyValue(key, value, self.revision)

    def _note_change(self) -> None:
        self.changed_at = trio.current_time()
        self.revision += 1
        self._changed.set()
        self._changed = trio.Event()


class StoreWay:
    """The store as one host reaches it."""

    def __init__(
        self,
        store: Store,
        wait_s: float,
        is_cut: Callable[[], bool],
        is_refused: Callable[[], bool],
    ) -> None:
        """Makes the way of a host.

        Args:
            store: The store.
            wait_s: Longest wait of a watch, seconds.
            is_cut: Tells whether the host is cut off from it.
            is_refused: Tells whether it refuses this host at once.
        """
        self._store = store
        self._wait_s = wait_s
        self._is_cut = is_cut
        self._is_refused = is_refused

    async def get_prefix(self, prefix: str, limit: int = 0) -> port.PrefixState:
        """See `port.PlatformReader`."""
        await self._fail_if_cut()
        self._fail_if_refused("read")
        return await self._store.get_prefix(prefix, limit)

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[AsyncIterator[tuple[port.WatchEvent, ...]]]:
        """See `port.PlatformReader`."""
        await self._fail_if_cut()
        self._fail_if_refused("watch")
        async with self._store.watch(
            prefix, start_revision, self._wait_s
        ) as batches:
            yield self._pass_on(batches)

    async def _pass_on(
        self, batches: AsyncIterator[tuple[port.WatchEvent, ...]]
    ) -> AsyncIterator[tuple[port.WatchEvent, ...]]:
        async for batch in batches:
            await self._fail_if_cut()
            self._fail_if_refused("watch")
            yield batch

    def _fail_if_refused(self, call: str) -> None:
        if self._is_refused():
            self._store.calls[call] += 1
            raise errors.PlatformUnavailableError("busy", step=call)

    async def _fail_if_cut(self) -> None:
        if self._is_cut():
            await trio.sleep(_CALL_LIMIT_S)
            raise errors.PlatformUnavailableError("silent", step="call")
