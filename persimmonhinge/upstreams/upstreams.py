"""The upstreams that this host keeps."""

from __future__ import annotations

import logging

from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.peers.messages import feeds
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import context as contexts
from persimmonhinge.upstreams import kept_upstream as kept_parts
from persimmonhinge.upstreams import newcomers
from persimmonhinge.upstreams import roles as role_parts
from persimmonhinge.upstreams import slow_start as slow_starts
from persimmonhinge.upstreams import target as targets

logger = logging.getLogger(__name__)

_Place = tuple[ids.UpstreamId, contracts.Address]


class KeptUpstreams:
    """Holds the upstreams that this host keeps, or kept until lately.

    An upstream whose address changes is another one: work at the former
    address goes on to its end there.
    """

    def __init__(
        self, context: contexts.KeeperContext, roles: role_parts.Roles
    ) -> None:
        self._context = context
        self._roles = roles
        self._kept: dict[_Place, kept_parts.KeptUpstream] = {}
        self._newcomers = newcomers.Newcomers(context.contracts)

    def get(self, target: targets.Target) -> kept_parts.KeptUpstream:
        """Returns an upstream that this host keeps, new if need be."""
        place = (target.key, target.upstream.address)
        kept = self._kept.get(place)
        if kept is None:
            begun_at = self._newcomers.find_beginning(
                target.service, target.upstream
            )
            slow_start = slow_starts.SlowStart(begun_at)
            kept = kept_parts.KeptUpstream(self._context, target, slow_start)
            self._kept[place] = kept
        elif kept.target != target:
            kept.update(target)
        return kept

    def list_kept(self) -> list[kept_parts.KeptUpstream]:
        """Returns those of which this host is the keeper now."""
        return [k for k in self._kept.values() if self._is_kept(k)]

    def list_all(self) -> list[kept_parts.KeptUpstream]:
        """Returns all, those it kept until lately included."""
        return list(self._kept.values())

    def refresh(self) -> None:
        """Takes in a change of the view or of a contract."""
        self._newcomers.refresh()
        for target in self._roles.list_targets():
            if self._roles.keeps(target):
                self.get(target)
        for kept in self.list_all():
            self._check_role(kept)

    def tidy(self) -> None:
        """Does what only time brings about."""
        for kept in self.list_all():
            kept.slots.start_queued_jobs()
            kept.endpoints.close_idle()
            if kept.is_idle and not self._is_kept(kept):
                kept.endpoints.close()
                place = (kept.target.key, kept.target.upstream.address)
                del self._kept[place]

    def _is_kept(self, kept: kept_parts.KeptUpstream) -> bool:
        current = self._find_current(kept)
        return current is not None and self._roles.keeps(current)

    def _find_current(
        self, kept: kept_parts.KeptUpstream
    ) -> targets.Target | None:
        upstream = kept.target.upstream
        entry = self._context.contracts.get(kept.target.service)
        if entry is None:
            return None
        found = entry.contract.get_upstream(ids.UpstreamId(upstream.id))
        if found is None or found.address != upstream.address:
            return None
        return targets.Target(entry, found)

    def _check_role(self, kept: kept_parts.KeptUpstream) -> None:
        current = self._find_current(kept)
        if current is None:
            kept.slots.finish_queued_jobs(work.Dispatched(work.Outcome.STALE))
            kept.request_feed_moves(feeds.FeedEndCause.DRAINING)
        elif not self._roles.keeps(current):
            keeper = self._roles.find_keeper(current)
            kept.slots.finish_queued_jobs(
                refuse_role(keeper.host if keeper else None)
            )
            kept.request_feed_moves(feeds.FeedEndCause.MOVED)


def refuse_role(keeper: ids.HostId | None) -> work.Dispatched:
    """Returns the answer of a host that does not keep the upstream."""
    return work.Dispatched(
        work.Outcome.NOT_KEEPER,
        reason="another host keeps the upstream",
        keeper=keeper or ids.HostId(""),
    )
