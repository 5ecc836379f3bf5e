"""The former keepers whose tables this host has taken over."""

from __future__ import annotations

from collections.abc import Callable

from persimmonhinge import ids
from persimmonhinge.upstreams import uptimes

# By then all tickets that name a former keeper have expired.
_RETENTION_S = uptimes.MAX_TICKET_LIFETIME_MS / 1000


class FormerKeepers:
    """Remembers for which former keepers this host can answer.

    A keeper counts only once its whole table is here. Until then an empty
    place in the table says nothing.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._completed_at: dict[ids.HostRef, float] = {}
        self._incomplete_at: dict[ids.HostRef, float] = {}
        self._own_replaced_at: dict[ids.HostRef, float] = {}

    def mark_complete(self, former: ids.HostRef) -> None:
        """Takes in that the whole table of a former keeper is here."""
        if former not in self._incomplete_at:
            self._completed_at[former] = self._clock()

    def mark_incomplete(self, former: ids.HostRef) -> None:
        """Takes in that a part of a table could not be kept."""
        self._incomplete_at[former] = self._clock()
        self._completed_at.pop(former, None)

    def add_own_incarnation(self, former: ids.HostRef) -> None:
        """Takes in that this host itself was an incarnation that was given up.

        Callers may have heard "unknown" of its requests, so it tells what ran
        and never that something did not.
        """
        self._own_replaced_at[former] = self._clock()

    def is_own_incarnation(self, former: ids.HostRef) -> bool:
        """Tells whether a former keeper was this host itself."""
        return former in self._own_replaced_at

    def can_answer_for(self, former: ids.HostRef) -> bool:
        """Tells whether this host can answer for a former keeper."""
        return former in self._completed_at or former in self._own_replaced_at

    def list_complete(self) -> list[ids.HostRef]:
        """Returns all former keepers for which this host can answer."""
        return list(self._completed_at)

    def remove_expired(self) -> None:
        """Forgets keepers that no valid ticket names any more."""
        min_recorded_at = self._clock() - _RETENTION_S
        for table in (
            self._completed_at,
            self._incomplete_at,
            self._own_replaced_at,
        ):
            for former in [
                ref for ref, at in table.items() if at < min_recorded_at
            ]:
                del table[former]
