"""The HTTP side of the platform's stand-in."""

from __future__ import annotations

import contextlib
import datetime
import json
from typing import Any
import urllib.parse

import h11
import msgspec
import trio

from tests.standins import platform_faults
from tests.standins import platform_gateway
from tests.standins import platform_store

_CHUNK_OCTETS = 65_536
Body = dict[str, Any]


class ConnectionDropped(Exception):  # noqa: N818
    """The connection is to close without an answer."""


class Server:
    """Serves the gateway's calls and the tests' own commands."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._gateway = platform_gateway.Gateway()
        self._faults = platform_faults.Faults()
        self._fault_changed = trio.Event()
        self._next_watch = 1

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one connection until it ends."""
        exchange = Exchange(stream)
        try:
            while await exchange.read_request():
                await self._answer(exchange)
                if not exchange.next_cycle():
                    break
        except* (
            ConnectionDropped,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.ProtocolError,
        ):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _answer(self, exchange: Exchange) -> None:
        if exchange.path.startswith("/standin/"):
            await exchange.send_answer(200, self._command(exchange))
            return
        self._gateway.count(exchange.path)
        _log_call(exchange, "down" if self._faults.down else "up")
        if self._faults.down:
            raise ConnectionDropped
        if self._faults.delay_s:
            await trio.sleep(self._faults.delay_s)
        if self._faults.refuse_status:
            refusal = {"Error": "refused by a test"}
            await exchange.send_answer(self._faults.refuse_status, refusal)
            return
        if self._faults.body and exchange.method == "GET":
            content = self._faults.body.encode("latin-1")
            await exchange.send_octets(200, content)
            return
        try:
            if exchange.path == "/kv-watch":
                answer = await self._wait_for_events(exchange)
            else:
                answer = self._run(exchange)
        except platform_gateway.GatewayError as error:
            body = {"Error": str(error), **error.body}
            await exchange.send_answer(error.status, body)
            return
        await exchange.send_answer(200, answer)

    def _run(self, exchange: Exchange) -> Body:
        faults = self._faults
        if exchange.path != "/kv-txn":
            return self._run_now(exchange)
        if faults.drop_writes > 0:
            faults.drop_writes -= 1
            raise ConnectionDropped
        if faults.late_writes > 0:
            faults.late_writes -= 1
            self._nursery.start_soon(self._run_late, exchange)
            raise ConnectionDropped
        answer = self._run_now(exchange)
        if faults.down_after_write:
            faults.down_after_write = False
            faults.down = True
            raise ConnectionDropped
        if faults.drop_answers > 0:
            faults.drop_answers -= 1
            raise ConnectionDropped
        return answer

    def _run_now(self, exchange: Exchange) -> Body:
        call = f"{exchange.method} {exchange.path}"
        return self._gateway.answer(call, exchange.query, exchange.body)

    async def _run_late(self, exchange: Exchange) -> None:
        call = f"{exchange.method} {exchange.path}"
        query, body = exchange.query, exchange.body
        await trio.sleep(self._faults.late_s)
        with contextlib.suppress(platform_gateway.GatewayError):
            self._gateway.answer(call, query, body)

    def _command(self, exchange: Exchange) -> Body:
        gateway = self._gateway
        match exchange.path:
            case "/standin/counts":
                return dict(gateway.counts)
            case "/standin/snapshot":
                gateway.store.take_copy()
            case "/standin/restore":
                gateway.store.restore()
            case "/standin/put":
                self._put_as_operator(exchange.body)
            case "/standin/compact":
                gateway.store.compact(exchange.body["revision"])
            case "/standin/faults":
                request = msgspec.convert(
                    exchange.body, platform_faults.FaultsRequest
                )
                platform_faults.apply_request(
                    self._faults, request, self._next_watch
                )
                self._fault_changed.set()
                self._fault_changed = trio.Event()
        return {"revision": gateway.store.revision}

    def _put_as_operator(self, body: Body) -> None:
        """Writes or deletes a key that the system itself may not write."""
        store = self._gateway.store
        revision = store.begin()
        key = body["key"].encode()
        if body["value"] is None:
            store.delete(revision, key)
        else:
            store.put(revision, key, body["value"].encode(), 0)
        store.end()

    async def _wait_for_events(self, exchange: Exchange) -> Body:
        """Answers a watch once there is a change or its time is over.

        Raises:
            GatewayError: Its history is gone.
            ConnectionDropped: The store went down or back meanwhile.
        """
        number = self._next_watch
        self._next_watch += 1
        store = self._gateway.store
        epoch = store.epoch
        prefix = exchange.query["Prefix"]
        after = int(exchange.query["after"])
        end = trio.current_time() + int(exchange.query["WaitMs"]) / 1000
        while True:
            version = store.changed.version
            if number < self._faults.silent_from:
                await trio.sleep_forever()
            if store.epoch != epoch or self._faults.down:
                raise ConnectionDropped
            events = self._gateway.select_events(prefix, after)
            if events or trio.current_time() >= end:
                encoded = [platform_gateway.encode_event(e) for e in events]
                return {"events": encoded, "CurrentRev": store.revision}
            with trio.move_on_at(end):
                await self._wait_for_news(version)

    async def _wait_for_news(self, version: int) -> None:
        """Waits for a change of the store or of the faults."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _wait_store, self._gateway.store, version, nursery
            )
            await self._fault_changed.wait()
            nursery.cancel_scope.cancel()

    async def expire_leases(self) -> None:
        """Deletes keys of lapsed leases as they lapse."""
        while True:
            await trio.sleep(0.05)
            self._gateway.leases.expire()


def _log_call(exchange: Exchange, state: str) -> None:
    """Writes who called what and when, for tests that count calls."""
    now = datetime.datetime.now(datetime.UTC).time().isoformat("milliseconds")
    peer = exchange.stream.socket.getpeername()[1]
    query = urllib.parse.urlencode(exchange.query, safe="/")
    print(now, state, peer, exchange.method, exchange.path, query, flush=True)


async def _wait_store(
    store: platform_store.Store, version: int, nursery: trio.Nursery
) -> None:
    await store.changed.wait_beyond(version)
    nursery.cancel_scope.cancel()


class Exchange:
    """Requests and answers on one connection, one after the other.

    Attributes:
        stream: The connection.
        method: Method of the request.
        path: Its path, without the query.
        query: Parameters of the query.
        body: Its JSON body; empty if there is none.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.method = ""
        self.path = ""
        self.query: dict[str, str] = {}
        self.body: Body = {}
        self._http = h11.Connection(h11.SERVER)

    async def read_request(self) -> bool:
        """Reads a request; False if the other side has closed."""
        body = b""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await self.stream.receive_some(_CHUNK_OCTETS)
                self._http.receive_data(data)
            elif isinstance(event, h11.Request):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.body = json.loads(body) if body else {}
                return True
            else:
                return False

    async def send_answer(self, status: int, body: Body) -> None:
        """Sends a whole answer."""
        await self.send_octets(status, json.dumps(body).encode() + b"\n")

    async def send_octets(self, status: int, content: bytes) -> None:
        """Sends a whole answer with a body that need not be JSON."""
        headers = [
            ("content-type", "application/json"),
            ("content-length", str(len(content))),
        ]
        await self._send(h11.Response(status_code=status, headers=headers))
        await self._send(h11.Data(data=content))
        await self._send(h11.EndOfMessage())

    def next_cycle(self) -> bool:
        """Gets ready for the next request; False if there will be none."""
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    def _take_head(self, request: h11.Request) -> None:
        url = urllib.parse.urlsplit(request.target.decode())
        self.method = request.method.decode()
        self.path = url.path
        pairs = urllib.parse.parse_qsl(url.query, keep_blank_values=True)
        self.query = dict(pairs)

    async def _send(self, event: h11.Event) -> None:
        data = self._http.send(event)
        if data:
            await self.stream.send_all(data)
