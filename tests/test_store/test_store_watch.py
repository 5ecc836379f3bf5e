"""Tests of watches."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge.platform import opening as platform_opening
from persimmonhinge.store import port
from tests.standins import platform_process
from tests.support import trios


@trios.trio_test
async def test_watch_yields_changes_from_its_revision_on() -> None:
    async with platform_process.run_platform() as process:
        async with platform_opening.open_store(process.settings()) as platform:
            first = await platform.write_if((), (port.Write("a/1", b"1"),))
            assert first is not None
            await platform.write_if((), (port.Write("b/1", b"1"),))
            async with platform.watch("a/", first) as batches:
                seen = list(await anext(batches))
                await platform.write_if((), (port.Write("a/1", None),))
                seen += await anext(batches)
    assert seen == [
        port.WatchEvent("a/1", b"1", first),
        port.WatchEvent("a/1", None, first + 2),
    ]


@trios.trio_test
async def test_watch_from_a_compacted_revision_is_an_error() -> None:
    async with platform_process.run_platform() as process:
        async with platform_opening.open_store(process.settings()) as platform:
            for _ in range(3):
                await platform.write_if((), (port.Write("a/1", b"1"),))
            await process.compact(3)
            try:
                async with platform.watch("a/", 2) as batches:
                    await anext(batches)
                raise AssertionError("the watch began after a gap")
            except errors.PlatformUnavailableError:
                raise
            except errors.PlatformError as error:
                assert "compacted up to revision 3" in str(error)


@trios.trio_test
async def test_broken_watch_raises() -> None:
    async with platform_process.run_platform() as process:
        async with platform_opening.open_store(process.settings()) as platform:
            async with platform.watch("a/", 1) as batches:
                await process.set_faults(down=True)
                try:
                    await anext(batches)
                except errors.PlatformUnavailableError:
                    return
    raise AssertionError("the broken watch went on")


@trios.trio_test
async def test_silent_watch_is_replaced() -> None:
    """A new contract is in force everywhere but where a watch went silent.

    The watch is open; something on the way loses track of its connection;
    the contract changes. No error shows, since new connections work. Cause:
    nothing replaces a stream that is only quiet.
    """
    async with platform_process.run_platform() as process:
        async with platform_opening.open_store(process.settings()) as platform:
            async with platform.watch("a/", 1) as batches:
                await process.set_faults(silence_watches=True)
                await platform.write_if((), (port.Write("a/1", b"1"),))
                (event,) = await anext(batches)
    assert event.value == b"1"
