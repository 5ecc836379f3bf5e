"""A connection that carries one HTTP call after the other, on trio."""

from __future__ import annotations

import dataclasses

import h11
import trio

from persimmonhinge import errors

_RECEIVE_OCTETS = 65_536
# Largest body that is read. A page of the store holds at most 1 MB of values,
# which base64 makes a third longer, and a little around them.
_MOST_BODY_OCTETS = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
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

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._peer = f"{host}:{port}"
        self._stream: trio.SocketStream | None = None
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
        step = f"store {method} {target.partition('?')[0]}"
        try:
            with trio.fail_after(timeout_s):
                return await self._exchange(method, target, body)
        except trio.TooSlowError as error:
            raise errors.PlatformUnavailableError(
                f"no answer in {timeout_s} s", step=step, peer=self._peer
            ) from error
        except (OSError, trio.BrokenResourceError, h11.ProtocolError) as error:
            raise errors.PlatformUnavailableError(
                str(error) or type(error).__name__, step=step, peer=self._peer
            ) from error
        finally:
            if self._parser.our_state is not h11.IDLE:
                self.close()

    def close(self) -> None:
        """Closes the connection at once."""
        if self._stream is not None:
            self._stream.socket.close()
            self._stream = None
        self._parser = h11.Connection(h11.CLIENT)

    async def _exchange(
        self, method: str, target: str, body: bytes
    ) -> Response:
        stream = await self._open()
        headers = [("Host", self._peer), ("Content-Length", str(len(body)))]
        if body:
            headers.append(("Content-Type", "application/json"))
        request = h11.Request(method=method, target=target, headers=headers)
        octets = self._parser.send(request) or b""
        if body:
            octets += self._parser.send(h11.Data(data=body)) or b""
        octets += self._parser.send(h11.EndOfMessage()) or b""
        await stream.send_all(octets)
        response = await self._receive(stream)
        if (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
        ):
            self._parser.start_next_cycle()
        return response

    async def _open(self) -> trio.SocketStream:
        if self._stream is None:
            self._stream = await trio.open_tcp_stream(self._host, self._port)
        return self._stream

    async def _receive(self, stream: trio.SocketStream) -> Response:
        status = 0
        body = bytearray()
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(_RECEIVE_OCTETS)
                self._parser.receive_data(data)
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
