"""The former keepers for which this host can answer recovery queries."""

from __future__ import annotations

from collections.abc import Callable

from persimmonhinge import ids
from persimmonhinge.upstreams import uptimes

# All tickets that name a former keeper expire within this time.
_RETENTION_S = uptimes.MAX_TICKET_LIFETIME_MS / 1000


class FormerKeepers:
    """Records for which former keepers this host answers recovery queries.

    This host can answer for another host only after it has received that
    host's complete table. Until then, a missing row does not mean that a
    request did not run.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._completed_at: dict[ids.HostRef, float] = {}
        self._incomplete_at: dict[ids.HostRef, float] = {}
        self._own_replaced_at: dict[ids.HostRef, float] = {}

    def mark_complete(self, former: ids.HostRef) -> None:
        """Records that a former keeper's table is complete.

        Has no effect if a row of the table could not be stored.
        """
        if former not in self._incomplete_at:
            self._completed_at[former] = self._clock()

    def mark_incomplete(self, former: ids.HostRef) -> None:
        """Records that a row of a former keeper could not be stored."""
        self._incomplete_at[former] = self._clock()
        self._completed_at.pop(former, None)

    def add_own_incarnation(self, former: ids.HostRef) -> None:
        """Records a former incarnation of this host.

        Other hosts may have declared that incarnation dead, and callers may
        have received "unknown" for its requests. This host therefore reports
        the stored outcomes, but never that one of these requests did not
        run.
        """
        self._own_replaced_at[former] = self._clock()

    def is_own_incarnation(self, former: ids.HostRef) -> bool:
        """Returns whether a former keeper is an incarnation of this host."""
        return former in self._own_replaced_at

    def can_answer_for(self, former: ids.HostRef) -> bool:
        """Returns whether queries about a former keeper can be answered."""
        return former in self._completed_at or former in self._own_replaced_at

    def list_complete(self) -> list[ids.HostRef]:
        """Returns the former keepers whose complete tables are stored here."""
        return list(self._completed_at)

    def remove_expired(self) -> None:
        """Removes former keepers that no valid ticket can name any more."""
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
