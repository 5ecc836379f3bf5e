"""The platform within a test's own process, with faults by script."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import enum
from typing import Any

import trio

from persimmonhinge import errors
from persimmonhinge.store import port
from tests.standins import platform_store


class CallFault(enum.Enum):
    """What becomes of one call.

    NONE: It is answered.
    LOST: It never arrives.
    ANSWER_LOST: It takes effect; the answer is lost.
    LATE: The caller gets no answer; it takes effect `LATE_S` later.
    """

    NONE = "none"
    LOST = "lost"
    ANSWER_LOST = "answer-lost"
    LATE = "late"


LATE_S = 0.01


class MemoryPlatform:
    """Implements `port.Platform` but for leases.

    Attributes:
        store: What it holds.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.store = platform_store.Store()
        self._nursery = nursery
        self._write_faults: Iterator[CallFault] = iter(())
        self._read_faults: Iterator[CallFault] = iter(())

    def set_faults(
        self, writes: Iterable[CallFault], reads: Iterable[CallFault] = ()
    ) -> None:
        """Sets what becomes of the next calls, one after the other."""
        self._write_faults = iter(writes)
        self._read_faults = iter(reads)

    async def get(self, key: str) -> port.KeyValue | None:
        """See `port.Platform`."""
        values = self._select(key.encode(), b"")
        await self._wait(next(self._read_faults, CallFault.NONE))
        return values[0] if values else None

    async def get_prefix(
        self, prefix: str, limit: int = 0, after: str = ""
    ) -> port.PrefixState:
        """See `port.Platform`."""
        octets = prefix.encode()
        values = self._select(octets, octets + b"\xff")
        revision = self.store.revision
        await self._wait(next(self._read_faults, CallFault.NONE))
        values = [value for value in values if value.key > after]
        return port.PrefixState(revision, tuple(values))

    async def write_if(
        self,
        compares: tuple[port.Compare, ...],
        writes: tuple[port.Write, ...],
    ) -> int | None:
        """See `port.Platform`."""
        fault = next(self._write_faults, CallFault.NONE)
        if fault is CallFault.LATE:
            self._nursery.start_soon(self._write_late, compares, writes)
        revision = None
        if fault in (CallFault.NONE, CallFault.ANSWER_LOST):
            revision = self._write(compares, writes)
        await self._wait(fault)
        return revision

    async def grant_lease(self, life_s: int) -> int:
        """Not made here."""
        raise NotImplementedError

    async def keep_lease(self, lease: int) -> bool:
        """Not made here."""
        raise NotImplementedError

    async def revoke_lease(self, lease: int) -> None:
        """Not made here."""
        raise NotImplementedError

    def watch(
        self, prefix: str, start_revision: int
    ) -> contextlib.AbstractAsyncContextManager[
        AsyncIterator[tuple[port.WatchEvent, ...]]
    ]:
        """Not made here."""
        raise NotImplementedError

    def _select(self, key: bytes, range_end: bytes) -> list[port.KeyValue]:
        return [
            port.KeyValue(entry.key.decode(), entry.value, entry.mod_revision)
            for entry in self.store.select(key, range_end)
        ]

    async def _wait(self, fault: CallFault) -> None:
        await trio.sleep(0.001)
        if fault is not CallFault.NONE:
            raise errors.PlatformUnavailableError(fault.value, step="call")

    async def _write_late(self, *arguments: Any) -> None:
        await trio.sleep(LATE_S)
        self._write(*arguments)

    def _write(
        self,
        compares: tuple[port.Compare, ...],
        writes: tuple[port.Write, ...],
    ) -> int | None:
        for compare in compares:
            entry = self.store.get(compare.key.encode())
            if (entry.mod_revision if entry else 0) != compare.mod_revision:
                return None
        revision = self.store.begin()
        for write in writes:
            key = write.key.encode()
            if write.value is None:
                self.store.delete(revision, key)
            else:
                self.store.put(revision, key, write.value, write.lease)
        self.store.end()
        return revision
