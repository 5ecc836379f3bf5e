"""Upstreams known to a host, indexed by id, service and routing token."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Sequence

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import service_limit
from persimmonhinge.forwarding import upstream as upstream_module

_LIVE_STATES = (
    upstream_module.UpstreamState.READY,
    upstream_module.UpstreamState.DRAINING,
    upstream_module.UpstreamState.MISSING,
)

# Maximum number of failure domains without upstreams: more than a deployment
# has. Hosts there may still have demand.
_MAX_EMPTY_DOMAINS = 64


class Directory:
    """Holds the upstreams as described by their newest entries.

    An ended upstream is retained for the maximum lifetime of a flow, so that
    packets of its flows can be distinguished from packets for upstreams that
    this host has not learned of yet. Of those with the same token, only the
    newest one is retained, so the number of upstreams does not grow with the
    number of their starts.

    Attributes:
        domains: Failure domains in which an upstream has been seen. Of those
            that have none any more, only the newest are retained.
    """

    def __init__(self, retention_s: float) -> None:
        """Creates an empty directory.

        Args:
            retention_s: Time for which ended upstreams are retained, seconds.
        """
        self._retention_s = retention_s
        self.domains: set[ids.DomainId] = set()
        self._domain_sizes: dict[ids.DomainId, int] = {}
        # In the order in which their last upstream was removed.
        self._empty_domains: dict[ids.DomainId, None] = {}
        self._by_id: dict[ids.UpstreamId, upstream_module.Upstream] = {}
        self._by_token: dict[int, list[ids.UpstreamId]] = {}
        self._by_service: dict[ids.ServiceName, list[ids.UpstreamId]] = {}
        # In the order of time.
        self._ended_at: collections.OrderedDict[ids.UpstreamId, float] = (
            collections.OrderedDict()
        )
        # Ended upstreams that had not announced to leave.
        self._lapsed: set[ids.UpstreamId] = set()
        # The upstream that was added or changed last at each address.
        self._newest_at: dict[flow.Endpoint, ids.UpstreamId] = {}
        self._warmed_up_at: dict[ids.UpstreamId, float] = {}
        # Cached ready upstreams; dropped when an upstream of the service
        # changes.
        self._ready: dict[ids.ServiceName, list[upstream_module.Upstream]] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def put(self, upstream: upstream_module.Upstream, now: float) -> None:
        """Adds an upstream, or replaces its description by a newer one."""
        former = self._by_id.get(upstream.id)
        if former is not None and former.token != upstream.token:
            self._by_token[former.token].remove(former.id)
            self._add_ended(former, now)
        if former is None or former.token != upstream.token:
            self._by_token.setdefault(upstream.token, []).append(upstream.id)
        if former is None or former.service != upstream.service:
            self._remove_from_service(former)
            upstream_ids = self._by_service.setdefault(upstream.service, [])
            upstream_ids.append(upstream.id)
        self._add_to_domain(upstream)
        self._remove_from_domain(former)
        self._by_id[upstream.id] = upstream
        self._ready.pop(upstream.service, None)
        self._ended_at.pop(upstream.id, None)
        self._lapsed.discard(upstream.id)
        self._release_address(former)
        self._newest_at[upstream.address] = upstream.id
        self._warmed_up_at[upstream.id] = now + upstream.warm_up_s

    def set_state(
        self, upstream_id: ids.UpstreamId, state: upstream_module.UpstreamState
    ) -> None:
        """Sets the state of a known upstream; keeps its other fields."""
        known = self._by_id[upstream_id]
        self._by_id[upstream_id] = records.replace(known, state=state)
        self._ready.pop(known.service, None)

    def mark_ended(self, upstream_id: ids.UpstreamId, now: float) -> None:
        """Marks an upstream as ended; evicts those past their retention."""
        known = self._by_id.get(upstream_id)
        if known is not None:
            self.set_state(upstream_id, upstream_module.UpstreamState.ENDED)
            self._ended_at[upstream_id] = now
            self._ended_at.move_to_end(upstream_id)
            self._evict_ended_before(known)
        while self._ended_at:
            oldest = next(iter(self._ended_at))
            if self._ended_at[oldest] + self._retention_s >= now:
                break
            self._evict(oldest)

    def mark_lapsed(self, upstream_id: ids.UpstreamId, now: float) -> None:
        """Marks an upstream as ended that had not announced to leave."""
        self.mark_ended(upstream_id, now)
        if upstream_id in self._by_id:
            self._lapsed.add(upstream_id)

    def has_lapsed(self, upstream: upstream_module.Upstream) -> bool:
        """Returns whether an upstream ended that may still run.

        It had not announced to leave, and no other one uses its address since.
        """
        return (
            upstream.id in self._lapsed
            and self._newest_at.get(upstream.address) == upstream.id
        )

    def get(
        self, upstream_id: ids.UpstreamId
    ) -> upstream_module.Upstream | None:
        """Returns an upstream, or None if it is unknown."""
        return self._by_id.get(upstream_id)

    def find_by_token(self, token: int) -> upstream_module.Upstream | None:
        """Returns the upstream that a routing token identifies.

        An ended upstream is returned only if no running one has the token.
        Returns None if the token is unknown, and if two upstreams share it
        and both may be running: sending a packet to the wrong one would break
        an intact flow.
        """
        with_token = [self._by_id[i] for i in self._by_token.get(token, ())]
        running = [u for u in with_token if u.state in _LIVE_STATES]
        candidates = running or with_token
        return candidates[0] if len(candidates) == 1 else None

    def has_successor(self, upstream: upstream_module.Upstream) -> bool:
        """Returns whether packets of an ended upstream go to another one."""
        if upstream.state in _LIVE_STATES:
            return False
        return self.find_by_token(upstream.token) is not upstream

    def has_unique_token(self, upstream: upstream_module.Upstream) -> bool:
        """Returns whether the token of a running upstream identifies it."""
        if len(self._by_token[upstream.token]) == 1:
            return True
        return self.find_by_token(upstream.token) is upstream

    def list_in_state(
        self, service: ids.ServiceName, state: upstream_module.UpstreamState
    ) -> list[upstream_module.Upstream]:
        """Returns the upstreams of a service that are in the given state."""
        known = (self._by_id[i] for i in self._by_service.get(service, ()))
        return [u for u in known if u.state is state]

    def list_ready(
        self, service: ids.ServiceName
    ) -> Sequence[upstream_module.Upstream]:
        """Returns the ready upstreams of a service.

        Calls return the same list object until an upstream of the service
        changes; after that, a new one.
        """
        ready = self._ready.get(service)
        if ready is None:
            ready = self.list_in_state(
                service, upstream_module.UpstreamState.READY
            )
            self._ready[service] = ready
            service_limit.remove_oldest(self._ready)
        return ready

    def list_all(self) -> Iterable[upstream_module.Upstream]:
        """Returns all upstreams, including those that have ended."""
        return list(self._by_id.values())

    def is_warming_up(self, upstream_id: ids.UpstreamId, now: float) -> bool:
        """Returns whether an upstream has just started and is still slow."""
        return now < self._warmed_up_at.get(upstream_id, 0.0)

    def _remove_from_service(
        self, upstream: upstream_module.Upstream | None
    ) -> None:
        if upstream is None:
            return
        self._by_service[upstream.service].remove(upstream.id)
        if not self._by_service[upstream.service]:
            del self._by_service[upstream.service]
        self._ready.pop(upstream.service, None)

    def _add_to_domain(self, upstream: upstream_module.Upstream) -> None:
        domain = upstream.domain
        self._domain_sizes[domain] = self._domain_sizes.get(domain, 0) + 1
        self._empty_domains.pop(domain, None)
        self.domains.add(domain)

    def _remove_from_domain(
        self, upstream: upstream_module.Upstream | None
    ) -> None:
        if upstream is None:
            return
        domain = upstream.domain
        self._domain_sizes[domain] -= 1
        if self._domain_sizes[domain]:
            return
        del self._domain_sizes[domain]
        self._empty_domains[domain] = None
        if len(self._empty_domains) > _MAX_EMPTY_DOMAINS:
            oldest = next(iter(self._empty_domains))
            del self._empty_domains[oldest]
            self.domains.discard(oldest)

    def _add_ended(self, former: upstream_module.Upstream, now: float) -> None:
        """Adds an ended upstream for the former token of a running one.

        Guards against packets of its flows that reach the other service to
        which the upstream belongs now.
        """
        upstream_id = ids.UpstreamId(f"{former.id}/{former.service}")
        self.put(records.replace(former, id=upstream_id), now)
        self.mark_ended(upstream_id, now)

    def _evict_ended_before(self, ended: upstream_module.Upstream) -> None:
        """Evicts the upstreams with the same token that ended before."""
        for upstream_id in list(self._by_token[ended.token]):
            if upstream_id != ended.id and upstream_id in self._ended_at:
                self._evict(upstream_id)

    def _release_address(
        self, upstream: upstream_module.Upstream | None
    ) -> None:
        """Removes the address of an upstream, unless another one uses it."""
        if upstream is None:
            return
        if self._newest_at.get(upstream.address) == upstream.id:
            del self._newest_at[upstream.address]

    def _evict(self, upstream_id: ids.UpstreamId) -> None:
        known = self._by_id.pop(upstream_id)
        self._remove_from_service(known)
        self._remove_from_domain(known)
        self._by_token[known.token].remove(upstream_id)
        if not self._by_token[known.token]:
            del self._by_token[known.token]
        del self._ended_at[upstream_id]
        self._lapsed.discard(upstream_id)
        self._release_address(known)
        del self._warmed_up_at[upstream_id]
