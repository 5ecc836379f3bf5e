"""Reads the ring of ticket keys from the platform."""

from __future__ import annotations

import dataclasses

from persimmonhinge import ids
from persimmonhinge.keys import ring as rings
from persimmonhinge.keys import store
from persimmonhinge.store import keys as platform_keys
from persimmonhinge.store import port


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRing:
    """A ring as it stands in the platform.

    Attributes:
        ring: The ring; empty if there is none.
        revision: Its revision; 0 if there is none.
    """

    ring: rings.KeyRing
    revision: ids.Revision


class KeyRepository:
    """The ring of one deployment; `ring_changes` writes it, with an audit."""

    def __init__(self, platform: port.Platform, prefix: str) -> None:
        self._platform = platform
        self._key = prefix + platform_keys.TICKET_KEYS

    async def read(self) -> StoredRing:
        """Returns the ring as it stands.

        Raises:
            KeyRingError: The value is not a ring.
            PlatformError: The platform failed.
        """
        found = await self._platform.get(self._key)
        if found is None:
            return StoredRing(rings.KeyRing(), ids.Revision(0))
        ring = store.read_ring(found.value)
        return StoredRing(ring, ids.Revision(found.mod_revision))
