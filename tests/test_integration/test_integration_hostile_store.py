"""A host whose store answers nonsense first lives on and gets ready."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator
import contextlib
import json
from typing import Any

import trio

from tests.standins import forwarding_deployment as deployments
from tests.support import trios

_LIMIT_S = 60.0
_REVISION = 7
_STATE = {
    "Version": 1,
    "Routes": [
        {
            "Name": "r",
            "Host": deployments.ADDRESS,
            "Prefix": f"/{deployments.PORT}/",
            "Kind": "idempotent",
            "Service": deployments.SERVICE,
        }
    ],
}
_UPSTREAM = {
    "Service": deployments.SERVICE,
    "Addr": "127.0.0.1:9",
    "Zone": "north",
    "Version": "v1",
    "Slots": 2,
    "State": "ready",
    "ColdLeftMs": 0,
    "Seq": 1,
}


def _make_item(key: str, value: object) -> dict[str, Any]:
    text = base64.b64encode(json.dumps(value).encode()).decode()
    return {"Key": key, "Value": text, "Revision": 3}


_ITEMS = [
    _make_item("op/config", _STATE),
    _make_item("servers/i-1", _UPSTREAM),
]
# Items that stay in the store, also while it answers well.
_DAMAGED_ITEMS = [
    5,
    {"Key": "\ud800", "Value": "", "Revision": 3},
    {"Key": "servers/i-2", "Value": "no base64", "Revision": 3},
    {"Key": "servers/i-3", "Value": "e30=", "Revision": 1 << 70},
    {"Key": "servers/i-4", "Value": "A" * 100_000, "Revision": 3},
]


def _encode_answer(body: bytes, status: str = "200 OK") -> bytes:
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def _encode(document: object) -> bytes:
    return _encode_answer(json.dumps(document).encode())


_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Answers to any call; an empty one closes the connection.
_HOSTILE = (
    b"",
    b"\x00\xff\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * 50_000,
    b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5_000 + b"\r\n\r\n",
    _CHUNKED + b"f" * 50_000,
    _CHUNKED + b"1\r\na\r\n" * 50_000 + b"0\r\n\r\n",
    *(_encode_answer(b"{}", f"{status} X") for status in (100, 302, 410, 999)),
    _encode_answer(b'{"items":' + b"[" * 100_000),
    _encode_answer(b"\xff"),
    _encode({"items": {}, "events": {}, "CurrentRev": 1}),
    _encode({"items": [], "events": [], "CurrentRev": 1 << 70}),
    _encode({"items": [], "CurrentRev": 1, "HasMore": True}),
    _encode({"items": [{"Key": "\ud800"}], "CurrentRev": 1, "HasMore": True}),
)


class HostileStore:
    """A store that answers nonsense to its first calls of each kind.

    Attributes:
        url: Its address.
        hostile: Number of hostile answers so far, by the kind of the call.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.url = f"http://{address[0]}:{address[1]}"
        self.hostile = {"/kv-range": 0, "/kv-watch": 0}

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answers the calls of a connection."""
        with contextlib.suppress(trio.BrokenResourceError):
            while request := await stream.receive_some():
                path = request.split(b" ")[1].partition(b"?")[0].decode()
                answer = await self._answer(path)
                if not answer:
                    break
                await stream.send_all(answer)
        await trio.aclose_forcefully(stream)

    async def _answer(self, path: str) -> bytes:
        number = self.hostile[path]
        if number < len(_HOSTILE):
            self.hostile[path] += 1
            return _HOSTILE[number]
        if path == "/kv-watch":
            await trio.sleep(1.0)
            return _encode({"events": _DAMAGED_ITEMS, "CurrentRev": _REVISION})
        items = [*_DAMAGED_ITEMS, *_ITEMS]
        return _encode(
            {"items": items, "CurrentRev": _REVISION, "HasMore": False}
        )


@contextlib.asynccontextmanager
async def run_store() -> AsyncIterator[HostileStore]:
    """Runs a hostile store at a port of the kernel's choice."""
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        store = HostileStore(listener.socket.getsockname())
        nursery.start_soon(trio.serve_listeners, store.serve, [listener])
        yield store
        nursery.cancel_scope.cancel()


@trios.trio_test
async def test_host_outlives_all_that_its_store_answers() -> None:
    """Guards against a host that ends, or never gets ready, by an answer."""
    with trio.fail_after(_LIMIT_S):
        async with (
            run_store() as store,
            deployments.run_deployment(1) as deployment,
        ):
            (host,) = deployment.hosts
            address = store.url.removeprefix("http://")
            host.change_settings(store={"address": address})
            await host.start()
            assert host.process is not None
            while not await deployment.is_ready(host):
                assert host.process.poll() is None, host.read_log()
                await trio.sleep(0.05)
            while store.hostile["/kv-watch"] < len(_HOSTILE):
                assert host.process.poll() is None, host.read_log()
                await trio.sleep(0.05)
            assert await deployment.is_ready(host)
            lines = host.read_log()
            assert await host.stop() == 0
    events = {line["event"] for line in lines}
    assert "Refused an input." in events
    assert "Failed to handle an input." not in events
