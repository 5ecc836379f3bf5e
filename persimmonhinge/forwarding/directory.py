"""The upstreams that a host knows, by id, by service and by token."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import upstream as upstreams

_LIVE_STATES = (
    upstreams.UpstreamState.READY,
    upstreams.UpstreamState.DRAINING,
    upstreams.UpstreamState.MISSING,
)


class Directory:
    """Holds the upstreams as their newest entries describe them.

    One that has gone stays known for as long as a flow may last, so that
    packets of its flows are told apart from those of upstreams that this
    host has not heard of yet.

    Attributes:
        domains: Failure domains that an upstream has been in.
    """

    def __init__(self, retention_s: float) -> None:
        """Makes an empty directory.

        Args:
            keep_s: How long upstreams that have gone are remembered, seconds.
        """
        self._retention_s = retention_s
        self.domains: set[ids.DomainId] = set()
        self._by_id: dict[ids.UpstreamId, upstreams.Upstream] = {}
        self._by_token: dict[int, list[ids.UpstreamId]] = {}
        self._by_service: dict[ids.ServiceName, list[ids.UpstreamId]] = {}
        self._ended_at: dict[ids.UpstreamId, float] = {}
        self._warmed_up_at: dict[ids.UpstreamId, float] = {}
        # Those that are ready, until one of the service changes.
        self._ready: dict[ids.ServiceName, list[upstreams.Upstream]] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def put(self, upstream: upstreams.Upstream, now: float) -> None:
        """Takes in an entry."""
        former = self._by_id.get(upstream.id)
        if former is None:
            self._by_token.setdefault(upstream.token, []).append(upstream.id)
        if former is None or former.service != upstream.service:
            self._remove_from_service(former)
            named = self._by_service.setdefault(upstream.service, [])
            named.append(upstream.id)
        self._by_id[upstream.id] = upstream
        self.domains.add(upstream.domain)
        self._ready.pop(upstream.service, None)
        self._ended_at.pop(upstream.id, None)
        self._warmed_up_at[upstream.id] = now + upstream.warm_up_s

    def set_state(
        self, upstream: ids.UpstreamId, state: upstreams.UpstreamState
    ) -> None:
        """Sets the state of a known upstream whose entry is not there."""
        known = self._by_id[upstream]
        self._by_id[upstream] = records.replace(known, state=state)
        self._ready.pop(known.service, None)

    def remove(self, upstream: ids.UpstreamId, now: float) -> None:
        """Marks an upstream as gone; forgets those that went long ago."""
        if upstream in self._by_id:
            self.set_state(upstream, upstreams.UpstreamState.ENDED)
            self._ended_at[upstream] = now
        for old, gone_at in list(self._ended_at.items()):
            if gone_at + self._retention_s < now:
                self._evict(old)

    def get(self, upstream: ids.UpstreamId) -> upstreams.Upstream | None:
        """Returns an upstream, None if it is not known."""
        return self._by_id.get(upstream)

    def find_by_token(self, token: int) -> upstreams.Upstream | None:
        """Returns the upstream of a token.

        Returns None also where two upstreams share the token and both may
        live: a packet at the wrong one would break a flow that is whole.
        """
        found = [self._by_id[i] for i in self._by_token.get(token, ())]
        live = [u for u in found if u.state in _LIVE_STATES]
        candidates = live or found
        return candidates[0] if len(candidates) == 1 else None

    def has_unique_token(self, upstream: upstreams.Upstream) -> bool:
        """Tells whether the token of a live upstream finds it."""
        if len(self._by_token[upstream.token]) == 1:
            return True
        return self.find_by_token(upstream.token) is upstream

    def list_in_state(
        self, service: ids.ServiceName, state: upstreams.UpstreamState
    ) -> list[upstreams.Upstream]:
        """Returns the upstreams of a service that are in a state."""
        known = (self._by_id[i] for i in self._by_service.get(service, ()))
        return [u for u in known if u.state is state]

    def list_ready(
        self, service: ids.ServiceName
    ) -> Sequence[upstreams.Upstream]:
        """Returns those of a service that are ready, the same list as before.

        It is another list once an upstream of the service has changed.
        """
        ready = self._ready.get(service)
        if ready is None:
            ready = self.list_in_state(service, upstreams.UpstreamState.READY)
            self._ready[service] = ready
        return ready

    def list_all(self) -> Iterable[upstreams.Upstream]:
        """Returns all upstreams, those that have gone included."""
        return list(self._by_id.values())

    def is_warming_up(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Tells whether an upstream is still slow after its start."""
        return now < self._warmed_up_at.get(upstream, 0.0)

    def _remove_from_service(self, upstream: upstreams.Upstream | None) -> None:
        if upstream is not None:
            self._by_service[upstream.service].remove(upstream.id)
            self._ready.pop(upstream.service, None)

    def _evict(self, upstream: ids.UpstreamId) -> None:
        known = self._by_id.pop(upstream)
        self._remove_from_service(known)
        self._by_token[known.token].remove(upstream)
        if not self._by_token[known.token]:
            del self._by_token[known.token]
        del self._ended_at[upstream]
        del self._warmed_up_at[upstream]
