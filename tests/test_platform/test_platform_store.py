"""Tests of the answers to calls that change the store."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

from persimmonhinge import errors
from persimmonhinge.platform import adapter
from persimmonhinge.platform import store
from persimmonhinge.store import blocking_transport
from persimmonhinge.store import port
from tests.test_platform import scripted_store

_NUMBERS: tuple[object, ...] = (None, "1", True, 1.5, -1, 0, 1 << 63, 10**400)
_SETTINGS = adapter.make_settings(("127.0.0.1:1",), 1.0)


def _write(client: store.MetadataStore) -> Awaitable[object]:
    return client.write_if((), (port.Write("k", b"v"),))


def _grant(client: store.MetadataStore) -> Awaitable[object]:
    return client.grant_lease(10)


_CALLS: tuple[
    tuple[str, Callable[[store.MetadataStore], Awaitable[object]]], ...
] = (("Revision", _write), ("Lease", _grant))


def test_answer_without_a_number_in_range_is_one_error() -> None:
    """Guards against a command that ends with a traceback, or goes on wrong."""
    for name, call in _CALLS:
        bodies = [scripted_store.encode({name: n}) for n in _NUMBERS]
        for body in (*bodies, b"{}", b"[]", b"", b"\xff", b"[" * 100_000):
            client = store.MetadataStore(
                _SETTINGS,
                lambda host, number, body=body: scripted_store.Transport(  # type: ignore[misc]
                    lambda _: body
                ),
            )
            try:
                blocking_transport.run(call(client))  # type: ignore[arg-type]
            except errors.UnreadableAnswerError:
                continue
            raise AssertionError(f"{body[:40]!r} was taken for a {name}")
