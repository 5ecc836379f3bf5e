"""Tests of the calls of the platform client."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge.platform import opening as platform_opening
from persimmonhinge.settings import entry
from persimmonhinge.store import port
from tests.standins import platform_process
from tests.support import trios


async def raises(kind: type[Exception], call: object) -> Exception:
    try:
        await call  # type: ignore[misc]
    except kind as error:
        return error
    raise AssertionError(f"{kind.__name__} was not raised")


@trios.trio_test
async def test_write_if_holds_only_at_the_revision_compared() -> None:
    async with platform_process.run_platform() as process:
        async with platform_opening.open_store(process.settings()) as platform:
            write = (port.Write("a/1", b"\x00\xffone"),)
            first = await platform.write_if((port.Compare("a/1", 0),), write)
            again = await platform.write_if((port.Compare("a/1", 0),), write)
            stored = await platform.get("a/1")
    assert first is not None
    assert again is None
    assert stored == port.KeyValue("a/1", b"\x00\xffone", first)


@trios.trio_test
async def test_prefix_is_read_at_one_revision_and_in_order() -> None:
    async with platform_process.run_platform() as process:
        async with platform_opening.open_store(process.settings()) as platform:
            keys = ("a/2", "a/1", "b/1", "a/3")
            writes = tuple(port.Write(key, key.encode()) for key in keys)
            revision = await platform.write_if((), writes)
            await platform.write_if((), (port.Write("a/3", None),))
            state = await platform.get_prefix("a/")
            limited = await platform.get_prefix("a/", limit=1)
            missing = await platform.get("a/3")
    assert revision is not None
    assert state.revision == revision + 1
    assert [pair.key for pair in state.values] == ["a/1", "a/2"]
    assert [pair.key for pair in limited.values] == ["a/1"]
    assert missing is None


@trios.trio_test
async def test_keys_end_with_their_lease() -> None:
    async with platform_process.run_platform() as process:
        async with platform_opening.open_store(process.settings()) as platform:
            lease = await platform.grant_lease(60)
            await platform.write_if((), (port.Write("k", b"v", lease),))
            kept = await platform.keep_lease(lease)
            await platform.revoke_lease(lease)
            await platform.revoke_lease(lease)
            kept_later = await platform.keep_lease(lease)
            gone = await platform.get("k")
    assert kept
    assert not kept_later
    assert gone is None


@trios.trio_test
async def test_outage_is_told_apart_from_a_refusal() -> None:
    async with platform_process.run_platform() as process:
        async with platform_opening.open_store(
            process.settings(0.3)
        ) as platform:
            bad = (port.Write("k", b"1"), port.Write("k", b"2"))
            refusal = await raises(
                errors.PlatformError, platform.write_if((), bad)
            )
            await process.set_faults(delay_s=5.0)
            slow = await raises(
                errors.PlatformUnavailableError, platform.get("k")
            )
            await process.set_faults(delay_s=0.0, down=True)
            await raises(errors.PlatformUnavailableError, platform.get("k"))
            await process.set_faults(down=False)
            assert await platform.get("k") is None
    assert not isinstance(refusal, errors.PlatformUnavailableError)
    assert "store GET /kv-key" in str(slow)


@trios.trio_test
async def test_next_endpoint_is_asked_when_the_first_is_gone() -> None:
    async with platform_process.run_platform() as process:
        async with platform_process.run_platform() as gone:
            pass
        settings = entry.PlatformSettings(endpoints=(gone.url, process.url))
        async with platform_opening.open_store(settings) as platform:
            written = await platform.write_if((), (port.Write("k", b"v"),))
            assert await platform.get("k") is not None
    assert written is not None


@trios.trio_test
async def test_write_with_lost_answer_is_not_sent_to_the_next_endpoint() -> (
    None
):
    """An operator's change is reported as refused though it took effect.

    The platform applies the write and its answer is lost; the client sends
    the same write to the next endpoint, where the condition now fails, and
    hands on "condition failed". Cause: a repeat of what may have run.
    """
    async with platform_process.run_platform() as process:
        settings = entry.PlatformSettings(endpoints=(process.url, process.url))
        async with platform_opening.open_store(settings) as platform:
            await process.set_faults(drop_answers=1)
            compare = (port.Compare("k", 0),)
            write = (port.Write("k", b"v"),)
            await raises(
                errors.PlatformUnavailableError,
                platform.write_if(compare, write),
            )
            counts = await process.get_counts()
            stored = await platform.get("k")
    assert counts["txn"] == 1
    assert stored is not None
