"""Which service each upstream address belongs to."""

from __future__ import annotations

from collections.abc import Iterable

from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts

Owners = dict[contracts.Address, ids.ServiceName]


class AddressOwners:
    """Keeps the owner of each address up to date, contract by contract.

    Of several contracts that name an address, the one with the highest
    revision counts. A changed contract touches its own addresses only: a
    joining host takes in all contracts, one after the other.
    """

    def __init__(self) -> None:
        self._owners: Owners = {}
        self._claims: dict[
            contracts.Address, dict[ids.ServiceName, ids.Revision]
        ] = {}

    def get(self, address: contracts.Address) -> ids.ServiceName | None:
        """Returns the owner, None if no contract names the address."""
        return self._owners.get(address)

    def select(self, addresses: Iterable[contracts.Address]) -> Owners:
        """Returns the owners of those addresses that have one."""
        return {a: self._owners[a] for a in addresses if a in self._owners}

    def drop(
        self, service: ids.ServiceName, addresses: Iterable[contracts.Address]
    ) -> None:
        """Takes in that a service no longer names some addresses."""
        for address in addresses:
            claims = self._claims.get(address, {})
            claims.pop(service, None)
            self._settle(address, claims)

    def claim(
        self,
        service: ids.ServiceName,
        revision: ids.Revision,
        addresses: Iterable[contracts.Address],
    ) -> None:
        """Takes in that a service names some addresses."""
        for address in addresses:
            claims = self._claims.setdefault(address, {})
            claims[service] = revision
            self._settle(address, claims)

    def _settle(
        self,
        address: contracts.Address,
        claims: dict[ids.ServiceName, ids.Revision],
    ) -> None:
        if claims:
            ranked = ((revision, name) for name, revision in claims.items())
            self._owners[address] = max(ranked)[1]
        else:
            self._claims.pop(address, None)
            self._owners.pop(address, None)
