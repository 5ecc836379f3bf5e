"""Reads and writes the ring of ticket keys in the platform."""

from __future__ import annotations

import dataclasses

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.keys import ring as rings
from persimmonhinge.keys import rotation
from persimmonhinge.keys import store
from persimmonhinge.platform import keys as platform_keys
from persimmonhinge.platform import port

_STEP = "write ticket keys"


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
    """The ring of one deployment, written by compare-and-swap."""

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

    async def write(
        self, ring: rings.KeyRing, former: ids.Revision
    ) -> ids.Revision:
        """Writes a ring if none else was written since `former`.

        An answer that was lost is resolved by reading back.

        Returns:
            The revision of the new ring.

        Raises:
            ConflictError: Another operator wrote first.
            PlatformError: The platform failed; nothing is known.
        """
        body = rotation.write_body(ring)
        compare = port.Compare(self._key, former)
        try:
            revision = await self._platform.write_if(
                (compare,), (port.Write(self._key, body),)
            )
        except errors.PlatformUnavailableError:
            return await self._resolve(body, former)
        if revision is None:
            raise _make_conflict()
        return ids.Revision(revision)

    async def _resolve(self, body: bytes, former: ids.Revision) -> ids.Revision:
        found = await self._platform.get(self._key)
        if found is not None and found.value == body:
            return ids.Revision(found.mod_revision)
        if found is not None and found.mod_revision > former:
            raise _make_conflict()
        raise errors.PlatformUnavailableError(
            "gave no answer, and the ring is unchanged so far: try again",
            step=_STEP,
        )


def _make_conflict() -> errors.ConflictError:
    return errors.ConflictError(
        "another operator changed the ring first", step=_STEP
    )
