"""Feeds that other homes have carried on since their home was given up."""

from __future__ import annotations

import dataclasses

import trio

from persimmonhinge import ids
from persimmonhinge.peers.messages import feeds as messages

FeedKey = tuple[object, ...]

# A host that was paused for longer goes on as if nobody had its feeds.
_MEMORY_S = 300.0
_MOST_RESCUES = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class Rescue:
    """A feed that was given to another home.

    Attributes:
        home: The host that has it.
        sequence: Highest number that an event had by then.
        at: When, trio's time.
    """

    home: ids.HostId
    sequence: int
    at: float


class Rescues:
    """Remembers which feeds were given to other homes, the oldest first.

    Guards against a home that was paused and does not know that it was given
    up: it would open its feeds once more and send their events beside the
    present homes.
    """

    def __init__(self) -> None:
        self._by_key: dict[FeedKey, Rescue] = {}

    def note(self, key: FeedKey, home: ids.HostId, sequence: int) -> None:
        """Takes in that a feed was given to a home."""
        self._by_key.pop(key, None)
        self._by_key[key] = Rescue(home, sequence, trio.current_time())
        self._forget_old()

    def is_elsewhere(
        self, key: FeedKey, caller: ids.HostId, opened: messages.FeedOpen
    ) -> bool:
        """Tells whether a feed that a home opens was given to another one.

        A home that the feed was handed to since has confirmed nothing, or an
        event with a higher number.
        """
        rescue = self._by_key.get(key)
        if rescue is None or rescue.home == caller:
            return False
        if trio.current_time() > rescue.at + _MEMORY_S:
            return False
        return 0 < opened.confirmed <= rescue.sequence

    def _forget_old(self) -> None:
        oldest = trio.current_time() - _MEMORY_S
        while self._by_key:
            key = next(iter(self._by_key))
            is_full = len(self._by_key) > _MOST_RESCUES
            if not is_full and self._by_key[key].at >= oldest:
                return
            del self._by_key[key]
