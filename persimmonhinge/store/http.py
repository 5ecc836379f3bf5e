"""A connection that carries one HTTP call after the other."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.store import response_reader

if TYPE_CHECKING:
    from persimmonhinge.store import transport as transports


class HttpConnection:
    """One connection to one address; opened at the first call.

    After any failure it is closed, and the next call opens a new one: an
    answer that comes late on the old one can't be taken for another call's.

    Attributes:
        is_used: True if it is open and has carried a call.
    """

    def __init__(self, transport: transports.Transport, peer: str) -> None:
        """Makes a closed connection.

        Args:
            transport: What carries its octets.
            peer: Address and port of the other side.
        """
        self._transport = transport
        self._peer = peer
        self._opened = False
        self.is_used = False

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> response_reader.Response:
        """Makes one call.

        Args:
            method: HTTP method.
            target: Path and query.
            body: JSON body, empty for none.
            timeout_s: Limit for the whole call, seconds.

        Raises:
            PlatformUnreachableError: No connection could be opened.
            UnreadableResponseError: The answer is not one of HTTP.
            PlatformUnavailableError: No answer in time, or the connection
                failed; the call may have taken effect.
        """
        step = f"store {method} {target.partition('?')[0]}"
        octets = self._encode(method, target, body)
        response = None

        async def exchange() -> response_reader.Response:
            return await self._exchange(octets)

        try:
            response = await self._transport.run_within(timeout_s, exchange)
        except (OSError, ValueError) as error:
            kind: type[errors.PlatformUnavailableError]
            kind = errors.PlatformUnavailableError
            if not self._opened:
                kind = errors.PlatformUnreachableError
            elif isinstance(error, ValueError):
                kind = errors.UnreadableResponseError
            raise kind(
                str(error) or type(error).__name__, step=step, peer=self._peer
            ) from error
        finally:
            self.is_used = response is not None and response.keeps
            if not self.is_used:
                self.close()
        return response

    def close(self) -> None:
        """Closes the connection at once."""
        self._opened = False
        self.is_used = False
        self._transport.close()

    def _encode(self, method: str, target: str, body: bytes) -> bytes:
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {self._peer}",
            f"Content-Length: {len(body)}",
        ]
        if body:
            lines.append("Content-Type: application/json")
        return "\r\n".join((*lines, "", "")).encode() + body

    async def _exchange(self, octets: bytes) -> response_reader.Response:
        await self._transport.open()
        self._opened = True
        await self._transport.send_all(octets)
        reader = response_reader.ResponseReader()
        while reader.response is None:
            data = await self._transport.receive_some()
            if not data:
                raise ConnectionError("closed before the end of its answer")
            reader.feed(data)
        return reader.response
