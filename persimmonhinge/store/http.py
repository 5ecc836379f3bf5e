"""A connection that carries one HTTP call after the other."""

from __future__ import annotations

import h11
import msgspec

from persimmonhinge import errors
from persimmonhinge.store import transport as transports

# Largest body that is read. A page of the store holds at most 1 MB of values,
# which base64 makes a third longer, and a little around them.
_MOST_BODY_OCTETS = 4 * 1024 * 1024


class Response(msgspec.Struct, frozen=True):
    """An answer to a call.

    Attributes:
        status: HTTP status code.
        body: The whole body.
    """

    status: int
    body: bytes


class HttpConnection:
    """One connection to one address; opened at the first call.

    After any failure it is closed, and the next call opens a new one: an
    answer that comes late on the old one can't be taken for another call's.
    """

    def __init__(self, transport: transports.Transport, peer: str) -> None:
        """Makes a closed connection.

        Args:
            transport: What carries its octets.
            peer: Address and port of the other side.
        """
        self._transport = transport
        self._peer = peer
        self._parser = h11.Connection(h11.CLIENT)

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> Response:
        """Makes one call.

        Args:
            method: HTTP method.
            target: Path and query.
            body: Body, empty for none.
            timeout_s: Limit for the whole call, seconds.

        Raises:
            PlatformUnavailableError: No answer in time, or the connection
                failed; the call may have taken effect.
        """
        request = self._make_request(method, target, body)

        async def exchange() -> Response:
            return await self._exchange(request, body)

        try:
            return await self._transport.run_within(timeout_s, exchange)
        except (OSError, h11.ProtocolError) as error:
            raise errors.PlatformUnavailableError(
                str(error) or type(error).__name__,
                step=f"store {method} {target.partition('?')[0]}",
                peer=self._peer,
            ) from error
        finally:
            if self._parser.our_state is not h11.IDLE:
                self.close()

    def close(self) -> None:
        """Closes the connection at once."""
        self._transport.close()
        self._parser = h11.Connection(h11.CLIENT)

    def _make_request(
        self, method: str, target: str, body: bytes
    ) -> h11.Request:
        headers = [("Host", self._peer), ("Content-Length", str(len(body)))]
        if body:
            headers.append(("Content-Type", "application/json"))
        return h11.Request(method=method, target=target, headers=headers)

    async def _exchange(self, request: h11.Request, body: bytes) -> Response:
        await self._transport.open()
        octets = self._parser.send(request) or b""
        if body:
            octets += self._parser.send(h11.Data(data=body)) or b""
        octets += self._parser.send(h11.EndOfMessage()) or b""
        await self._transport.send_all(octets)
        response = await self._receive()
        if (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        ):
            self._parser.start_next_cycle()
        return response

    async def _receive(self) -> Response:
        status = 0
        body = bytearray()
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self._transport.receive_some())
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > _MOST_BODY_OCTETS:
                    raise h11.RemoteProtocolError("body is too long")
            elif isinstance(event, h11.EndOfMessage):
                return Response(status, bytes(body))
            else:
                raise h11.RemoteProtocolError("closed before its answer")
