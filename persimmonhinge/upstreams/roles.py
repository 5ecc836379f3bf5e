"""Which upstreams this host keeps, and what their contracts say."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.contracts import store
from persimmonhinge.membership import member
from persimmonhinge.membership import placement as placement_module
from persimmonhinge.membership import view as view_module
from persimmonhinge.upstreams import target as target_module


class Roles:
    """Answers from this host's own view and its newest contracts.

    The keeper of each upstream is worked out once for each change of the
    view, not for each request.
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
        """Returns an upstream that a home has routed to.

        Guards against a packet for one service that reaches another: hosts
        may hold different revisions, and an address may have moved between
        services. Only the newest contract of this host says where an
        upstream is, and its address must belong to just this service.

        Returns:
            None if the home's contract is newer, or the upstream is not one
            of the service.
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
        """Returns the host that keeps an upstream."""
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
        """Tells whether this host keeps an upstream."""
        if target.upstream.domain != self._view.self_member.domain:
            # Spares the hash of all hosts of ten other domains out of eleven.
            return False
        keeper = self.find_keeper(target)
        return keeper is not None and keeper.host == self._view.me

    def find_target_by_key(
        self, key: ids.UpstreamId
    ) -> target_module.Target | None:
        """Returns an upstream by its name across services."""
        service, _, upstream = key.partition("/")
        revision = ids.Revision(0)
        return self.find_target(
            ids.ServiceName(service), revision, ids.UpstreamId(upstream)
        )

    def list_targets(self) -> list[target_module.Target]:
        """Returns all upstreams of all contracts."""
        return [
            target_module.Target(entry, upstream)
            for entry in self._contracts.entries()
            for upstream in entry.contract.upstreams
        ]
