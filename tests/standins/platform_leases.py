"""Leases of the platform's stand-in."""

from __future__ import annotations

import dataclasses

import trio

from tests.standins import platform_store


@dataclasses.dataclass
class Lease:
    """A lease: its life in seconds and when it lapses."""

    life_s: int
    end: float


class Leases:
    """Grants leases; keys of lapsed ones are deleted."""

    def __init__(self, store: platform_store.Store) -> None:
        self._store = store
        self._leases: dict[int, Lease] = {}
        self._next = 7001

    def grant(self, life_s: int) -> int:
        """Returns the id of a new lease."""
        lease = self._next
        self._next += 1
        self._leases[lease] = Lease(life_s, trio.current_time() + life_s)
        return lease

    def exists(self, lease: int) -> bool:
        """Tells whether a lease is live."""
        self.expire()
        return lease in self._leases

    def keep(self, lease: int) -> int:
        """Renews a lease; returns its life, 0 if it has lapsed."""
        if not self.exists(lease):
            return 0
        kept = self._leases[lease]
        kept.end = trio.current_time() + kept.life_s
        return kept.life_s

    def revoke(self, lease: int) -> bool:
        """Ends a lease; False if there is none."""
        if self._leases.pop(lease, None) is None:
            return False
        self._store.delete_leased(lease)
        return True

    def expire(self) -> None:
        """Ends all leases whose time is over."""
        now = trio.current_time()
        for lease in [n for n, kept in self._leases.items() if kept.end < now]:
            self.revoke(lease)
