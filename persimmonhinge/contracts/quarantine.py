"""Upstream addresses that lately moved from one service to another."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping

from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts

# Limit within which an accepted contract is in force on every reachable host
# of the largest deployment, seconds.
IN_FORCE_LIMIT_S = 7.0


class Quarantine:
    """Keeps an address from its new service until all hosts know the move.

    Guards against a packet of the former service reaching an upstream that
    already works for the new one: a host that has not yet heard of the move
    still sends the former service's work there. Nothing is given to the new
    service until the news is in force on every host that can be reached.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._former: dict[contracts.Address, ids.ServiceName] = {}
        self._released: dict[contracts.Address, float] = {}

    def update(
        self,
        former: Mapping[contracts.Address, ids.ServiceName],
        owners: Mapping[contracts.Address, ids.ServiceName],
    ) -> None:
        """Notes the addresses that changed hands.

        Args:
            former: Owner of each address until now.
            owners: Owner of each address from now on.
        """
        now = self._clock()
        self._forget(now)
        for address, service in former.items():
            if owners.get(address) != service:
                self._release(address, service, now)

    def holds(
        self, address: contracts.Address, service: ids.ServiceName
    ) -> bool:
        """Tells whether a service has to wait for an address."""
        released = self._released.get(address)
        if released is None or self._former[address] == service:
            return False
        return self._clock() < released + IN_FORCE_LIMIT_S

    def _release(
        self, address: contracts.Address, service: ids.ServiceName, now: float
    ) -> None:
        self._former[address] = service
        self._released[address] = now

    def _forget(self, now: float) -> None:
        for address, released in list(self._released.items()):
            if now >= released + IN_FORCE_LIMIT_S:
                del self._released[address]
                del self._former[address]
