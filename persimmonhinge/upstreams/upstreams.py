"""The upstreams of which this host is, or recently was, the keeper."""

from __future__ import annotations

import logging

from persimmonhinge import ids
from persimmonhinge.contracts import contract
from persimmonhinge.peers.messages import feeds
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import added_upstreams
from persimmonhinge.upstreams import context as context_module
from persimmonhinge.upstreams import kept_upstream
from persimmonhinge.upstreams import roles as roles_module
from persimmonhinge.upstreams import slow_start as slow_start_module
from persimmonhinge.upstreams import target as target_module

logger = logging.getLogger(__name__)

_KeyAndAddress = tuple[ids.UpstreamId, contract.Address]


class KeptUpstreams:
    """Holds the upstreams of which this host is or recently was the keeper.

    An upstream whose address changes is treated as a new upstream. Requests
    that run at the old address finish there.
    """

    def __init__(
        self, context: context_module.KeeperContext, roles: roles_module.Roles
    ) -> None:
        self._context = context
        self._roles = roles
        self._kept: dict[_KeyAndAddress, kept_upstream.KeptUpstream] = {}
        self._added_upstreams = added_upstreams.AddedUpstreams(
            context.contracts
        )

    def get_or_create(
        self, target: target_module.Target
    ) -> kept_upstream.KeptUpstream:
        """Returns the `KeptUpstream` of a target; creates it if missing."""
        key_and_address = (target.key, target.upstream.address)
        kept = self._kept.get(key_and_address)
        if kept is None:
            added_at = self._added_upstreams.find_added_at(
                target.service, target.upstream
            )
            slow_start = slow_start_module.SlowStart(added_at)
            kept = kept_upstream.KeptUpstream(self._context, target, slow_start)
            self._kept[key_and_address] = kept
        elif kept.target != target:
            kept.update(target)
        return kept

    def list_kept(self) -> list[kept_upstream.KeptUpstream]:
        """Returns the upstreams of which this host is currently the keeper."""
        return [k for k in self._kept.values() if self._is_kept(k)]

    def list_all(self) -> list[kept_upstream.KeptUpstream]:
        """Returns all upstreams, including those that have a new keeper."""
        return list(self._kept.values())

    def refresh(self) -> None:
        """Applies changes of the view and of the contracts."""
        self._added_upstreams.refresh()
        for target in self._roles.list_targets():
            if self._roles.is_kept_here(target):
                self.get_or_create(target)
        for kept in self.list_all():
            self._release_if_moved(kept)

    def run_periodic_tasks(self) -> None:
        """Starts queued jobs in free slots and closes sockets that are idle.

        Upstreams that are idle and no longer kept by this host are removed.
        """
        for kept in self.list_all():
            kept.slots.start_queued_jobs()
            kept.endpoints.close_idle()
            if kept.is_idle and not self._is_kept(kept):
                kept.endpoints.close()
                key_and_address = (
                    kept.target.key,
                    kept.target.upstream.address,
                )
                del self._kept[key_and_address]

    def _is_kept(self, kept: kept_upstream.KeptUpstream) -> bool:
        current = self._find_current_target(kept)
        return current is not None and self._roles.is_kept_here(current)

    def _find_current_target(
        self, kept: kept_upstream.KeptUpstream
    ) -> target_module.Target | None:
        upstream = kept.target.upstream
        entry = self._context.contracts.get(kept.target.service)
        if entry is None:
            return None
        found = entry.contract.get_upstream(ids.UpstreamId(upstream.id))
        if found is None or found.address != upstream.address:
            return None
        return target_module.Target(entry, found)

    def _release_if_moved(self, kept: kept_upstream.KeptUpstream) -> None:
        current = self._find_current_target(kept)
        if current is None:
            kept.slots.finish_queued_jobs(work.Dispatched(work.Outcome.STALE))
            kept.request_feed_moves(feeds.FeedEndCause.DRAINING)
        elif not self._roles.is_kept_here(current):
            keeper = self._roles.find_keeper(current)
            kept.slots.finish_queued_jobs(
                make_not_keeper_outcome(keeper.host if keeper else None)
            )
            kept.request_feed_moves(feeds.FeedEndCause.MOVED)


def make_not_keeper_outcome(keeper: ids.HostId | None) -> work.Dispatched:
    """Returns the outcome sent by a host that is not the upstream's keeper."""
    return work.Dispatched(
        work.Outcome.NOT_KEEPER,
        reason="another host keeps the upstream",
        keeper=keeper or ids.HostId(""),
    )
