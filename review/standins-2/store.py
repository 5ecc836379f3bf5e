"""A stand-in for the platform's store.

It answers the calls that hosts make, `GET /kv-key`, `/kv-range` and
`/kv-watch`, as PROTOCOL says. Targets check in with `POST /check-in/ID`, which
is this stand-in's own, as the pages do not say how targets reach the store.
An entry changes if more than `Seq` changes, and is removed after three
intervals of silence.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
import contextlib
import http.server
import json
import threading
import time
from typing import Any
import urllib.parse

_PAGE_ITEMS = 500
_PAGE_OCTETS = 1_000_000
_CHECK_S = 0.05
Answer = tuple[int, dict[str, Any]]


class Store:
    """The items and their history.

    Attributes:
        note: Writes a line of the record.
    """

    def __init__(
        self, address: str, beat_s: float, note: Callable[[str], None]
    ) -> None:
        """Starts the store at a free port of an address.

        Args:
            address: A loopback address.
            beat_s: Interval at which targets check in, seconds.
            note: Writes a line of the record.
        """
        self.note = note
        self._beat_s = beat_s
        self._changed = threading.Condition()
        self._revision = 100
        self._items: dict[str, tuple[bytes, int, int]] = {}
        self._events: list[tuple[int, str, bytes | None, int]] = []
        self._seen_at: dict[str, float] = {}
        self._server = _QuietServer((address, 0), self._make_handler())
        port = self._server.server_address[1]
        self.address = f"{address}:{port}"
        for work in (self._server.serve_forever, self._expire):
            threading.Thread(target=work, daemon=True).start()

    def put(self, key: str, document: dict[str, Any]) -> int:
        """Writes an item, as the operator or a target; returns the revision."""
        value = json.dumps(document).encode()
        with self._changed:
            self._revision += 1
            made = self._items[key][2] if key in self._items else self._revision
            self._items[key] = (value, self._revision, made)
            self._events.append((self._revision, key, value, made))
            self._changed.notify_all()
            self.note(f"store revision {self._revision}: {key} = {document}")
            return self._revision

    def delete(self, key: str) -> int:
        """Deletes an item; returns the revision."""
        with self._changed:
            self._revision += 1
            del self._items[key]
            self._events.append((self._revision, key, None, 0))
            self._changed.notify_all()
            self.note(f"store revision {self._revision}: {key} deleted")
            return self._revision

    def check_in(self, target: str, entry: dict[str, Any] | None) -> int:
        """Takes what a target says of itself; None if it leaves."""
        key = f"servers/{target}"
        with self._changed:
            if entry is None:
                self._seen_at.pop(key, None)
                return self.delete(key) if key in self._items else 0
            self._seen_at[key] = time.monotonic()
            if key in self._items:
                former = json.loads(self._items[key][0])
                if {**former, "Seq": 0} == {**entry, "Seq": 0}:
                    return self._items[key][1]
            return self.put(key, entry)

    def _expire(self) -> None:
        while True:
            time.sleep(_CHECK_S)
            with self._changed:
                limit = time.monotonic() - 3 * self._beat_s
                for key, seen_at in list(self._seen_at.items()):
                    if seen_at < limit:
                        del self._seen_at[key]
                        self.delete(key)

    def answer_get(self, path: str, query: dict[str, str]) -> Answer:
        """Answers a reading call."""
        if path == "/kv-key":
            return self._answer_key(query["Key"])
        if path == "/kv-range":
            return self._answer_range(
                query.get("Prefix", ""), query.get("after", "")
            )
        if path == "/kv-watch":
            return self._answer_watch(
                query.get("Prefix", ""),
                int(query["after"]),
                int(query["WaitMs"]) / 1000,
            )
        return 404, {"Error": "no such call"}

    def _answer_key(self, key: str) -> Answer:
        with self._changed:
            if key not in self._items:
                return 404, {"CurrentRev": self._revision}
            item = _encode(key, *self._items[key])
            return 200, {**item, "CurrentRev": self._revision}

    def _answer_range(self, prefix: str, after: str) -> Answer:
        with self._changed:
            keys = sorted(
                k for k in self._items if k.startswith(prefix) and k > after
            )
            listed: list[dict[str, Any]] = []
            octets = 0
            for key in keys:
                item = _encode(key, *self._items[key])
                octets += len(item["Value"])
                if listed and (
                    len(listed) == _PAGE_ITEMS or octets > _PAGE_OCTETS
                ):
                    break
                listed.append(item)
            return 200, {
                "items": listed,
                "HasMore": len(listed) < len(keys),
                "CurrentRev": self._revision,
            }

    def _answer_watch(self, prefix: str, after: int, wait_s: float) -> Answer:
        ends_at = time.monotonic() + wait_s
        with self._changed:
            while True:
                found = [
                    e
                    for e in self._events
                    if e[0] > after and e[1].startswith(prefix)
                ]
                rest_s = ends_at - time.monotonic()
                if found or rest_s <= 0:
                    break
                self._changed.wait(rest_s)
            events = [
                {"Key": key, "Revision": revision, "Tombstone": True}
                if value is None
                else _encode(key, value, revision, made)
                for revision, key, value, made in found
            ]
            return 200, {"events": events, "CurrentRev": self._revision}

    def _make_handler(self) -> type[http.server.BaseHTTPRequestHandler]:
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Answers one connection."""

            protocol_version = "HTTP/1.1"

            def log_message(self, *_: Any) -> None:
                """Writes nothing."""

            def do_GET(self) -> None:  # noqa: N802
                """Answers a reading call."""
                url = urllib.parse.urlsplit(self.path)
                query = dict(
                    urllib.parse.parse_qsl(url.query, keep_blank_values=True)
                )
                self._send(*store.answer_get(url.path, query))

            def do_POST(self) -> None:  # noqa: N802
                """Takes the check-in of a target."""
                length = int(self.headers["Content-Length"])
                entry = json.loads(self.rfile.read(length))
                target = self.path.rpartition("/")[2]
                revision = store.check_in(target, entry)
                self._send(200, {"Revision": revision})

            def _send(self, status: int, document: dict[str, Any]) -> None:
                body = json.dumps(document).encode()
                head = (
                    f"HTTP/1.1 {status} -\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                with contextlib.suppress(OSError):
                    self.wfile.write(head.encode() + body)

        return Handler


class _QuietServer(http.server.ThreadingHTTPServer):
    """A server that tells nothing of connections that are reset."""

    daemon_threads = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Takes no notice of a host that was killed."""


def _encode(key: str, value: bytes, revision: int, made: int) -> dict[str, Any]:
    return {
        "Key": key,
        "Value": base64.b64encode(value).decode(),
        "Revision": revision,
        "Created": made,
        "Lease": 0,
    }
