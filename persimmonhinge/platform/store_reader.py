"""The reading calls of the platform's metadata store."""

from __future__ import annotations

import binascii
from collections.abc import AsyncIterator
from collections.abc import Callable

from persimmonhinge import errors
from persimmonhinge import json_reader
from persimmonhinge import records
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.store import http
from persimmonhinge.store import pool as pools
from persimmonhinge.store import port

if TYPE_CHECKING:
    from typing import Any
    from typing import Self
    from typing import TypeVar

    from persimmonhinge.store import response_reader
    from persimmonhinge.store import transport as transports

    T = TypeVar("T")

OK = 200
NOT_FOUND = 404
_HISTORY_GONE = 410
_TOO_MANY = 429
_SERVER_FAULT = 500
# How much later than asked for a waiting watch may be answered before it
# counts as silent: a slow store answers within some hundred milliseconds.
_WATCH_SLACK_S = 0.4
_PLAIN = frozenset(
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_./-"
)


class _Page(records.Record, frozen=True):
    """A page of items, in order of their keys.

    Attributes:
        items: The items.
        revision: Revision of the whole store, not that of any item.
        has_more: True if this is not the last page.
    """

    items: tuple[port.KeyValue, ...]
    revision: int
    has_more: bool


class _News(records.Record, frozen=True):
    """Changes since the revision that was asked for.

    Attributes:
        events: The changes.
        revision: Revision of the store up to which these are all.
    """

    events: tuple[port.WatchEvent, ...]
    revision: int


class Watch:
    """A watch with a connection of its own, to be used in `async with`."""

    def __init__(
        self,
        connection: http.HttpConnection,
        events: AsyncIterator[tuple[port.WatchEvent, ...]],
    ) -> None:
        self._connection = connection
        self._events = events

    async def __aenter__(self) -> AsyncIterator[tuple[port.WatchEvent, ...]]:
        """Returns the batches of changes."""
        return self._events

    async def __aexit__(self, *_: object) -> None:
        """Closes the connection."""
        self._connection.close()


class StoreReader:
    """Implements `port.PlatformReader`; each method is a call or some.

    Calls share some connections, and each watch has one of its own. Close it,
    or use it in `async with`.
    """

    def __init__(
        self,
        settings: port.StoreSettings,
        make_transport: Callable[[str, int], transports.Transport],
    ) -> None:
        self._settings = settings
        self._pool = pools.ConnectionPool(settings, make_transport)

    async def __aenter__(self) -> Self:
        """Returns itself."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes the connections of calls."""
        await self.close()

    async def close(self) -> None:
        """Closes the connections of calls."""
        self._pool.close()

    async def get(self, key: str) -> port.KeyValue | None:
        """See `port.PlatformReader`."""
        target = _make_target("/kv-key", Key=key)
        response = await self._call("GET", target, b"", {OK, NOT_FOUND})
        if response.status == NOT_FOUND:
            return None
        return decode_answer(response.body, _read_item, target)

    async def get_prefix(self, prefix: str, limit: int = 0) -> port.PrefixState:
        """See `port.PlatformReader`.

        The pages of a long prefix are no snapshot: the revision is that of
        the first page, so that a watch from there on misses no change.
        """
        values: list[port.KeyValue] = []
        revision = 0
        parameters = {"Prefix": prefix}
        while True:
            target = _make_target("/kv-range", **parameters)
            response = await self._call("GET", target, b"", {OK})
            page = decode_answer(response.body, _read_page, target)
            revision = revision or page.revision
            values.extend(page.items)
            if not page.has_more or not page.items or 0 < limit <= len(values):
                break
            parameters["after"] = page.items[-1].key
        return port.PrefixState(revision, tuple(values[: limit or None]))

    def watch(self, prefix: str, start_revision: int) -> Watch:
        """See `port.PlatformReader`."""
        connection = self._pool.connect()
        events = self._poll(connection, prefix, start_revision - 1)
        return Watch(connection, events)

    async def _poll(
        self, connection: http.HttpConnection, prefix: str, after: int
    ) -> AsyncIterator[tuple[port.WatchEvent, ...]]:
        wait_s = self._settings.watch_wait_s
        while True:
            target = _make_target(
                "/kv-watch",
                Prefix=prefix,
                after=str(after),
                WaitMs=str(int(wait_s * 1000)),
            )
            response = await connection.call(
                "GET", target, b"", wait_s + _WATCH_SLACK_S
            )
            _check(response, target, {OK})
            answer = decode_answer(response.body, _read_news, target)
            after = max(after, answer.revision)
            yield answer.events

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        accepted: set[int],
        *,
        repeatable: bool = True,
    ) -> response_reader.Response:
        response = await self._pool.call(
            method, target, body, repeatable=repeatable
        )
        _check(response, target, accepted)
        return response


def _make_target(path: str, **parameters: str) -> str:
    pairs = (f"{name}={_quote(text)}" for name, text in parameters.items())
    return f"{path}?{'&'.join(pairs)}"


def _quote(text: str) -> str:
    if _PLAIN.issuperset(text):
        return text
    # Keys that need it are rare, and the import takes 6 ms of processor time
    # that a host would spend before it serves.
    import urllib.parse

    return urllib.parse.quote(text, safe="")


def _check(
    response: response_reader.Response, target: str, accepted: set[int]
) -> None:
    status = response.status
    if status in accepted:
        return
    step = f"store {target.partition('?')[0]}"
    text = f"status {status}: {response.body[:200]!r}"
    if status == _HISTORY_GONE:
        raise errors.PlatformHistoryGoneError(text, step=step)
    if status == _TOO_MANY or status >= _SERVER_FAULT:
        raise errors.PlatformUnavailableError(text, step=step)
    raise errors.PlatformError(text, step=step)


def decode_answer(
    body: bytes, read: Callable[[dict[str, Any]], T], target: str
) -> T:
    """Reads the body of an answer.

    Raises:
        PlatformError: It can't be read.
    """
    try:
        return read(json_reader.decode_object(body))
    except ValueError as error:
        raise errors.PlatformError(
            f"answer can't be read: {error}",
            step=f"store {target.partition('?')[0]}",
        ) from error


def _read_page(document: dict[str, Any]) -> _Page:
    items = json_reader.read_field(document, "items", list)
    return _Page(
        tuple(_read_item(json_reader.expect(i, dict, "item")) for i in items),
        json_reader.read_field(document, "CurrentRev", int),
        json_reader.read_field(document, "HasMore", bool, False),
    )


def _read_news(document: dict[str, Any]) -> _News:
    events = json_reader.read_field(document, "events", list)
    return _News(
        tuple(
            _read_event(json_reader.expect(e, dict, "event")) for e in events
        ),
        json_reader.read_field(document, "CurrentRev", int),
    )


def _read_item(document: dict[str, Any]) -> port.KeyValue:
    read = json_reader.read_field
    return port.KeyValue(
        read(document, "Key", str),
        _read_value(document),
        read(document, "Revision", int),
    )


def _read_event(document: dict[str, Any]) -> port.WatchEvent:
    read = json_reader.read_field
    deleted = read(document, "Tombstone", bool, False)
    return port.WatchEvent(
        read(document, "Key", str),
        None if deleted else _read_value(document),
        read(document, "Revision", int),
    )


def _read_value(document: dict[str, Any]) -> bytes:
    text = json_reader.read_field(document, "Value", str, "")
    return binascii.a2b_base64(text)
