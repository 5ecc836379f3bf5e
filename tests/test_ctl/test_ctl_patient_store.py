"""Tests of readings that outlast a store that stands still."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib

import trio

from persimmonhinge import errors
from persimmonhinge.ctl import patient_store
from persimmonhinge.store import port
from tests.standins import platform_memory
from tests.support import trios

_LIMIT_S = 15.0
_KEY = "contracts/floor"
_LOST = platform_memory.CallFault.LOST


@contextlib.asynccontextmanager
async def _run_store(
    kind: type[platform_memory.MemoryPlatform] = platform_memory.MemoryPlatform,
) -> AsyncIterator[
    tuple[patient_store.PatientStore, platform_memory.MemoryPlatform]
]:
    async with trio.open_nursery() as nursery:
        platform = kind(nursery)
        yield patient_store.PatientStore(platform, _LIMIT_S), platform


async def _write(store: patient_store.PatientStore) -> int | None:
    return await store.write_if((), (port.Write(_KEY, b"body"),))


@trios.clock_test
async def test_reading_outlasts_a_store_that_stands_still() -> None:
    """An operator's command fails when the store is silent for a moment."""
    async with _run_store() as (store, platform):
        revision = await _write(store)
        platform.set_faults([], [_LOST, _LOST, _LOST])
        found = await store.get(_KEY)
        assert found == port.KeyValue(_KEY, b"body", revision or 0)
        platform.set_faults([], [_LOST, _LOST, _LOST])
        assert (await store.get_prefix("contracts/")).values == (found,)


@trios.clock_test
async def test_reading_is_given_up_while_the_store_stays_silent() -> None:
    """An operator's command waits for a store that is down for good."""
    async with _run_store() as (store, platform):
        platform.set_faults([], [_LOST] * 1000)
        began_at = trio.current_time()
        try:
            await store.get(_KEY)
            raise AssertionError("the store answered")
        except errors.PlatformUnavailableError:
            assert trio.current_time() - began_at < 2 * _LIMIT_S


@trios.clock_test
async def test_store_that_refuses_connections_is_given_up_at_once() -> None:
    class RefusingPlatform(platform_memory.MemoryPlatform):
        async def get(self, key: str) -> port.KeyValue | None:
            raise errors.PlatformUnreachableError("refused", step="connect")

    async with _run_store(RefusingPlatform) as (store, _):
        began_at = trio.current_time()
        try:
            await store.get(_KEY)
            raise AssertionError("the store answered")
        except errors.PlatformUnreachableError:
            assert trio.current_time() == began_at


@trios.clock_test
async def test_write_without_an_answer_is_not_sent_again() -> None:
    """A change is written twice, as its first answer was lost."""
    async with _run_store() as (store, platform):
        platform.set_faults([_LOST])
        try:
            await _write(store)
            raise AssertionError("the store answered")
        except errors.PlatformUnavailableError:
            assert await store.get(_KEY) is None
