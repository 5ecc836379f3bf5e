"""Tests of answers of the store that hold what no store should answer."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Any

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.forwarding import upstream
from persimmonhinge.store import blocking_transport
from tests.test_forwarding import test_forwarding_entry_replica as readers
from tests.test_platform import scripted_store

GOOD: dict[str, Any] = {
    "Key": readers.make_key("1"),
    "Value": base64.b64encode(readers.make_entry()).decode(),
    "Revision": 3,
}
_OTHER = {**GOOD, "Key": readers.make_key("2")}
_NO_REVISIONS: tuple[object, ...] = (
    -1,
    0,
    1 << 63,
    1 << 64,
    10**400,
    1.5,
    "3",
    True,
    None,
    # Above the revision of the store.
    10,
    (1 << 63) - 1,
)
_NO_VALUES: tuple[object, ...] = (
    "a",
    "é",
    "e3!!0=",
    "\ud800",
    5,
    None,
    [],
    "A" * 8_000,
)
# Fields of an item whose key can be read, and what is wrong with them.
_UNREADABLE: tuple[dict[str, Any], ...] = (
    *({"Revision": revision} for revision in _NO_REVISIONS),
    *({"Value": value} for value in _NO_VALUES),
)
_NO_KEYS: tuple[object, ...] = ("\ud800", "k" * 201, 5, None, {})
_WITHOUT_KEY: tuple[object, ...] = (
    5,
    None,
    [],
    "x",
    {},
    *({**GOOD, "Key": key} for key in _NO_KEYS),
)
_LARGE_OCTETS = 700_000
_FRAMES: tuple[dict[str, Any], ...] = (
    {"CurrentRev": -1},
    {"CurrentRev": 1 << 63},
    {"CurrentRev": "9"},
    {"HasMore": 1},
    {"items": {}},
    {"items": None},
)


def _find(
    host: scripted_store.ScriptedHost, name: str
) -> upstream.Upstream | None:
    return host.knowledge.directory.get(ids.UpstreamId(f"i-{name}"))


def test_unreadable_item_is_refused_alone() -> None:
    """Guards against a host that doesn't start while one item is damaged."""
    for fields in _UNREADABLE:
        page = scripted_store.make_page({**GOOD, **fields}, _OTHER)
        host = scripted_store.make_host(page)
        assert host.read_all() == 9
        assert _find(host, "1") is None
        assert _find(host, "2") is not None, fields
        assert host.count_refused() == 1


def test_unreadable_item_deletes_nothing() -> None:
    """Guards against flows that are reset since an entry looks deleted."""
    for fields in _UNREADABLE:
        pages = [
            scripted_store.make_page(GOOD, _OTHER),
            scripted_store.make_page({**GOOD, "Revision": 5, **fields}),
        ]
        host = scripted_store.make_host(*pages)
        host.read_all()
        host.read_all()
        values = {
            entry.key: entry.value
            for entry in host.entries.make_snapshot(0, ()).entries
        }
        assert values[GOOD["Key"]] is not None, fields
        assert values[_OTHER["Key"]] is None


def test_item_without_a_key_is_left_out() -> None:
    for item in _WITHOUT_KEY:
        page = scripted_store.make_page(item, _OTHER)
        host = scripted_store.make_host(page)
        assert [pair.key for pair in host.read_prefix().values] == [
            _OTHER["Key"]
        ]
        assert host.count_refused() == 1


def _is_refused(read: Callable[[], object]) -> bool:
    try:
        read()
    except errors.UnreadableAnswerError:
        return True
    return False


def test_later_read_with_an_item_without_a_key_is_refused() -> None:
    """Guards against flows that are reset since an item has lost its key."""
    for item in _WITHOUT_KEY:
        host = scripted_store.make_host(
            scripted_store.make_page(GOOD, _OTHER),
            scripted_store.make_page(item, _OTHER),
        )
        host.read_all()
        assert _is_refused(host.read_all), item
        found = _find(host, "1")
        assert found is not None
        assert found.state is upstream.UpstreamState.READY


def test_news_whose_place_is_unreadable_are_refused() -> None:
    """Guards against a change that is lost, as the watch goes on behind it."""
    events = [{**GOOD, "Revision": revision} for revision in _NO_REVISIONS]
    for event in (*_WITHOUT_KEY, *events):
        news = scripted_store.make_news(event, _OTHER)
        host = scripted_store.make_host(news)
        assert _is_refused(host.watch_once), event
    unused = {"Key": "x/1", "Revision": 0}
    news = scripted_store.make_news(unused, _OTHER)
    assert len(scripted_store.make_host(news).watch_once()) == 1


def test_watch_of_a_revision_that_the_store_has_not_reached_is_refused() -> (
    None
):
    """Guards against a host that sees no change after one wrong number."""
    most = (1 << 63) - 1
    host = scripted_store.make_host(
        scripted_store.make_news(CurrentRev=most), scripted_store.make_news()
    )

    async def watch() -> None:
        async with host.client.watch("", 1) as batches:
            assert await anext(batches) == ()
            await anext(batches)

    assert _is_refused(lambda: blocking_transport.run(watch()))


def test_event_with_an_unreadable_value_is_refused_alone() -> None:
    damaged = [{**GOOD, "Value": value} for value in _NO_VALUES]
    for event in (*damaged, {**GOOD, "Tombstone": 1}):
        news = scripted_store.make_news(event, _OTHER)
        host = scripted_store.make_host(news)
        first, second = host.watch_once()
        assert (first.key, first.value) == (GOOD["Key"], b"")
        assert (first.mod_revision, second.mod_revision) == (3, 3)
        assert _find(host, "2") is not None
        assert host.count_refused() == 1


def test_answer_whose_frame_is_unreadable_is_refused() -> None:
    frames = [scripted_store.make_page(GOOD, **fields) for fields in _FRAMES]
    deep = b"[" * 100_000
    for body in (*frames, b"", b"{", b"[]", b"7", b'{"items":' + deep, b"\xff"):
        host = scripted_store.make_host(body)
        for read in (host.read_all, host.watch_once):
            try:
                read()
            except errors.UnreadableAnswerError:
                continue
            raise AssertionError(f"{body[:80]!r} was read")


def test_client_of_commands_refuses_an_answer_with_an_unreadable_item() -> None:
    """Guards against a command that changes what it could read in part."""
    for fields in _UNREADABLE[:-1]:
        page = scripted_store.make_page({**GOOD, **fields}, _OTHER)
        host = scripted_store.make_host(page)
        try:
            blocking_transport.run(host.strict_client.get_prefix(""))
        except errors.PlatformError:
            continue
        raise AssertionError(f"{fields} were read")


def test_items_that_a_host_does_not_use_are_not_kept() -> None:
    """Guards against a host that is killed for the memory of other values."""
    large = base64.b64encode(bytes(_LARGE_OCTETS)).decode()
    page = scripted_store.make_page(
        {**GOOD, "Key": "op/other", "Value": large},
        {**GOOD, "Key": "persimmonhinge/hosts/a", "Value": "no base64"},
        {**GOOD, "Key": "op/config", "Value": large},
        {**GOOD, "Key": readers.make_key("1"), "Value": large},
    )
    host = scripted_store.make_host(page)
    kept = host.read_prefix().values
    assert [(pair.key, len(pair.value)) for pair in kept] == [
        ("op/config", _LARGE_OCTETS),
        (readers.make_key("1"), 0),
    ]
    assert host.count_refused() == 1
