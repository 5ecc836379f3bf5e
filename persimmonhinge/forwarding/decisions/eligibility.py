"""Which upstreams may take a new flow."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding.decisions import suspicions as suspicions_module
from persimmonhinge.forwarding.decisions import (
    warm_up_shares as warm_up_shares_module,
)


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
    unanswered: Collection[ids.UpstreamId]
    now: float


class Eligibility:
    """Conditions for new flows; all choices of an upstream ask here.

    Some conditions always hold, so that a flow is refused where no upstream
    meets them. The others give way where nothing else is left.
    """

    def __init__(
        self,
        knowledge: knowledge_module.Knowledge,
        suspicions: suspicions_module.Suspicions,
        warm_up_shares: warm_up_shares_module.WarmUpShares,
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
        self._warm_up_shares = warm_up_shares
        self._regions = regions

    def list_excluded_domains(
        self, route: route_module.Route
    ) -> frozenset[ids.DomainId]:
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

    def is_allowed(
        self, upstream: upstream_module.Upstream, flow: NewFlow
    ) -> bool:
        """Tells whether an upstream meets what always holds."""
        return (
            upstream.domain not in flow.excluded
            and self._knowledge.directory.is_unique(upstream)
            and self._has_warm_up_share(upstream, flow)
        )

    def is_preferred(
        self, upstream: upstream_module.Upstream, flow: NewFlow
    ) -> bool:
        """Tells whether an upstream also meets what may give way."""
        return (
            upstream.id not in flow.unanswered
            and not self._suspicions.is_suspected(
                upstream.id, upstream.token, flow.now
            )
            and self._find_warm_up_limit(upstream, flow) is None
        )

    def record_opening(
        self, upstream: upstream_module.Upstream, flow: NewFlow
    ) -> None:
        """Records that a flow goes to an upstream."""
        if self._find_warm_up_limit(upstream, flow) is not None:
            self._warm_up_shares.record_opening(upstream.id, flow.now)

    def _has_warm_up_share(
        self, upstream: upstream_module.Upstream, flow: NewFlow
    ) -> bool:
        limit_per_s = self._find_warm_up_limit(upstream, flow)
        if limit_per_s is None:
            return True
        return self._warm_up_shares.may_open_flow(
            upstream.id, limit_per_s, flow.now
        )

    def _find_warm_up_limit(
        self, upstream: upstream_module.Upstream, flow: NewFlow
    ) -> float | None:
        """Returns the requests a second that an upstream bears; None for any.

        It has a limit while it is cold, if its service has one.
        """
        state = self._knowledge.state
        limit_per_s = state.cold_limits.get(flow.service) if state else None
        if limit_per_s is None:
            return None
        is_cold = self._knowledge.directory.is_cold(upstream.id, flow.now)
        return limit_per_s if is_cold else None
