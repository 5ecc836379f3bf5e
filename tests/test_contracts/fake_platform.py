"""A platform in memory with outages, compaction and lost answers."""

from __future__ import annotations

import collections
from collections.abc import AsyncIterator
import contextlib

import trio

from persimmonhinge import changes
from persimmonhinge import errors
from persimmonhinge.store import port


class FakePlatform:
    """Implements `port.Platform`; all hosts of a test may share one.

    Attributes:
        down: True while no call gets an answer.
        loses_answers: True while writes take effect but their answers don't
            arrive.
        calls: Number of calls by kind, failed ones included.
        callers: Number of calls by client.
        unreachable: Names of the clients that can't reach it.
    """

    def __init__(self) -> None:
        self.down = False
        self.loses_answers = False
        self.calls: collections.Counter[str] = collections.Counter()
        self.callers: collections.Counter[str] = collections.Counter()
        self.unreachable: set[str] = set()
        self.revision = 1
        self.compacted = 0
        self.values: dict[str, port.KeyValue] = {}
        self.events: list[port.WatchEvent] = []
        self.changed = changes.ChangeSignal()

    def client(self, name: str) -> FakeClient:
        """Returns the platform as one host sees it."""
        return FakeClient(self, name)

    def put(self, key: str, value: bytes | None) -> int:
        """Writes or deletes a key at once, as an operator would."""
        self.revision += 1
        self._apply(key, value)
        self.changed.announce()
        return self.revision

    def apply(self, writes: tuple[port.Write, ...]) -> int:
        """Writes all in one revision."""
        self.revision += 1
        for write in writes:
            self._apply(write.key, write.value)
        self.changed.announce()
        return self.revision

    def compact(self) -> None:
        """Forgets all events so far, and ends all watches."""
        self.compacted = self.revision
        self.events.clear()

    def copy(self) -> FakePlatform:
        """Returns a backup that can be restored later."""
        copy = FakePlatform()
        copy.revision = self.revision
        copy.values = dict(self.values)
        copy.events = list(self.events)
        return copy

    def restore(self, copy: FakePlatform) -> None:
        """Goes back to a backup; watches stay open in silence."""
        self.revision = copy.revision
        self.values = dict(copy.values)
        self.events = list(copy.events)
        self.changed.announce()

    def _apply(self, key: str, value: bytes | None) -> None:
        if value is None:
            self.values.pop(key, None)
        else:
            self.values[key] = port.KeyValue(key, value, self.revision)
        self.events.append(port.WatchEvent(key, value, self.revision))


class FakeClient:
    """One host's client of a `FakePlatform`."""

    def __init__(self, platform: FakePlatform, name: str) -> None:
        self._platform = platform
        self._name = name

    async def get(self, key: str) -> port.KeyValue | None:
        """See `port.Platform`."""
        await self._begin("get")
        return self._platform.values.get(key)

    async def get_prefix(
        self, prefix: str, limit: int = 0, after: str = ""
    ) -> port.PrefixState:
        """See `port.Platform`."""
        await self._begin("get-prefix")
        values = self._platform.values
        found = [
            values[key]
            for key in sorted(values)
            if key.startswith(prefix) and key > after
        ]
        return port.PrefixState(
            self._platform.revision, tuple(found[: limit or None])
        )

    async def write_if(
        self, compares: tuple[port.Compare, ...], writes: tuple[port.Write, ...]
    ) -> int | None:
        """See `port.Platform`."""
        await self._begin("write-if")
        for compare in compares:
            found = self._platform.values.get(compare.key)
            if (found.mod_revision if found else 0) != compare.mod_revision:
                return None
        revision = self._platform.apply(writes)
        if self._platform.loses_answers:
            raise _make_error()
        return revision

    async def grant_lease(self, life_s: int) -> int:
        """See `port.Platform`."""
        raise NotImplementedError

    async def keep_lease(self, lease: int) -> bool:
        """See `port.Platform`."""
        raise NotImplementedError

    async def revoke_lease(self, lease: int) -> None:
        """See `port.Platform`."""
        raise NotImplementedError

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[AsyncIterator[tuple[port.WatchEvent, ...]]]:
        """See `port.Platform`."""
        await self._begin("watch")
        if start_revision <= self._platform.compacted:
            raise errors.PlatformError("compacted", step="watch")
        yield self._read(prefix, start_revision)

    async def _read(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[tuple[port.WatchEvent, ...]]:
        seen = start_revision - 1
        while True:
            version = self._platform.changed.version
            self._check_up()
            batch = tuple(
                event
                for event in self._platform.events
                if event.mod_revision > seen and event.key.startswith(prefix)
            )
            if batch:
                seen = batch[-1].mod_revision
                yield batch
                continue
            with trio.move_on_after(1):
                await self._platform.changed.wait_beyond(version)

    async def _begin(self, kind: str) -> None:
        self._platform.calls[kind] += 1
        self._platform.callers[self._name] += 1
        await trio.sleep(0.002)
        self._check_up()

    def _check_up(self) -> None:
        if self._platform.down or self._name in self._platform.unreachable:
            raise _make_error()


def _make_error() -> errors.PlatformUnavailableError:
    return errors.PlatformUnavailableError("no answer", step="fake")
