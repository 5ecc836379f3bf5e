"""Records when upstreams were added to their contracts."""

from __future__ import annotations

import trio

from persimmonhinge import ids
from persimmonhinge.contracts import contract as contract_module
from persimmonhinge.contracts import store as store_module

_IdAndAddress = tuple[str, contract_module.Address]


class AddedUpstreams:
    """Records when each upstream was added to its contract.

    Every host watches all contracts. A host that takes over the role of
    keeper can therefore tell whether an upstream is still warming up.
    Upstreams in the first revision that a host receives count as already
    warm: a host that starts must not withhold slots that previous keepers
    already used.
    """

    def __init__(self, store: store_module.ContractStore) -> None:
        self._store = store
        self._store_version = -1
        self._added_at: dict[
            ids.ServiceName, dict[_IdAndAddress, float | None]
        ] = {}

    def refresh(self) -> None:
        """Applies changes of the contracts."""
        if self._store_version == self._store.changed.version:
            return
        self._store_version = self._store.changed.version
        for entry in self._store.entries():
            service = ids.ServiceName(entry.contract.service)
            previous = self._added_at.get(service)
            self._added_at[service] = self._compute_added_at(
                entry.contract, previous
            )

    def find_added_at(
        self, service: ids.ServiceName, upstream: contract_module.Upstream
    ) -> float | None:
        """Returns when an upstream was added to its contract.

        Returns:
            The time on this host's clock; None if the upstream counts as
            already warm.
        """
        self.refresh()
        key = (upstream.id, upstream.address)
        return self._added_at.get(service, {}).get(key)

    def _compute_added_at(
        self,
        contract: contract_module.Contract,
        previous: dict[_IdAndAddress, float | None] | None,
    ) -> dict[_IdAndAddress, float | None]:
        added_at: dict[_IdAndAddress, float | None] = {}
        for upstream in contract.upstreams:
            if upstream.state is contract_module.UpstreamState.DRAINING:
                # Draining upstreams are left out, so that one whose draining
                # is revoked counts as newly added: it has most likely been
                # restarted in the meantime.
                continue
            key = (upstream.id, upstream.address)
            default = None if previous is None else trio.current_time()
            added_at[key] = (previous or {}).get(key, default)
        return added_at
