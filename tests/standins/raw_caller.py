"""A caller that repeats exact octets, and picks the host for each of them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import json
import random

import aiocoap
import trio

from persimmonhinge import errors
from persimmonhinge.coap import codec
from tests.standins import raw_request as requests

Address = tuple[str, int]
_LOOPBACK = "127.0.0.1"
_MAX_DATAGRAM_OCTETS = 65_535
_TOKEN_OCTETS = 4
_POLL_S = 0.02
_REPEAT_S = 0.2
_LIMIT_S = 20.0


class RawCaller:
    """One socket, thus one flow, that talks to hosts without a fabric.

    All hosts see the same address of it, as behind the fabric. It confirms
    what it gets, keeps every answer, and never changes a request: copies
    have the same message id, token, ticket and body. It matches answers as
    RFC 7252 asks: one that rides on an ACK belongs to the request with its
    message id (section 5.3.2), and a message that comes twice counts once
    (section 4.5).

    Attributes:
        address: Its address, as hosts see it.
        ticket: Echo option for the next request; empty for none.
        requests: All requests that it sent, but those for a ticket.
        strays: Answers to nothing that it asked.
    """

    def __init__(
        self, socket: trio.socket.SocketType, source: random.Random
    ) -> None:
        self.address: Address = socket.getsockname()
        self.ticket = b""
        self.requests: list[requests.RawRequest] = []
        self.strays: list[codec.Message] = []
        self._socket = socket
        self._random = source
        self._message_id = source.getrandbits(16)
        self._by_token: dict[bytes, list[requests.RawRequest]] = {}
        self._separate: set[tuple[Address, int]] = set()

    async def run(self) -> None:
        """Takes answers until cancelled."""
        while True:
            try:
                data, host = await self._socket.recvfrom(_MAX_DATAGRAM_OCTETS)
                message = codec.decode(data)
            except (OSError, errors.MalformedDatagramError):
                continue
            if message.mtype is aiocoap.CON:
                await self._confirm(message, host)
            if message.code is not aiocoap.EMPTY:
                request = self._match(message, host)
                if request is not None:
                    request.answers.append(message)

    async def send(self, data: bytes, *hosts: Address) -> None:
        """Sends the same octets to hosts."""
        for host in hosts:
            # A killed host's port is closed, which the kernel reports.
            with contextlib.suppress(OSError):
                await self._socket.sendto(data, host)

    async def fetch_ticket(self, hosts: Sequence[Address]) -> bytes:
        """Asks hosts in turn for a ticket until one comes, and keeps it.

        Raises:
            TooSlowError: None came.
        """
        with trio.fail_after(_LIMIT_S):
            while True:
                request = self.make_request("no-ticket", ticket=b"")
                while not request.answers:
                    await self.send(request.octets, self._random.choice(hosts))
                    await self._wait_more(request)
                echo: bytes | None = request.answers[0].opt.echo
                if echo:
                    self.ticket = echo
                    return echo
                # Not now: another request, as a copy gets the same answer.
                await trio.sleep(_REPEAT_S)

    async def reserve(self, key: str, *hosts: Address) -> requests.RawRequest:
        """Sends a reservation under the ticket; hosts get one copy each."""
        request = self.make_request(key)
        self.requests.append(request)
        await self.send(request.octets, *hosts)
        return request

    async def repeat_until(
        self,
        request: requests.RawRequest,
        hosts: Sequence[Address],
        limit_s: float = _LIMIT_S,
    ) -> bool:
        """Sends copies to hosts at random until there is an answer.

        Returns:
            False if none came.
        """
        with trio.move_on_after(limit_s):
            while not request.answers:
                await self.send(request.octets, self._random.choice(hosts))
                await self._wait_more(request)
            return True
        return False

    def make_request(
        self,
        key: str,
        *,
        ticket: bytes | None = None,
        token: bytes | None = None,
        path: Iterable[str] = ("lots", "1"),
    ) -> requests.RawRequest:
        """Writes a reservation without sending it.

        Args:
            key: Its key in the upstreams' logs.
            ticket: Its Echo option; None for the one that the caller has.
            token: Its token; None for a new one.
            path: Segments of its path.
        """
        message = codec.Message(
            code=aiocoap.POST, payload=json.dumps({"key": key}).encode()
        )
        message.opt.uri_path = tuple(path)
        echo = self.ticket if ticket is None else ticket
        if echo:
            message.opt.echo = echo
        return self.write(message, key, token)

    def write(
        self, message: codec.Message, key: str, token: bytes | None = None
    ) -> requests.RawRequest:
        """Gives a message its id and token, and listens for its answers."""
        self._message_id = (self._message_id + 1) % 65_536
        message.mtype = aiocoap.CON
        message.mid = self._message_id
        message.token = token or self._random.randbytes(_TOKEN_OCTETS)
        request = requests.RawRequest(key, codec.encode(message))
        self._by_token.setdefault(message.token, []).append(request)
        return request

    def _match(
        self, message: codec.Message, host: Address
    ) -> requests.RawRequest | None:
        """Returns the request that an answer is for; None for no more."""
        under_token = self._by_token.get(message.token, [])
        if message.mtype is aiocoap.ACK:
            for request in under_token:
                if message.mid in request.message_ids:
                    return request
            self.strays.append(message)
            return None
        if (host, message.mid) in self._separate:
            return None
        self._separate.add((host, message.mid))
        if not under_token:
            self.strays.append(message)
            return None
        return under_token[-1]

    def check_strays(self) -> None:
        """Judges that each answer was for a request.

        Raises:
            AssertionError: One came for nothing that the caller asked.
        """
        strays = [f"{m.code.dotted} {m.payload[:60]!r}" for m in self.strays]
        assert not strays, strays

    async def _wait_more(self, request: requests.RawRequest) -> None:
        before = len(request.answers)
        with trio.move_on_after(_REPEAT_S):
            while len(request.answers) == before:
                await trio.sleep(_POLL_S)

    async def _confirm(self, message: codec.Message, host: Address) -> None:
        empty = codec.Message(code=aiocoap.EMPTY)
        empty.mtype = aiocoap.ACK
        empty.mid = message.mid
        empty.token = b""
        await self.send(codec.encode(empty), host)


async def make_raw_caller(
    socket: trio.socket.SocketType, seed: int, port: int = 0
) -> RawCaller:
    """Makes a caller on a socket; its `run` is the caller's to start.

    Args:
        socket: A UDP socket that is not bound.
        seed: Seed of its tokens and of the hosts that it picks.
        port: UDP port; 0 lets the kernel choose.
    """
    await socket.bind((_LOOPBACK, port))
    return RawCaller(socket, random.Random(seed))


@contextlib.asynccontextmanager
async def open_raw_caller(seed: int, port: int = 0) -> AsyncIterator[RawCaller]:
    """Opens a caller.

    Args:
        seed: Seed of its tokens and of the hosts that it picks.
        port: UDP port; 0 lets the kernel choose.
    """
    with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as socket:
        caller = await make_raw_caller(socket, seed, port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.run)
            yield caller
            caller.check_strays()
            nursery.cancel_scope.cancel()
