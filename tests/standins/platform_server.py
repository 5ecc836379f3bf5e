"""The HTTP side of the platform's stand-in."""

from __future__ import annotations

import json
from typing import Any

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
        if self._faults.down:
            raise ConnectionDropped
        if self._faults.delay_s:
            await trio.sleep(self._faults.delay_s)
        if exchange.path == "/v3/watch":
            await self._serve_watch(exchange)
            return
        try:
            answer = self._run(exchange.path, exchange.body)
        except platform_gateway.GatewayError as error:
            text = {"error": str(error), "message": str(error)}
            await exchange.send_answer(error.status, text)
            return
        await exchange.send_answer(200, answer)

    def _run(self, path: str, body: Body) -> Body:
        faults = self._faults
        if path != "/v3/kv/txn":
            return self._gateway.answer(path, body)
        if faults.drop_writes > 0:
            faults.drop_writes -= 1
            raise ConnectionDropped
        if faults.late_writes > 0:
            faults.late_writes -= 1
            self._nursery.start_soon(self._run_late, path, body)
            raise ConnectionDropped
        answer = self._gateway.answer(path, body)
        if faults.down_after_write and answer.get("succeeded"):
            faults.down_after_write = False
            faults.down = True
            raise ConnectionDropped
        if faults.drop_answers > 0 and answer.get("succeeded"):
            faults.drop_answers -= 1
            raise ConnectionDropped
        return answer

    async def _run_late(self, path: str, body: Body) -> None:
        await trio.sleep(self._faults.late_s)
        self._gateway.answer(path, body)

    def _command(self, exchange: Exchange) -> Body:
        gateway = self._gateway
        match exchange.path:
            case "/standin/counts":
                return dict(gateway.counts)
            case "/standin/snapshot":
                gateway.store.take_copy()
            case "/standin/restore":
                gateway.store.restore()
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

    async def _serve_watch(self, exchange: Exchange) -> None:
        number = self._next_watch
        self._next_watch += 1
        create = exchange.body["create_request"]
        store = self._gateway.store
        start = int(create.get("start_revision", 0)) or store.revision + 1
        await exchange.send_head()
        await self._send_frame(exchange, {"created": True})
        if start <= store.compacted:
            compacted = str(store.compacted)
            await self._send_frame(
                exchange, {"canceled": True, "compact_revision": compacted}
            )
            await exchange.end()
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._send_events, exchange, create, start, number
            )
            await exchange.wait_closed()
            nursery.cancel_scope.cancel()
        raise ConnectionDropped

    async def _send_events(
        self, exchange: Exchange, create: Body, start: int, number: int
    ) -> None:
        store = self._gateway.store
        epoch = store.epoch
        while store.epoch == epoch and not self._faults.down:
            version = store.changed.version
            if number < self._faults.silent_from:
                await trio.sleep_forever()
            events = [
                event
                for event in store.events_from(start)
                if _is_watched(create, event)
            ]
            start = store.revision + 1
            if events:
                encoded = [platform_gateway.encode_event(e) for e in events]
                await self._send_frame(exchange, {"events": encoded})
            await self._wait_for_news(version)
        await trio.aclose_forcefully(exchange.stream)

    async def _wait_for_news(self, version: int) -> None:
        """Waits for a change of the store or of the faults."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _wait_store, self._gateway.store, version, nursery
            )
            await self._fault_changed.wait()
            nursery.cancel_scope.cancel()

    async def _send_frame(self, exchange: Exchange, result: Body) -> None:
        result = {"header": self._gateway.head(), **result}
        await exchange.send_line({"result": result})

    async def expire_leases(self) -> None:
        """Deletes keys of lapsed leases as they lapse."""
        while True:
            await trio.sleep(0.05)
            self._gateway.leases.expire()


async def _wait_store(
    store: platform_store.Store, version: int, nursery: trio.Nursery
) -> None:
    await store.changed.wait_beyond(version)
    nursery.cancel_scope.cancel()


def _is_watched(create: Body, event: platform_store.Event) -> bool:
    key = platform_gateway.decode(create["key"])
    end = platform_gateway.decode(create.get("range_end", ""))
    return platform_store.covers(key, end, event.key)


class Exchange:
    """Requests and answers on one connection, one after the other.

    Attributes:
        stream: The connection.
        path: Path of the request.
        body: Its JSON body; empty if there is none.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.path = ""
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
                self.path = event.target.decode().partition("?")[0]
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.body = json.loads(body) if body else {}
                return True
            else:
                return False

    async def send_answer(self, status: int, body: Body) -> None:
        """Sends a whole answer."""
        content = json.dumps(body).encode() + b"\n"
        headers = [
            ("content-type", "application/json"),
            ("content-length", str(len(content))),
        ]
        await self._send(h11.Response(status_code=status, headers=headers))
        await self._send(h11.Data(data=content))
        await self._send(h11.EndOfMessage())

    async def send_head(self) -> None:
        """Begins an answer that is a stream."""
        headers = [
            ("content-type", "application/json"),
            ("transfer-encoding", "chunked"),
        ]
        await self._send(h11.Response(status_code=200, headers=headers))

    async def send_line(self, body: Body) -> None:
        """Sends a line of a stream."""
        await self._send(h11.Data(data=json.dumps(body).encode() + b"\n"))

    async def end(self) -> None:
        """Ends a stream."""
        await self._send(h11.EndOfMessage())

    async def wait_closed(self) -> None:
        """Waits until the other side closes."""
        while await self.stream.receive_some(_CHUNK_OCTETS):
            pass

    def next_cycle(self) -> bool:
        """Gets ready for the next request; False if there will be none."""
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def _send(self, event: h11.Event) -> None:
        data = self._http.send(event)
        if data:
            await self.stream.send_all(data)
