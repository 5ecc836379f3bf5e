"""Tests of reads whose pages don't come to an end."""

from __future__ import annotations

import functools

from persimmonhinge import errors
from persimmonhinge.platform import adapter
from persimmonhinge.store import blocking_transport
from tests.test_platform import scripted_store

# Keys of the pages that a store returns in turn, the last one again and again;
# all pages promise another one.
_ENDLESS: tuple[tuple[tuple[object, ...], ...], ...] = (
    (("a",),),
    ((),),
    (("b",), ("a",)),
    (("b",), ("c", "b")),
    (("b",), ()),
    (("b",), (5,)),
    (("\ud800",),),
)
_MOST_CALLS = 3
_MOST_PAGES = 30
_MOST_UNUSED_PAGES = 3_000
_MOST_UNUSED_ITEMS = 300_000


def _make_page(keys: tuple[object, ...], *, has_more: bool) -> bytes:
    items = [{"Key": key, "Value": "", "Revision": 1} for key in keys]
    return scripted_store.make_page(*items, HasMore=has_more)


def test_read_whose_pages_do_not_go_on_is_refused() -> None:
    """Guards against a host that reads for ever, or takes a part for all."""
    for pages in _ENDLESS:
        bodies = [_make_page(keys, has_more=True) for keys in pages]
        host = scripted_store.make_host(*bodies)
        try:
            host.read_prefix()
        except errors.UnreadableAnswerError:
            assert len(host.targets) <= _MOST_CALLS
            continue
        raise AssertionError(f"{pages} were taken for all entries")


def test_read_of_more_than_fits_is_refused() -> None:
    """Guards against a host that is killed for the memory of many entries."""

    def answer(_: str) -> bytes:
        number = len(host.targets)
        if number > _MOST_PAGES:
            raise AssertionError("the read goes on")
        items = [
            {
                "Key": f"servers/{number:04}-{i:03}",
                "Value": value,
                "Revision": 1,
            }
            for i in range(500)
        ]
        return scripted_store.make_page(*items, HasMore=True)

    value = "A" * 4_000
    host = scripted_store.ScriptedHost(answer)
    try:
        host.read_prefix()
    except errors.UnreadableAnswerError as error:
        assert error.field == "items"
        return
    raise AssertionError("the read has ended")


def _answer_unused(targets: list[str], length: int, target: str) -> bytes:
    """Returns a page of keys that no host uses, which promises another one."""
    targets.append(target)
    page = len(targets)
    if page * length > _MOST_UNUSED_ITEMS or page > _MOST_UNUSED_PAGES:
        raise AssertionError("the read goes on")
    keys = (f"x/{page:06}-{i:04}" for i in range(length))
    return _make_page(tuple(keys), has_more=True)


def test_read_of_keys_that_no_host_uses_comes_to_an_end() -> None:
    """Guards against a start that never ends as other programs' keys don't."""
    for length in (1, 5_000):
        targets: list[str] = []
        host = scripted_store.ScriptedHost(
            functools.partial(_answer_unused, targets, length)
        )
        try:
            host.read_prefix()
        except errors.UnreadableAnswerError as error:
            assert error.field == "items"
            continue
        raise AssertionError("the read has ended")


def test_read_that_takes_too_long_is_given_up() -> None:
    """Guards against a start that doesn't ask other hosts by a slow store."""
    targets: list[str] = []
    answer = functools.partial(_answer_unused, targets, 1)
    client = adapter.make_reader(
        ("127.0.0.1:1",),
        lambda host, number: scripted_store.Transport(answer),
        1.0,
        max_read_s=0.0,
    )
    try:
        blocking_transport.run(client.get_prefix(""))
    except errors.PlatformUnavailableError:
        assert len(targets) == 1
        return
    raise AssertionError("the read has ended")


def test_page_without_a_used_item_is_gone_past() -> None:
    """Guards against a read that ends early where other programs' keys are."""
    host = scripted_store.make_host(
        _make_page(("op/a", "op/b"), has_more=True),
        _make_page(("servers/a",), has_more=False),
    )
    (pair,) = host.read_prefix().values
    assert pair.key == "servers/a"
    assert "after=op/b" in host.targets[1]


def test_page_that_does_not_tell_whether_it_is_the_last_is_followed() -> None:
    """Guards against a part of the entries that is taken for all of them."""
    pages = [
        scripted_store.encode(
            {
                "items": [{"Key": k, "Value": "", "Revision": 1} for k in keys],
                "CurrentRev": 9,
            }
        )
        for keys in (["servers/a"], ["servers/b"], [])
    ]
    kept = scripted_store.make_host(*pages).read_prefix().values
    assert [pair.key for pair in kept] == ["servers/a", "servers/b"]


def test_key_that_cannot_be_encoded_is_an_error_of_the_call() -> None:
    """Guards against a command that ends with a traceback."""
    host = scripted_store.make_host(b"{}")
    try:
        blocking_transport.run(host.strict_client.get("contracts/\udcff"))
    except errors.PlatformError:
        return
    raise AssertionError("the key was sent")
