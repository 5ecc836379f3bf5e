"""Feeds that other homes have carried on since their home was given up."""

from __future__ import annotations

import dataclasses

import trio

from persimmonhinge import ids
from persimmonhinge.peers.messages import feeds

FeedKey = tuple[object, ...]

# A host that was paused for longer goes on as if nobody had its feeds.
_RETENTION_S = 300.0
_MAX_ADOPTIONS = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class Adoption:
    """A feed that was given to another home.

    Attributes:
        home: The host that has it.
        sequence: Highest number that an event had by then.
        at: When, trio's time.
    """

    home: ids.HostId
    sequence: int
    adopted_at: float


class Adoptions:
    """Remembers which feeds were given to other homes, the oldest first.

    Guards against a home that was paused and does not know that it was given
    up: it would open its feeds once more and send their events beside the
    present homes.
    """

    def __init__(self) -> None:
        self._by_key: dict[FeedKey, Adoption] = {}

    def record_adoption(
        self, key: FeedKey, home: ids.HostId, sequence: int
    ) -> None:
        """Takes in that a feed was given to a home."""
        self._by_key.pop(key, None)
        self._by_key[key] = Adoption(home, sequence, trio.current_time())
        self._remove_old()

    def has_other_home(
        self, key: FeedKey, caller: ids.HostId, opened: feeds.FeedOpen
    ) -> bool:
        """Tells whether a feed that a home opens was given to another one.

        A home that the feed was handed to since has confirmed nothing, or an
        event with a higher number.
        """
        adoption = self._by_key.get(key)
        if adoption is None or adoption.home == caller:
            return False
        if trio.current_time() > adoption.adopted_at + _RETENTION_S:
            return False
        return 0 < opened.confirmed <= adoption.sequence

    def _remove_old(self) -> None:
        oldest = trio.current_time() - _RETENTION_S
        while self._by_key:
            key = next(iter(self._by_key))
            is_full = len(self._by_key) > _MAX_ADOPTIONS
            if not is_full and self._by_key[key].adopted_at >= oldest:
                return
            del self._by_key[key]
