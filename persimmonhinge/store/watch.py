"""A watch on all keys of a prefix."""

from __future__ import annotations

import contextlib
import random
from typing import Self

import httpx
import trio

from persimmonhinge import errors
from persimmonhinge.store import channel as channels
from persimmonhinge.store import messages
from persimmonhinge.store import port

_PATH = "/v3/watch"
# Time after which a stream is replaced by a new one, seconds.
STREAM_LIFE_S = 5.0
_JITTER = 0.2


class Watch:
    """Yields batches of events; replaces its stream now and then.

    Guards against a stream that went silent for good because something on
    the way lost track of its connection, or because the sender's TCP backs
    off after a cut that has healed: new contracts would not arrive, and no
    error would show. A new stream from the next revision on misses nothing,
    and fails within the time limit of a call if the platform is out.
    """

    def __init__(
        self,
        channel: channels.Channel,
        prefix: str,
        start_revision: int,
        timeout_s: float,
    ) -> None:
        self._channel = channel
        self._prefix = prefix
        self._next_revision = start_revision
        self._timeout_s = timeout_s
        self._response: httpx.Response | None = None
        self._end = 0.0

    def __aiter__(self) -> Self:
        """Returns itself."""
        return self

    async def __anext__(self) -> tuple[port.WatchEvent, ...]:
        """Returns the next batch.

        Raises:
            PlatformUnavailableError: The stream broke or can't be replaced.
            PlatformError: The platform ended the watch; see `open`.
        """
        while True:
            with trio.move_on_at(self._end) as scope:
                result = await self._read()
            if scope.cancelled_caught:
                await self.open()
                continue
            events = self._take(result)
            if events:
                return events

    async def open(self) -> None:
        """Opens a stream from the next revision on.

        Raises:
            PlatformUnavailableError: No answer within the time limit.
            PlatformError: The revision was compacted, or a refusal.
        """
        await self.close()
        with trio.move_on_after(self._timeout_s):
            await self._open_stream()
            return
        await self.close()
        raise errors.PlatformUnavailableError(
            f"no watch within {self._timeout_s} s", step=f"platform {_PATH}"
        )

    async def close(self) -> None:
        """Closes the stream."""
        response = self._response
        self._response = None
        if response is not None:
            with trio.CancelScope(shield=True):
                with contextlib.suppress(httpx.HTTPError):
                    await response.aclose()

    async def _open_stream(self) -> None:
        request = messages.WatchRequest(
            messages.WatchCreate(
                key=self._prefix.encode(),
                range_end=messages.compute_range_end(self._prefix),
                start_revision=str(self._next_revision),
            )
        )
        self._response = await self._channel.open_stream(_PATH, request)
        self._lines = self._response.aiter_lines()
        life_s = STREAM_LIFE_S * random.uniform(1 - _JITTER, 1 + _JITTER)
        self._end = trio.current_time() + life_s
        result = await self._read()
        if not result.created:
            raise errors.PlatformError(
                "stream begins without its head", step=f"platform {_PATH}"
            )
        if result.canceled:
            raise _make_cancel_error(result)

    async def _read(self) -> messages.WatchResult:
        assert self._response is not None
        peer = str(self._response.url)
        try:
            line = await anext(self._lines)
        except StopAsyncIteration as error:
            raise errors.PlatformUnavailableError(
                "stream ended", step=f"platform {_PATH}", peer=peer
            ) from error
        except (httpx.HTTPError, httpx.StreamError) as error:
            raise errors.PlatformUnavailableError(
                f"stream broke: {error}", step=f"platform {_PATH}", peer=peer
            ) from error
        frame = channels.decode(line.encode(), messages.WatchFrame, _PATH, peer)
        return frame.result

    def _take(
        self, result: messages.WatchResult
    ) -> tuple[port.WatchEvent, ...]:
        if result.canceled:
            raise _make_cancel_error(result)
        events = tuple(_convert(event) for event in result.events)
        for event in events:
            self._next_revision = max(
                self._next_revision, event.mod_revision + 1
            )
        return events


def _convert(event: messages.GatewayEvent) -> port.WatchEvent:
    deleted = event.type == "DELETE"
    return port.WatchEvent(
        key=event.kv.key.decode(errors="replace"),
        value=None if deleted else event.kv.value,
        mod_revision=event.kv.mod_revision,
    )


def _make_cancel_error(result: messages.WatchResult) -> errors.PlatformError:
    if result.compact_revision:
        text = f"compacted up to revision {result.compact_revision}"
    else:
        text = f"ended by the platform: {result.cancel_reason}"
    return errors.PlatformError(text, step=f"platform {_PATH}")
