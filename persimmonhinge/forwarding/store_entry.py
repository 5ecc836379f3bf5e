"""An entry of the store, as hosts keep it and tell it each other."""

from __future__ import annotations

from persimmonhinge.light_typing import NamedTuple


class StoreEntry(NamedTuple):
    """An entry of the store; an array in messages.

    Attributes:
        key: Its key.
        value: Its value; None if it was deleted.
        revision: Revision of the store of its last change.
    """

    key: str
    value: bytes | None
    revision: int
