"""The ring of ticket keys that a host holds; it only moves forward."""

from __future__ import annotations

from persimmonhinge import changes
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

    def __init__(self) -> None:
        self.changed = changes.ChangeSignal()
        self.ring = rings.KeyRing()
        self.record = control.KeyRecord(ids.Revision(0), b"")

    def offer(self, record: control.KeyRecord) -> bool:
        """Takes in a record if it is newer.

        Guards against a retired key coming back: an older ring would accept
        it again. The revision of the key in the platform only grows.

        Returns:
            True if it was taken in.

        Raises:
            pydantic.ValidationError: Its body is not a ring.
        """
        if record.revision <= self.record.revision:
            return False
        self.ring = rings.KeyRing.model_validate_json(record.body)
        self.record = record
        self.changed.announce()
        return True
