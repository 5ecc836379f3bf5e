"""Client of the platform by the published etcd v3 JSON gateway."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
from typing import Self

from persimmonhinge import errors
from persimmonhinge.settings import entry
from persimmonhinge.store import channel as channels
from persimmonhinge.store import messages
from persimmonhinge.store import port
from persimmonhinge.store import watch as watches


class EtcdPlatform:
    """Implements `port.Platform`; close it, or use it in `async with`.

    Each method is one call at the platform; none retries by itself.
    """

    def __init__(self, settings: entry.PlatformSettings) -> None:
        self._settings = settings
        self._channel = channels.Channel(settings)

    async def __aenter__(self) -> Self:
        """Returns itself."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes all connections."""
        await self.close()

    async def close(self) -> None:
        """Closes all connections."""
        await self._channel.close()

    async def get(self, key: str) -> port.KeyValue | None:
        """See `port.Platform`."""
        request = messages.RangeRequest(key.encode())
        answer = await self._channel.post(
            "/v3/kv/range", request, messages.RangeAnswer, repeatable=True
        )
        for pair in answer.kvs:
            return _convert(pair)
        return None

    async def get_prefix(self, prefix: str, limit: int = 0) -> port.PrefixState:
        """See `port.Platform`."""
        request = messages.RangeRequest(
            key=prefix.encode(),
            range_end=messages.compute_range_end(prefix),
            limit=str(limit),
        )
        answer = await self._channel.post(
            "/v3/kv/range", request, messages.RangeAnswer, repeatable=True
        )
        values = tuple(_convert(pair) for pair in answer.kvs)
        return port.PrefixState(answer.header.revision, values)

    async def write_if(
        self,
        compares: tuple[port.Compare, ...],
        writes: tuple[port.Write, ...],
    ) -> int | None:
        """See `port.Platform`."""
        request = messages.TxnRequest(
            compare=[_make_compare(compare) for compare in compares],
            success=[_make_operation(write) for write in writes],
        )
        answer = await self._channel.post(
            "/v3/kv/txn", request, messages.TxnAnswer, repeatable=False
        )
        return answer.header.revision if answer.succeeded else None

    async def grant_lease(self, life_s: int) -> int:
        """See `port.Platform`."""
        # A second grant does no harm: the first, unused, lapses.
        answer = await self._channel.post(
            "/v3/lease/grant",
            messages.LeaseGrantRequest(str(life_s)),
            messages.LeaseAnswer,
            repeatable=True,
        )
        if not answer.ID:
            raise errors.PlatformError(
                "answer has no lease", step="platform /v3/lease/grant"
            )
        return answer.ID

    async def keep_lease(self, lease: int) -> bool:
        """See `port.Platform`."""
        frame = await self._channel.post(
            "/v3/lease/keepalive",
            messages.LeaseRequest(str(lease)),
            messages.LeaseKeepAliveAnswer,
            repeatable=True,
        )
        return frame.result.TTL > 0

    async def revoke_lease(self, lease: int) -> None:
        """See `port.Platform`; a lease that has lapsed is no error."""
        try:
            await self._channel.post(
                "/v3/lease/revoke",
                messages.LeaseRequest(str(lease)),
                messages.LeaseAnswer,
                repeatable=True,
            )
        except errors.PlatformUnavailableError:
            raise
        except errors.PlatformError:
            if await self.keep_lease(lease):
                raise

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[AsyncIterator[tuple[port.WatchEvent, ...]]]:
        """See `port.Platform`."""
        watch = watches.Watch(
            self._channel, prefix, start_revision, self._settings.timeout_s
        )
        try:
            await watch.open()
            yield watch
        finally:
            await watch.close()


def _convert(pair: messages.GatewayKeyValue) -> port.KeyValue:
    return port.KeyValue(
        pair.key.decode(errors="replace"), pair.value, pair.mod_revision
    )


def _make_compare(compare: port.Compare) -> messages.CompareRequest:
    return messages.CompareRequest(
        compare.key.encode(), str(compare.mod_revision)
    )


def _make_operation(write: port.Write) -> messages.Operation:
    key = write.key.encode()
    if write.value is None:
        return messages.Operation(
            request_delete_range=messages.DeleteRequest(key)
        )
    return messages.Operation(
        request_put=messages.PutRequest(key, write.value, str(write.lease))
    )
