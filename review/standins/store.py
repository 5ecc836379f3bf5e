"""The platform's metadata store: the reading calls, over HTTP/1.1."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
from typing import Any
import urllib.parse

_MOST_ITEMS = 500


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of one key; `value` is None if the key was deleted."""

    key: str
    value: bytes | None
    revision: int

    def encode(self) -> dict[str, Any]:
        """Returns the item or the deletion as the store tells it."""
        if self.value is None:
            return {
                "Key": self.key,
                "Revision": self.revision,
                "Tombstone": True,
            }
        return {
            "Key": self.key,
            "Value": base64.b64encode(self.value).decode(),
            "Revision": self.revision,
            "Created": self.revision,
            "Lease": 0,
        }


class Store:
    """Keeps keys and their history, and answers reads and watches.

    The whole history is kept, so no watch is answered with 410.
    """

    def __init__(self) -> None:
        self.revision = 100
        self._items: dict[str, Change] = {}
        self._history: list[Change] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> int:
        """Starts to serve at a free port, which is returned."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def stop(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    def get(self, key: str) -> bytes | None:
        """Returns the value of a key."""
        change = self._items.get(key)
        return change.value if change is not None else None

    def put(self, key: str, value: bytes | None) -> int:
        """Writes or deletes a key; returns the revision."""
        self.revision += 1
        change = Change(key, value, self.revision)
        self._history.append(change)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = change
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (target := await _read_request(reader)) is not None:
                status, body = await self._answer(target)
                await _send_answer(writer, status, body)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The host has ended, or the run is over.
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict[str, Any]]:
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        match url.path:
            case "/kv-range":
                return 200, self._list_range(query)
            case "/kv-watch":
                return 200, await self._watch(query)
            case "/kv-key":
                item = self._items.get(query["Key"])
                if item is not None:
                    return 200, self._with_revision(item.encode())
        return 404, self._with_revision({})

    def _list_range(self, query: dict[str, str]) -> dict[str, Any]:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query["Prefix"]) and key > after
        )
        items = [self._items[key].encode() for key in keys[:_MOST_ITEMS]]
        return self._with_revision(
            {"items": items, "HasMore": len(keys) > _MOST_ITEMS}
        )

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query["after"])
        ends_at = asyncio.get_running_loop().time()
        ends_at += int(query["WaitMs"]) / 1000
        while True:
            events = [
                change.encode()
                for change in self._history
                if change.revision > after
                and change.key.startswith(query["Prefix"])
            ]
            left_s = ends_at - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return self._with_revision({"events": events})
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _with_revision(self, body: dict[str, Any]) -> dict[str, Any]:
        return {**body, "CurrentRev": self.revision}


async def _read_request(reader: asyncio.StreamReader) -> str | None:
    """Returns the target of the next request; None at the end."""
    first = await reader.readline()
    if not first:
        return None
    length = 0
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            length = int(value)
    await reader.readexactly(length)
    return first.split()[1].decode()


async def _send_answer(
    writer: asyncio.StreamWriter, status: int, body: dict[str, Any]
) -> None:
    content = json.dumps(body).encode()
    head = (
        f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(content)}\r\n\r\n"
    )
    writer.write(head.encode() + content)
    await writer.drain()
