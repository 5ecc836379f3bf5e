"""The former keepers whose tables this host has taken over."""

from __future__ import annotations

from collections.abc import Callable

from persimmonhinge import ids
from persimmonhinge.upstreams import uptimes

# By then all tickets that name a former keeper have expired.
_LIFE_S = uptimes.MOST_TICKET_LIFE_MS / 1000


class Inheritance:
    """Remembers for which former keepers this host can answer.

    A keeper counts only once its whole table is here. Until then an empty
    place in the table says nothing.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._taken_at: dict[ids.HostRef, float] = {}
        self._broken: dict[ids.HostRef, float] = {}
        self._own: dict[ids.HostRef, float] = {}

    def complete(self, former: ids.HostRef) -> None:
        """Takes in that the whole table of a former keeper is here."""
        if former not in self._broken:
            self._taken_at[former] = self._clock()

    def spoil(self, former: ids.HostRef) -> None:
        """Takes in that a part of a table could not be kept."""
        self._broken[former] = self._clock()
        self._taken_at.pop(former, None)

    def add_own(self, former: ids.HostRef) -> None:
        """Takes in that this host itself was an incarnation that was given up.

        Callers may have heard "unknown" of its requests, so it tells what ran
        and never that something did not.
        """
        self._own[former] = self._clock()

    def is_own(self, former: ids.HostRef) -> bool:
        """Tells whether a former keeper was this host itself."""
        return former in self._own

    def has(self, former: ids.HostRef) -> bool:
        """Tells whether this host can answer for a former keeper."""
        return former in self._taken_at or former in self._own

    def list_all(self) -> list[ids.HostRef]:
        """Returns all former keepers for which this host can answer."""
        return list(self._taken_at)

    def forget_old(self) -> None:
        """Forgets keepers that no valid ticket names any more."""
        oldest = self._clock() - _LIFE_S
        for table in (self._taken_at, self._broken, self._own):
            for former in [ref for ref, at in table.items() if at < oldest]:
                del table[former]
