"""Looks up upstreams in the current contracts, and their keepers."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.contracts import store
from persimmonhinge.membership import member
from persimmonhinge.membership import placement as placement_module
from persimmonhinge.membership import view as view_module
from persimmonhinge.upstreams import target as target_module


class Roles:
    """Looks up upstreams and keepers in this host's view and contracts.

    Only the newest revision of each contract is used. The keeper of an
    upstream is computed once per change of the view, not per request.
    """

    def __init__(
        self,
        view: view_module.View,
        placement: placement_module.Placement,
        contracts: store.ContractStore,
    ) -> None:
        self._view = view
        self._placement = placement
        self._contracts = contracts
        self._view_version = -1
        self._keepers: dict[
            tuple[ids.UpstreamId, str], member.Member | None
        ] = {}

    def find_target(
        self,
        service: ids.ServiceName,
        revision: ids.Revision,
        upstream: ids.UpstreamId,
    ) -> target_module.Target | None:
        """Returns an upstream that a home has selected for a request.

        Guards against sending a packet of one service to an upstream of
        another: hosts may hold different contract revisions, and an address
        may have moved between services. The address is therefore taken only
        from this host's newest contract, and it must belong to this service
        alone.

        Args:
            service: The service of the request.
            revision: Contract revision by which the home selected the
                upstream.
            upstream: Name of the upstream within the service.

        Returns:
            The upstream; None if the home's contract is newer, this host's
            contract does not contain the upstream, or this host may not
            currently send requests of the service to its address.
        """
        entry = self._contracts.get(service)
        if entry is None or entry.revision < revision:
            return None
        found = entry.contract.get_upstream(upstream)
        if found is None:
            return None
        if not self._contracts.may_give_work(service, found.address):
            return None
        return target_module.Target(entry, found)

    def find_keeper(self, target: target_module.Target) -> member.Member | None:
        """Returns the keeper of an upstream, None if there is none."""
        if self._view_version != self._view.changed.version:
            self._view_version = self._view.changed.version
            self._keepers.clear()
        placement_key = (target.key, target.upstream.domain)
        if placement_key not in self._keepers:
            self._keepers[placement_key] = self._placement.find_keeper(
                *placement_key
            )
        return self._keepers[placement_key]

    def is_kept_here(self, target: target_module.Target) -> bool:
        """Returns whether this host is the keeper of an upstream."""
        if target.upstream.domain != self._view.self_member.domain:
            # Only hosts in the upstream's domain can be its keeper. With
            # eleven domains, this check avoids hashing all hosts for the
            # upstreams of the other ten.
            return False
        keeper = self.find_keeper(target)
        return keeper is not None and keeper.host == self._view.me

    def find_target_by_key(
        self, key: ids.UpstreamId
    ) -> target_module.Target | None:
        """Returns an upstream by its `service/upstream` key."""
        service, _, upstream = key.partition("/")
        revision = ids.Revision(0)
        return self.find_target(
            ids.ServiceName(service), revision, ids.UpstreamId(upstream)
        )

    def list_targets(self) -> list[target_module.Target]:
        """Returns the upstreams of all contracts."""
        return [
            target_module.Target(entry, upstream)
            for entry in self._contracts.entries()
            for upstream in entry.contract.upstreams
        ]
