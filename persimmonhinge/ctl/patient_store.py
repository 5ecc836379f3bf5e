"""The store as commands that change something read it."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import functools
import logging
import random
from typing import TypeVar

import trio

from persimmonhinge import errors
from persimmonhinge.contracts import backoff
from persimmonhinge.store import port

logger = logging.getLogger(__name__)

_T = TypeVar("_T")
_FIRST_WAIT_S = 0.02
_MOST_WAIT_S = 1.0


class PatientStore:
    """Reads again where the store gave no answer.

    Guards against commands that fail because the store stood still for a
    moment. One that refuses connections is given up at once, and writes are
    not repeated here: one without an answer may have taken effect.
    """

    def __init__(self, store: port.Platform, limit_s: float) -> None:
        """Makes a patient reader.

        Args:
            store: The store.
            limit_s: Time in which a reading is repeated, seconds.
        """
        self._store = store
        self._limit_s = limit_s

    async def get(self, key: str) -> port.KeyValue | None:
        """See `port.Platform`."""
        return await self._read(functools.partial(self._store.get, key))

    async def get_prefix(
        self, prefix: str, limit: int = 0, after: str = ""
    ) -> port.PrefixState:
        """See `port.Platform`."""
        return await self._read(
            functools.partial(self._store.get_prefix, prefix, limit, after)
        )

    def watch(
        self, prefix: str, start_revision: int
    ) -> contextlib.AbstractAsyncContextManager[
        AsyncIterator[tuple[port.WatchEvent, ...]]
    ]:
        """See `port.Platform`."""
        return self._store.watch(prefix, start_revision)

    async def write_if(
        self, compares: tuple[port.Compare, ...], writes: tuple[port.Write, ...]
    ) -> int | None:
        """See `port.Platform`."""
        return await self._store.write_if(compares, writes)

    async def grant_lease(self, life_s: int) -> int:
        """See `port.Platform`."""
        return await self._store.grant_lease(life_s)

    async def keep_lease(self, lease: int) -> bool:
        """See `port.Platform`."""
        return await self._store.keep_lease(lease)

    async def revoke_lease(self, lease: int) -> None:
        """See `port.Platform`."""
        await self._store.revoke_lease(lease)

    async def _read(self, read: Callable[[], Awaitable[_T]]) -> _T:
        waits = backoff.Backoff(_FIRST_WAIT_S, _MOST_WAIT_S, random.Random())
        end = trio.current_time() + self._limit_s
        while True:
            try:
                return await read()
            except errors.PlatformUnreachableError:
                raise
            except errors.PlatformUnavailableError as error:
                wait_s = waits.next_wait()
                if trio.current_time() + wait_s >= end:
                    raise
                logger.info("The store is read again: %s.", error)
                await trio.sleep(wait_s)
