"""HTTP to the endpoints of the platform's JSON gateway."""

from __future__ import annotations

import contextlib
import logging
import ssl
from typing import TypeVar

import httpx
import msgspec
import trio

from persimmonhinge import errors
from persimmonhinge.settings import entry

logger = logging.getLogger(__name__)

T = TypeVar("T")
_OK = 200
_SERVER_FAULT = 500


class Channel:
    """Posts to one endpoint after the other, from the last that answered."""

    def __init__(self, settings: entry.PlatformSettings) -> None:
        self._settings = settings
        self._endpoints = [url.rstrip("/") for url in settings.endpoints]
        self._first = 0
        # One endpoint that swallows packets must leave time for the others.
        connect_s = settings.timeout_s / len(self._endpoints)
        self._http = httpx.AsyncClient(
            verify=_make_verification(self._endpoints),
            timeout=httpx.Timeout(None, connect=connect_s),
            trust_env=False,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._http.aclose()

    async def post(
        self,
        path: str,
        body: msgspec.Struct,
        kind: type[T],
        *,
        repeatable: bool,
    ) -> T:
        """Posts a message and reads the answer.

        Args:
            path: Path below the endpoint.
            body: The message.
            kind: Type of the answer.
            repeatable: True if a second run does no harm. A message that is
                not is sent on to the next endpoint only if no connection to
                the one before could be opened, so that it can't run twice.

        Raises:
            PlatformUnavailableError: No answer; it may have taken effect.
            PlatformError: The answer is a refusal or can't be read.
        """
        with trio.move_on_after(self._settings.timeout_s):
            return await self._post_in_turn(path, body, kind, repeatable)
        self._skip()
        raise errors.PlatformUnavailableError(
            f"no answer in {self._settings.timeout_s} s",
            step=f"platform {path}",
            peer=self._endpoints[self._first - 1],
        )

    async def open_stream(
        self, path: str, body: msgspec.Struct
    ) -> httpx.Response:
        """Posts a message whose answer is a stream; the caller closes it.

        Raises:
            PlatformUnavailableError: No answer.
            PlatformError: The answer is a refusal.
        """
        endpoint = self._endpoints[self._first]
        request = self._http.build_request(
            "POST", endpoint + path, content=msgspec.json.encode(body)
        )
        try:
            response = await self._http.send(request, stream=True)
        except httpx.HTTPError as error:
            self._skip()
            raise _make_unavailable(path, endpoint, error) from error
        if response.status_code != _OK:
            with contextlib.suppress(httpx.HTTPError):
                await response.aread()
            await response.aclose()
            raise _make_refusal(path, endpoint, response)
        return response

    async def _post_in_turn(
        self, path: str, body: msgspec.Struct, kind: type[T], repeatable: bool
    ) -> T:
        content = msgspec.json.encode(body)
        for _ in self._endpoints[1:]:
            try:
                return await self._post_once(path, content, kind)
            except errors.PlatformUnavailableError as error:
                self._skip()
                if not (repeatable or _is_unsent(error)):
                    raise
                logger.info("Trying the next endpoint: %s.", error)
        try:
            return await self._post_once(path, content, kind)
        except errors.PlatformUnavailableError:
            self._skip()
            raise

    async def _post_once(self, path: str, content: bytes, kind: type[T]) -> T:
        endpoint = self._endpoints[self._first]
        try:
            response = await self._http.post(endpoint + path, content=content)
        except httpx.HTTPError as error:
            raise _make_unavailable(path, endpoint, error) from error
        if response.status_code != _OK:
            raise _make_refusal(path, endpoint, response)
        return decode(response.content, kind, path, endpoint)

    def _skip(self) -> None:
        self._first = (self._first + 1) % len(self._endpoints)


def decode(content: bytes, kind: type[T], path: str, endpoint: str) -> T:
    """Reads an answer.

    Raises:
        PlatformError: It can't be read.
    """
    try:
        return msgspec.json.decode(content, type=kind, strict=False)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise errors.PlatformError(
            f"answer can't be read: {error}",
            step=f"platform {path}",
            peer=endpoint,
        ) from error


def _make_verification(endpoints: list[str]) -> ssl.SSLContext | bool:
    # Reading the trusted certificates takes time and memory that hosts
    # without TLS to the platform need not spend.
    if any(url.startswith("https:") for url in endpoints):
        return ssl.create_default_context()
    return False


def _is_unsent(error: errors.PlatformUnavailableError) -> bool:
    return isinstance(
        error.__cause__, httpx.ConnectError | httpx.ConnectTimeout
    )


def _make_unavailable(
    path: str, endpoint: str, error: httpx.HTTPError
) -> errors.PlatformUnavailableError:
    return errors.PlatformUnavailableError(
        str(error) or type(error).__name__,
        step=f"platform {path}",
        peer=endpoint,
    )


def _make_refusal(
    path: str, endpoint: str, response: httpx.Response
) -> errors.PlatformError:
    # A gateway that answers 5xx has lost its own store on the way: a write
    # may have taken effect all the same.
    kind = errors.PlatformError
    if response.status_code >= _SERVER_FAULT:
        kind = errors.PlatformUnavailableError
    return kind(
        f"status {response.status_code}: {response.text[:200]}",
        step=f"platform {path}",
        peer=endpoint,
    )
