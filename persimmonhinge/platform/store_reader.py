"""The reading calls of the platform's metadata store."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import math
import time

from persimmonhinge import errors
from persimmonhinge import json_reader
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.platform import answers
from persimmonhinge.platform import item_policy
from persimmonhinge.platform import watch as watches
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
# Memory that an item takes beside its value: its key and the objects.
_ITEM_OCTETS = 500
_READ_PAGE_STEP = "read answer of store /kv-range"
_PLAIN = frozenset(
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_./-"
)


class StoreReader:
    """Implements `port.PlatformReader`; each method is a call or some.

    Calls share some connections, and each watch has one of its own. Close it,
    or use it in `async with`.
    """

    def __init__(
        self,
        settings: port.StoreSettings,
        make_transport: Callable[[str, int], transports.Transport],
        policy: item_policy.ItemPolicy | None = None,
        max_read_s: float = math.inf,
    ) -> None:
        """Makes a client without connections.

        Args:
            settings: How the store is reached.
            make_transport: Makes a connection to an address and a port.
            policy: Which items of pages and watches are kept; None to keep
                all, and to refuse an answer with an unreadable one.
            max_read_s: Time after which a read of many pages asks for no more
                of them, seconds.
        """
        self._settings = settings
        self._policy = policy or item_policy.StrictPolicy()
        self._max_read_s = max_read_s
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
        return decode_answer(response.body, answers.read_item, target)

    async def get_prefix(
        self, prefix: str, limit: int = 0, after: str = ""
    ) -> port.PrefixState:
        """See `port.Platform`.

        The pages of a long prefix are no snapshot: the revision is that of
        the first page, so that a watch from there on misses no change.

        Raises:
            UnreadableAnswerError: A page can't be read, or the items are more,
                or take more memory, than the policy allows.
            PlatformUnavailableError: The read takes too long.
        """
        values: list[port.KeyValue] = []
        ends_at = time.monotonic() + self._max_read_s
        pages = listed = kept_octets = 0
        revision = 0
        has_more = True
        while has_more and (limit == 0 or len(values) < limit):
            page = await self._get_page(prefix, after)
            revision = revision or page.revision
            values.extend(page.items)
            pages += 1
            listed += page.listed
            kept_octets += sum(_ITEM_OCTETS + len(i.value) for i in page.items)
            self._check_read(pages, listed, kept_octets)
            has_more = page.has_more
            after = page.last_key or after
            if has_more and time.monotonic() >= ends_at:
                raise errors.PlatformUnavailableError(
                    f"took more than {self._max_read_s} s for {pages} pages",
                    step=_READ_PAGE_STEP,
                )
        return port.PrefixState(revision, tuple(values[: limit or None]))

    def _check_read(self, pages: int, items: int, octets: int) -> None:
        policy = self._policy
        for number, most, unit in (
            (pages, policy.max_read_pages, "pages"),
            (items, policy.max_read_items, "items"),
            (octets, policy.max_read_octets, "octets"),
        ):
            if number > most:
                raise errors.UnreadableAnswerError(
                    f"take more than {most} {unit}",
                    step=_READ_PAGE_STEP,
                    field="items",
                )

    async def _get_page(self, prefix: str, after: str) -> answers.Page:
        """Returns the page of the keys behind one.

        Guards against a read that never ends, and against a part of the keys
        that is taken for all of them: each page but the last one must go on.

        Raises:
            UnreadableAnswerError: It can't be read, or does not go on.
        """
        parameters = {"Prefix": prefix}
        if after:
            parameters["after"] = after
        target = _make_target("/kv-range", **parameters)
        response = await self._call("GET", target, b"", {OK})
        page = decode_answer(response.body, self._read_page, target)
        if page.has_more and (page.last_key or "") <= after:
            raise errors.UnreadableAnswerError(
                f"is true, but no key is behind {after!r}",
                step=_READ_PAGE_STEP,
                field="HasMore",
            )
        return page

    def _read_page(self, document: dict[str, Any]) -> answers.Page:
        return answers.read_page(document, self._policy)

    def _read_news(self, document: dict[str, Any]) -> answers.News:
        return answers.read_news(document, self._policy)

    def watch(self, prefix: str, start_revision: int) -> watches.Watch:
        """See `port.PlatformReader`."""
        connection = self._pool.connect()
        events = self._poll(connection, prefix, start_revision - 1)
        return watches.Watch(connection, events)

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
            response = await self._call_watch(connection, target)
            _check(response, target, {OK})
            answer = decode_answer(response.body, self._read_news, target)
            if answer.revision < after:
                # A watch of a revision that is not reached tells no change.
                raise errors.UnreadableAnswerError(
                    f"is {answer.revision}, below {after}",
                    step="read answer of store /kv-watch",
                    field="CurrentRev",
                )
            after = answer.revision
            yield answer.events

    async def _call_watch(
        self, connection: http.HttpConnection, target: str
    ) -> response_reader.Response:
        """Waits for the next changes.

        Guards against a call after a watch that has gone silent, on an idle
        connection that is as silent: what lost track of one connection has
        lost track of all that were open then.
        """
        limit_s = self._settings.watch_wait_s + _WATCH_SLACK_S
        try:
            return await connection.call("GET", target, b"", limit_s)
        except errors.PlatformUnavailableError:
            self._pool.close()
            raise

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
    # Keys that need it are rare, and the import takes processor time that a
    # host would spend before it serves.
    import urllib.parse

    try:
        return urllib.parse.quote(text, safe="")
    except UnicodeEncodeError as error:
        raise errors.PlatformError(
            f"{text!r:.80} can't be encoded", step="call store"
        ) from error


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
        UnreadableAnswerError: It can't be read.
    """
    try:
        return read(json_reader.decode_object(body))
    except ValueError as error:
        step = f"read answer of store {target.partition('?')[0]}"
        raise answers.make_error(error, step) from error
