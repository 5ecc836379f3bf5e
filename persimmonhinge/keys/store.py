"""The ring of ticket keys that a host holds; it only moves forward."""

from __future__ import annotations

from collections.abc import Callable
import time

import pydantic

from persimmonhinge import changes
from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.keys import ring as rings
from persimmonhinge.peers.messages import control


class KeyStore:
    """Holds the newest ring.

    Attributes:
        changed: Announced at each new ring.
        ring: The ring; empty until the first record.
        record: The record it came from.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.changed = changes.ChangeSignal()
        self.ring = rings.KeyRing()
        self.record = control.KeyRecord(ids.Revision(0), b"")
        self._clock = clock
        self._taken_at = clock()

    def offer(self, record: control.KeyRecord) -> bool:
        """Takes in a record if it is newer.

        Guards against a retired key coming back: an older ring would accept
        it again. The revision of the key in the platform only grows.

        Returns:
            True if it was taken in.

        Raises:
            KeyRingError: Its body is not a ring; the former one stays.
        """
        if record.version <= self.record.version:
            return False
        self.ring = read_ring(record.body)
        self.record = record
        self._taken_at = self._clock()
        self.changed.announce()
        return True

    def age_s(self) -> float:
        """Returns for how long this host has held the ring, seconds."""
        return self._clock() - self._taken_at


def read_ring(body: bytes) -> rings.KeyRing:
    """Reads a ring from JSON.

    Raises:
        KeyRingError: It is not a ring that can mint. The text says nothing
            of its content.
    """
    try:
        ring = rings.KeyRing.model_validate_json(body)
    except pydantic.ValidationError as error:
        fault = f"has {error.error_count()} faults"
    else:
        if ring.current() is not None:
            return ring
        fault = "has no current key"
    # Raised here and not in the handler: pydantic's error holds its input,
    # and as context of this one it would carry secrets into logs.
    raise errors.KeyRingError(fault, step="read ticket keys")
