"""What the system asks of the platform's key-value service."""

from __future__ import annotations

from collections.abc import AsyncIterator

from persimmonhinge import records
from persimmonhinge.light_typing import Protocol
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    import contextlib


class KeyValue(records.Record, frozen=True):
    """A key as it stands.

    Attributes:
        key: The key.
        value: Its value.
        mod_revision: Store revision at which it was last written.
    """

    key: str
    value: bytes
    mod_revision: int


class PrefixState(records.Record, frozen=True):
    """All keys of a prefix at one revision.

    Attributes:
        revision: Revision of the store.
        values: The keys in order.
    """

    revision: int
    values: tuple[KeyValue, ...]


class WatchEvent(records.Record, frozen=True):
    """A key was written or deleted.

    Attributes:
        key: The key.
        value: The new value, None for a delete.
        mod_revision: Store revision of the change.
    """

    key: str
    value: bytes | None
    mod_revision: int


class Compare(records.Record, frozen=True):
    """A condition: the key was last written at a revision.

    Attributes:
        key: The key.
        mod_revision: The revision; 0 means that the key does not exist.
    """

    key: str
    mod_revision: int


class Write(records.Record, frozen=True):
    """A write of one key.

    Attributes:
        key: The key.
        value: The value, None to delete.
        lease: Lease that the key ends with; 0 for none.
    """

    key: str
    value: bytes | None
    lease: int = 0


class StoreSettings(records.Record, frozen=True):
    """How the store is reached.

    Attributes:
        addresses: IP addresses and TCP ports, tried in turn.
        timeout_s: Limit of a call, seconds.
        watch_wait_s: How long a watch waits for a change before the store
            answers that there is none, seconds.
    """

    addresses: tuple[tuple[str, int], ...]
    timeout_s: float
    watch_wait_s: float


class PlatformReader(Protocol):
    """The calls that read; each counts at the platform.

    All raise PlatformUnavailableError without an answer and PlatformError
    for an answer that can't be read.
    """

    async def get(self, key: str) -> KeyValue | None:
        """Returns a key, None if it does not exist."""

    async def get_prefix(self, prefix: str, limit: int = 0) -> PrefixState:
        """Returns all keys of a prefix at one revision; limit 0 is none."""

    def watch(
        self, prefix: str, start_revision: int
    ) -> contextlib.AbstractAsyncContextManager[
        AsyncIterator[tuple[WatchEvent, ...]]
    ]:
        """Opens a watch; it yields batches from a revision onwards.

        Raises:
            PlatformError: The revision was compacted: read the prefix anew.
        """


class Platform(PlatformReader, Protocol):
    """All calls that the system makes.

    A write that raises PlatformUnavailableError may have taken effect.
    """

    async def get_prefix(
        self, prefix: str, limit: int = 0, after: str = ""
    ) -> PrefixState:
        """Returns keys of a prefix at one revision.

        Args:
            prefix: Beginning of the keys.
            limit: How many keys at most; 0 for all.
            after: The keys begin behind this one; empty for all.
        """

    async def write_if(
        self, compares: tuple[Compare, ...], writes: tuple[Write, ...]
    ) -> int | None:
        """Writes all in one transaction if all conditions hold.

        Returns:
            The revision of the store after it, None if a condition failed.
        """

    async def grant_lease(self, life_s: int) -> int:
        """Returns the id of a new lease."""

    async def keep_lease(self, lease: int) -> bool:
        """Renews a lease; False if it has lapsed."""

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and its keys."""
