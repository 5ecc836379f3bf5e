"""Client of the platform's metadata store."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import re
from typing import Self
from typing import TypeVar

import msgspec

from persimmonhinge import errors
from persimmonhinge.platform import messages
from persimmonhinge.store import http
from persimmonhinge.store import pool as pools
from persimmonhinge.store import port
from persimmonhinge.store import transport as transports

T = TypeVar("T")

_OK = 200
_NOT_FOUND = 404
_CONDITION_FAILED = 412
_HISTORY_GONE = 410
_TOO_MANY = 429
_SERVER_FAULT = 500
# How much later than asked for a waiting watch may be answered before it
# counts as silent: a slow store answers within some hundred milliseconds.
_WATCH_SLACK_S = 0.4
_PLAIN = re.compile(r"[A-Za-z0-9_./-]*")


class MetadataStore:
    """Implements `port.Platform`; each method is one call at the platform.

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
        """See `port.Platform`."""
        target = _make_target("/kv-key", Key=key)
        response = await self._call("GET", target, b"", {_OK, _NOT_FOUND})
        if response.status == _NOT_FOUND:
            return None
        return _convert(_decode(response.body, messages.Item, target))

    async def get_prefix(self, prefix: str, limit: int = 0) -> port.PrefixState:
        """See `port.Platform`.

        The pages of a long prefix are no snapshot: the revision is that of
        the first page, so that a watch from there on misses no change.
        """
        values: list[port.KeyValue] = []
        revision = 0
        parameters = {"Prefix": prefix}
        while True:
            target = _make_target("/kv-range", **parameters)
            response = await self._call("GET", target, b"", {_OK})
            page = _decode(response.body, messages.RangeAnswer, target)
            revision = revision or page.revision
            values.extend(_convert(item) for item in page.items)
            if not page.has_more or not page.items or 0 < limit <= len(values):
                break
            parameters["after"] = page.items[-1].key
        return port.PrefixState(revision, tuple(values[: limit or None]))

    async def write_if(
        self,
        compares: tuple[port.Compare, ...],
        writes: tuple[port.Write, ...],
    ) -> int | None:
        """See `port.Platform`."""
        transaction = messages.Transaction(
            [messages.Condition(c.key, c.mod_revision) for c in compares],
            [
                messages.Put(w.key, w.value, w.lease)
                for w in writes
                if w.value is not None
            ],
            [w.key for w in writes if w.value is None],
        )
        body = msgspec.json.encode(transaction)
        accepted = {_OK, _CONDITION_FAILED}
        response = await self._call(
            "POST", "/kv-txn", body, accepted, repeatable=False
        )
        if response.status == _CONDITION_FAILED:
            return None
        answer = _decode(response.body, messages.TransactionAnswer, "/kv-txn")
        return answer.revision

    async def grant_lease(self, life_s: int) -> int:
        """See `port.Platform`."""
        body = msgspec.json.encode(messages.LeaseRequest(life_s * 1000))
        response = await self._call("POST", "/kv-lease", body, {_OK})
        return _decode(response.body, messages.LeaseAnswer, "/kv-lease").lease

    async def keep_lease(self, lease: int) -> bool:
        """See `port.Platform`."""
        target = f"/kv-keep/{lease}"
        response = await self._call("POST", target, b"", {_OK, _NOT_FOUND})
        return response.status == _OK

    async def revoke_lease(self, lease: int) -> None:
        """See `port.Platform`; a lease that has lapsed is no error."""
        target = f"/kv-lease-end/{lease}"
        await self._call("DELETE", target, b"", {_OK, _NOT_FOUND})

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[AsyncIterator[tuple[port.WatchEvent, ...]]]:
        """See `port.Platform`."""
        connection = self._pool.connect()
        events = self._poll(connection, prefix, start_revision - 1)
        try:
            yield events
        finally:
            connection.close()

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
            _check(response, target, {_OK})
            answer = _decode(response.body, messages.WatchAnswer, target)
            after = max(after, answer.revision)
            yield tuple(_convert_event(item) for item in answer.events)

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        accepted: set[int],
        *,
        repeatable: bool = True,
    ) -> http.Response:
        response = await self._pool.call(
            method, target, body, repeatable=repeatable
        )
        _check(response, target, accepted)
        return response


def _make_target(path: str, **parameters: str) -> str:
    pairs = (f"{name}={_quote(text)}" for name, text in parameters.items())
    return f"{path}?{'&'.join(pairs)}"


def _quote(text: str) -> str:
    if _PLAIN.fullmatch(text):
        return text
    # Keys that need it are rare, and the import takes 6 ms of processor time
    # that a host would spend before it serves.
    import urllib.parse

    return urllib.parse.quote(text, safe="")


def _check(response: http.Response, target: str, accepted: set[int]) -> None:
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


def _decode(body: bytes, kind: type[T], target: str) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise errors.PlatformError(
            f"answer can't be read: {error}",
            step=f"store {target.partition('?')[0]}",
        ) from error


def _convert(item: messages.Item) -> port.KeyValue:
    return port.KeyValue(item.key, item.value, item.revision)


def _convert_event(item: messages.Item) -> port.WatchEvent:
    value = None if item.deleted else item.value
    return port.WatchEvent(item.key, value, item.revision)
