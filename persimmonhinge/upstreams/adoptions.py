"""Feeds that another home has adopted from their former home."""

from __future__ import annotations

import dataclasses

import trio

from persimmonhinge import ids
from persimmonhinge.peers.messages import feeds

FeedKey = tuple[object, ...]

# A home that was paused for longer than this is not detected: it opens its
# feeds as if no other home had adopted them.
_RETENTION_S = 300.0
_MAX_ADOPTIONS = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class Adoption:
    """The adoption of a feed by a home.

    Attributes:
        home: The host that adopted the feed.
        sequence: Sequence number of the newest event at that time.
        adopted_at: Time of the adoption on the clock of trio.
    """

    home: ids.HostId
    sequence: int
    adopted_at: float


class Adoptions:
    """Stores which feeds were adopted by which homes, the oldest first.

    Prevents a home that was paused, and does not know that it was declared
    failed, from opening its feeds again: it would send their events to the
    callers in addition to the current homes.
    """

    def __init__(self) -> None:
        self._by_key: dict[FeedKey, Adoption] = {}

    def record_adoption(
        self, key: FeedKey, home: ids.HostId, sequence: int
    ) -> None:
        """Records that a home has adopted or resumed a feed."""
        self._by_key.pop(key, None)
        self._by_key[key] = Adoption(home, sequence, trio.current_time())
        self._remove_old()

    def has_other_home(
        self, key: FeedKey, home: ids.HostId, open_message: feeds.FeedOpen
    ) -> bool:
        """Returns whether a feed was adopted by a home other than `home`.

        Returns False if the feed was moved to `home` after that adoption:
        then `home` has confirmed no event yet, or one with a higher sequence
        number.
        """
        adoption = self._by_key.get(key)
        if adoption is None or adoption.home == home:
            return False
        if trio.current_time() > adoption.adopted_at + _RETENTION_S:
            return False
        return 0 < open_message.confirmed <= adoption.sequence

    def _remove_old(self) -> None:
        oldest = trio.current_time() - _RETENTION_S
        while self._by_key:
            key = next(iter(self._by_key))
            is_full = len(self._by_key) > _MAX_ADOPTIONS
            if not is_full and self._by_key[key].adopted_at >= oldest:
                return
            del self._by_key[key]
