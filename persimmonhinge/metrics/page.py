"""A small HTTP server for metrics, health and status.

aioprometheus brings a server of its own for asyncio; this system runs on
trio, so only its registry and its renderer are used, and h11 speaks HTTP.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import logging
import urllib.parse

import h11
import trio

from persimmonhinge import registry

logger = logging.getLogger(__name__)

_RECEIVE_OCTETS = 4096
_REQUEST_LIMIT_S = 10.0
JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"


@dataclasses.dataclass(frozen=True, slots=True)
class PageRequest:
    """A request for a page.

    Attributes:
        path: Path without the query.
        query: First value of each parameter of the query.
        accept: The Accept header.
    """

    path: str
    query: dict[str, str]
    accept: str


@dataclasses.dataclass(frozen=True, slots=True)
class PageAnswer:
    """What a page returns.

    Attributes:
        body: The body.
        content_type: Its type.
        status: HTTP status code.
    """

    body: bytes
    content_type: str = TEXT_TYPE
    status: int = 200


def make_json(document: object, status: int = 200) -> PageAnswer:
    """Returns a JSON answer."""
    return PageAnswer(json.dumps(document).encode(), JSON_TYPE, status)


Page = Callable[[PageRequest], Awaitable[PageAnswer]]


class PageServer:
    """Serves pages over HTTP, one request for each connection.

    Attributes:
        pages: The pages by path.
    """

    def __init__(self, address: str, port: int) -> None:
        """Makes a server without pages.

        Args:
            address: IP address to listen on.
            port: TCP port; 0 lets the kernel choose.
        """
        self._address = address
        self._port = port
        self.pages: registry.Registry[Page] = registry.Registry("page")

    async def run(self, task_status: trio.TaskStatus[int]) -> None:
        """Serves; starts with the port that it listens on."""
        listeners = await trio.open_tcp_listeners(
            self._port, host=self._address
        )
        port = listeners[0].socket.getsockname()[1]
        logger.info("Serves pages on %s:%d.", self._address, port)
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_listeners, self._serve, listeners)
            task_status.started(port)

    async def _serve(self, stream: trio.SocketStream) -> None:
        with trio.move_on_after(_REQUEST_LIMIT_S):
            try:
                await self._answer_one(stream)
            except (trio.BrokenResourceError, h11.ProtocolError) as error:
                logger.debug("A page connection failed: %s.", error)
        await trio.aclose_forcefully(stream)

    async def _answer_one(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        request = await _receive_request(stream, connection)
        if request is None:
            return
        answer = await self._make_answer(request)
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
            ("Connection", "close"),
        ]
        head = h11.Response(status_code=answer.status, headers=headers)
        octets = connection.send(head) or b""
        octets += connection.send(h11.Data(data=answer.body)) or b""
        octets += connection.send(h11.EndOfMessage()) or b""
        await stream.send_all(octets)

    async def _make_answer(self, request: PageRequest) -> PageAnswer:
        try:
            page = self.pages.get(request.path)
        except KeyError as error:
            return PageAnswer(str(error).encode(), status=404)
        try:
            return await page(request)
        except Exception as error:  # A page must not end the host.
            logger.exception("Page %s failed.", request.path)
            return PageAnswer(repr(error).encode(), status=500)


async def _receive_request(
    stream: trio.SocketStream, connection: h11.Connection
) -> PageRequest | None:
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(_RECEIVE_OCTETS))
            continue
        if isinstance(event, h11.Request):
            return _read_request(event)
        return None


def _read_request(event: h11.Request) -> PageRequest:
    url = urllib.parse.urlsplit(event.target.decode("ascii", "replace"))
    query = dict(urllib.parse.parse_qsl(url.query))
    headers = {key.lower(): value for key, value in event.headers}
    accept = headers.get(b"accept", b"").decode("latin-1")
    return PageRequest(url.path, query, accept)
