"""An entry of the store, as hosts cache it and send it to each other."""

from __future__ import annotations

from persimmonhinge.light_typing import NamedTuple


class StoreEntry(NamedTuple):
    """An entry of the store, or its deletion; encoded as an array.

    Attributes:
        key: Key in the store.
        value: Value in the store; None if the entry was deleted.
        revision: Revision of the store at which the entry last changed.
    """

    key: str
    value: bytes | None
    revision: int
