"""Which upstreams may take a new flow."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.forwarding import route as routes
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.forwarding.decisions import cold_shares as cold_share_books
from persimmonhinge.forwarding.decisions import suspicions as suspicion_lists


class NewFlow(records.Record, frozen=True):
    """What decides which upstreams may take a flow.

    Attributes:
        service: The service of the flow.
        excluded: Failure domains that must not get it.
        without: Upstreams that have left an opening packet of it unanswered.
        at: The time.
    """

    service: ids.ServiceName
    excluded: frozenset[ids.DomainId]
    without: Collection[ids.UpstreamId]
    at: float


class Eligibility:
    """Conditions for new flows; all choices of an upstream ask here.

    Some conditions always hold, so that a flow is refused where no upstream
    meets them. The others give way where nothing else is left.
    """

    def __init__(
        self,
        knowledge: knowledge_parts.Knowledge,
        suspicions: suspicion_lists.Suspicions,
        cold_shares: cold_share_books.ColdShares,
        regions: Mapping[ids.DomainId, ids.RegionId],
    ) -> None:
        """Makes the conditions of one host.

        Args:
            knowledge: What it believes of the platform.
            suspicions: Upstreams that left opening packets unanswered.
            cold_shares: What it may send to upstreams that are cold.
            regions: The region of each failure domain.
        """
        self._knowledge = knowledge
        self._suspicions = suspicions
        self._cold_shares = cold_shares
        self._regions = regions

    def list_excluded(self, route: routes.Route) -> frozenset[ids.DomainId]:
        """Returns the failure domains that no new flow of a route may go to.

        These are the evacuated ones and those outside the route's regions.
        """
        evacuated = self._knowledge.evacuated
        if not route.regions:
            return evacuated
        return evacuated | {
            domain
            for domain in self._knowledge.directory.domains
            if self._regions.get(domain) not in route.regions
        }

    def may_take(self, upstream: upstreams.Upstream, flow: NewFlow) -> bool:
        """Tells whether an upstream meets what always holds."""
        return (
            upstream.domain not in flow.excluded
            and self._knowledge.directory.has_unique_token(upstream)
            and self._has_cold_share(upstream, flow)
        )

    def should_take(self, upstream: upstreams.Upstream, flow: NewFlow) -> bool:
        """Tells whether an upstream also meets what may give way."""
        return (
            upstream.id not in flow.without
            and not self._suspicions.holds(upstream.id, upstream.token, flow.at)
            and self._find_cold_limit(upstream, flow) is None
        )

    def record_opening(
        self, upstream: upstreams.Upstream, flow: NewFlow
    ) -> None:
        """Records that a flow goes to an upstream."""
        if self._find_cold_limit(upstream, flow) is not None:
            self._cold_shares.record_opening(upstream.id, flow.at)

    def _has_cold_share(
        self, upstream: upstreams.Upstream, flow: NewFlow
    ) -> bool:
        limit_per_s = self._find_cold_limit(upstream, flow)
        if limit_per_s is None:
            return True
        return self._cold_shares.has_room(upstream.id, limit_per_s, flow.at)

    def _find_cold_limit(
        self, upstream: upstreams.Upstream, flow: NewFlow
    ) -> float | None:
        """Returns the requests a second that an upstream bears; None for any.

        It has a limit while it is cold, if its service has one.
        """
        state = self._knowledge.state
        limit_per_s = state.warm_up_limits.get(flow.service) if state else None
        if limit_per_s is None:
            return None
        is_cold = self._knowledge.directory.is_warming_up(upstream.id, flow.at)
        return limit_per_s if is_cold else None
