"""A small HTTP server for metrics, health and status.

aioprometheus brings a server of its own for asyncio; this system runs on
trio, so only its registry and its renderer are used, and h11 speaks HTTP.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import logging
import urllib.parse

import h11
import trio

from persimmonhinge import errors
from persimmonhinge import registry
from persimmonhinge import tcp_server
from persimmonhinge.metrics import open_connections
from persimmonhinge.metrics import request_record

logger = logging.getLogger(__name__)

# Maximum number of open connections of a server, well below the descriptors
# that a process may have.
MAX_CONNECTIONS = 100
_RECEIVE_OCTETS = 4096
_REQUEST_LIMIT_S = 10.0
# Maximum number of parameters of a query; pages have two at most.
_MAX_PARAMETERS = 100
_BAD_REQUEST = 400
_READ_STEP = "read page request"
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

    def __init__(
        self,
        address: str,
        port: int,
        requests: request_record.RequestRecord | None = None,
    ) -> None:
        """Makes a server without pages.

        Args:
            address: IP address to listen on.
            port: TCP port; 0 lets the kernel choose.
            requests: Receives the requests that can't be served; None to log
                them only.
        """
        self._address = address
        self._port = port
        self._requests = requests or request_record.LoggedRequests()
        self._connections = open_connections.OpenConnections(
            MAX_CONNECTIONS, _REQUEST_LIMIT_S
        )
        self.pages: registry.Registry[Page] = registry.Registry("page")

    async def run(self, task_status: trio.TaskStatus[int]) -> None:
        """Serves; starts with the port that it listens on."""
        listeners = await trio.open_tcp_listeners(
            self._port, host=self._address
        )
        port = listeners[0].socket.getsockname()[1]
        logger.info("Serves pages on %s:%d.", self._address, port)
        task_status.started(port)
        await tcp_server.serve_connections(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        peer = _get_peer(stream)
        try:
            with self._connections.open() as scope:
                await self._answer_one(stream, peer)
            if scope.cancelled_caught:
                raise errors.MalformedRequestError(
                    "not complete in time, or closed for newer connections",
                    step=_READ_STEP,
                    peer=peer,
                )
        except trio.BrokenResourceError as error:
            logger.debug("A page connection failed: %s.", error)
        except errors.MalformedRequestError as error:
            self._requests.record_refusal(peer, error)
        except Exception as error:
            self._requests.record_failure(peer, error)
        finally:
            await trio.aclose_forcefully(stream)

    async def _answer_one(self, stream: trio.SocketStream, peer: str) -> None:
        """Reads a request and answers it.

        Raises:
            MalformedRequestError: The request can't be read; it was answered.
            trio.BrokenResourceError: The connection was reset.
        """
        connection = h11.Connection(h11.SERVER)
        try:
            event = await _receive_head(stream, connection)
            if event is None:
                return
            request = _read_request(event)
        except h11.RemoteProtocolError as error:
            await _refuse(stream, str(error), error.error_status_hint)
            raise errors.MalformedRequestError(
                str(error), step=_READ_STEP, peer=peer
            ) from error
        except errors.MalformedRequestError as error:
            await _refuse(stream, str(error), _BAD_REQUEST)
            raise
        answer = await self._make_answer(request, peer)
        has_body = event.method != b"HEAD"
        await stream.send_all(_encode(connection, answer, has_body=has_body))

    async def _make_answer(self, request: PageRequest, peer: str) -> PageAnswer:
        try:
            page = self.pages.get(request.path)
        except KeyError as error:
            return PageAnswer(str(error).encode(), status=404)
        try:
            return await page(request)
        except Exception as error:
            self._requests.record_failure(peer, error)
            return PageAnswer(repr(error).encode(), status=500)


async def _refuse(stream: trio.SocketStream, reason: str, status: int) -> None:
    """Answers a request that can't be read, unless its sender is gone."""
    answer = PageAnswer(f"{reason}\n".encode(), status=status)
    # A new state, as that of the connection allows no further event.
    octets = _encode(h11.Connection(h11.SERVER), answer)
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(octets)


def _encode(
    connection: h11.Connection, answer: PageAnswer, *, has_body: bool = True
) -> bytes:
    """Returns the octets of an answer."""
    headers = [
        ("Content-Type", answer.content_type),
        ("Content-Length", str(len(answer.body))),
        ("Connection", "close"),
    ]
    head = h11.Response(status_code=answer.status, headers=headers)
    octets = connection.send(head) or b""
    if has_body:
        octets += connection.send(h11.Data(data=answer.body)) or b""
    return octets + (connection.send(h11.EndOfMessage()) or b"")


async def _receive_head(
    stream: trio.SocketStream, connection: h11.Connection
) -> h11.Request | None:
    """Returns the head of a request; None if the sender closes before it.

    Raises:
        h11.RemoteProtocolError: It is not HTTP/1.1, or too long.
        trio.BrokenResourceError: The connection was reset.
    """
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(_RECEIVE_OCTETS))
            continue
        return event if isinstance(event, h11.Request) else None


def _read_request(event: h11.Request) -> PageRequest:
    """Reads the head of a request.

    Raises:
        MalformedRequestError: It asks for a tunnel, or for a target that can't
            be read.
    """
    if event.method == b"CONNECT":
        raise errors.MalformedRequestError(
            "asks for a tunnel", step=_READ_STEP, field="method"
        )
    try:
        url = urllib.parse.urlsplit(event.target.decode("ascii", "replace"))
        query = urllib.parse.parse_qsl(
            url.query, max_num_fields=_MAX_PARAMETERS
        )
    except ValueError as error:
        raise errors.MalformedRequestError(
            str(error), step=_READ_STEP, field="target"
        ) from error
    headers = {key.lower(): value for key, value in event.headers}
    accept = headers.get(b"accept", b"").decode("latin-1")
    return PageRequest(url.path, dict(query), accept)


def _get_peer(stream: trio.SocketStream) -> str:
    """Returns the address of the other side; empty if it is gone."""
    try:
        address, port = stream.socket.getpeername()[:2]
    except OSError:
        return ""
    return f"{address}:{port}"
