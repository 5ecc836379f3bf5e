"""Which upstreams are cold because their contract names them newly."""

from __future__ import annotations

import trio

from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import store as stores

_Place = tuple[str, contracts.Address]


class Newcomers:
    """Remembers when each upstream came into its contract.

    Every host watches all contracts, so a host that takes the role of
    keeper over knows whether the upstream is cold or has long been warm.
    What stands in the first revision that a host sees is taken for warm: a
    host that starts must not withhold slots that others gave before.
    """

    def __init__(self, store: stores.ContractStore) -> None:
        self._store = store
        self._version = -1
        self._begun: dict[ids.ServiceName, dict[_Place, float | None]] = {}

    def refresh(self) -> None:
        """Takes in changes of contracts."""
        if self._version == self._store.changed.version:
            return
        self._version = self._store.changed.version
        for entry in self._store.entries():
            service = ids.ServiceName(entry.contract.service)
            former = self._begun.get(service)
            self._begun[service] = self._list_begun(entry.contract, former)

    def find_beginning(
        self, service: ids.ServiceName, upstream: contracts.Upstream
    ) -> float | None:
        """Returns when an upstream was new, None if it is warm."""
        self.refresh()
        place = (upstream.id, upstream.address)
        return self._begun.get(service, {}).get(place)

    def _list_begun(
        self,
        contract: contracts.Contract,
        former: dict[_Place, float | None] | None,
    ) -> dict[_Place, float | None]:
        begun: dict[_Place, float | None] = {}
        for upstream in contract.upstreams:
            if upstream.state is contracts.UpstreamState.DRAINING:
                # One that is taken back has most likely been restarted.
                continue
            place = (upstream.id, upstream.address)
            first = None if former is None else trio.current_time()
            begun[place] = (former or {}).get(place, first)
        return begun
