"""Conditions that an upstream has to meet to receive a new flow."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding.decisions.placement import (
    warm_up_shares as warm_up_shares_module,
)
from persimmonhinge.forwarding.decisions.upstream_health import (
    suspicions as suspicions_module,
)
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonhinge.forwarding.decisions.placement import (
        flow_cap as flow_cap_module,
    )
    from persimmonhinge.forwarding.decisions.upstream_health import (
        quality as quality_module,
    )


class NewFlow(records.Record, frozen=True):
    """Properties of a new flow that decide which upstreams may receive it.

    Attributes:
        service: Service of the flow.
        excluded_domains: Failure domains that must not receive the flow.
        tried_upstreams: Upstreams that left an opening packet of the flow
            unanswered.
        now: The current time, seconds.
        flow_cap: Limit on the open flows at an upstream; None if the flow does
            not take part in overload control.
    """

    service: ids.ServiceName
    excluded_domains: frozenset[ids.DomainId]
    tried_upstreams: Collection[ids.UpstreamId]
    now: float
    flow_cap: flow_cap_module.FlowCap | None = None


class Eligibility:
    """Decides which upstreams may receive a new flow.

    Each choice of an upstream applies these conditions. Some are mandatory: a
    flow is refused if no upstream meets them. The others are preferences, and
    are ignored if no upstream meets them.
    """

    def __init__(
        self,
        knowledge: knowledge_module.Knowledge,
        suspicions: suspicions_module.Suspicions,
        warm_up_shares: warm_up_shares_module.WarmUpShares,
        regions: Mapping[ids.DomainId, ids.RegionId],
        quality: quality_module.UpstreamQuality | None = None,
    ) -> None:
        """Creates the conditions of one host.

        Args:
            knowledge: The host's view of the platform.
            suspicions: Upstreams that left opening packets unanswered.
            warm_up_shares: Shares of the host in the limits of upstreams that
                are warming up.
            regions: Region of each failure domain.
            quality: Upstreams that are held back as outliers; None if the host
                does not judge the quality of upstreams.
        """
        self._knowledge = knowledge
        self._suspicions = suspicions
        self._warm_up_shares = warm_up_shares
        self._regions = regions
        self.quality = quality

    def list_excluded_domains(
        self, route: route_module.Route
    ) -> frozenset[ids.DomainId]:
        """Returns the failure domains that a route's new flows must not use.

        These are the evacuated domains and those outside the route's regions.
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
        """Returns whether an upstream meets the mandatory conditions."""
        return (
            upstream.domain not in flow.excluded_domains
            and self._knowledge.directory.has_unique_token(upstream)
            and (
                flow.flow_cap is None or not flow.flow_cap.is_reached(upstream)
            )
            and self._is_within_warm_up_limit(upstream, flow)
        )

    def is_preferred(
        self, upstream: upstream_module.Upstream, flow: NewFlow
    ) -> bool:
        """Returns whether an upstream meets the preferences."""
        return self._meets_other_preferences(
            upstream, flow
        ) and not self._is_held_back(upstream, flow)

    def _meets_other_preferences(
        self, upstream: upstream_module.Upstream, flow: NewFlow
    ) -> bool:
        """Returns whether an upstream meets the preferences but for quality."""
        return (
            upstream.id not in flow.tried_upstreams
            and not self._suspicions.is_suspected(
                upstream.id, upstream.token, flow.now
            )
            and self._find_warm_up_limit(upstream, flow) is None
        )

    def find_probed_upstream(
        self, flow: NewFlow
    ) -> upstream_module.Upstream | None:
        """Returns the held-back upstream that a flow probes, None if none.

        A flow that was already tried elsewhere is not used as a probe.
        """
        if self.quality is None or flow.tried_upstreams:
            return None
        probed = self.quality.take_probe(flow.service, flow.now)
        if probed is None:
            return None
        upstream = self._knowledge.directory.get(probed)
        if (
            upstream is None
            or upstream.state is not upstream_module.UpstreamState.READY
            or not self._meets_other_preferences(upstream, flow)
            or not self.is_allowed(upstream, flow)
        ):
            return None
        return upstream

    def record_opening(
        self, upstream: upstream_module.Upstream, flow: NewFlow
    ) -> None:
        """Records that a flow was assigned to an upstream."""
        if self._find_warm_up_limit(upstream, flow) is not None:
            self._warm_up_shares.record_opening(upstream.id, flow.now)

    def _is_within_warm_up_limit(
        self, upstream: upstream_module.Upstream, flow: NewFlow
    ) -> bool:
        limit_per_s = self._find_warm_up_limit(upstream, flow)
        if limit_per_s is None:
            return True
        return self._warm_up_shares.may_open_flow(
            upstream.id, limit_per_s, flow.now
        )

    def _is_held_back(
        self, upstream: upstream_module.Upstream, flow: NewFlow
    ) -> bool:
        return self.quality is not None and self.quality.is_held_back(
            upstream, flow.now
        )

    def _find_warm_up_limit(
        self, upstream: upstream_module.Upstream, flow: NewFlow
    ) -> float | None:
        """Returns an upstream's limit in requests per second, or None.

        It has a limit while it is warming up, if its service sets one.
        """
        state = self._knowledge.state
        limit_per_s = state.warm_up_limits.get(flow.service) if state else None
        if limit_per_s is None:
            return None
        is_warming_up = self._knowledge.directory.is_warming_up(
            upstream.id, flow.now
        )
        return limit_per_s if is_warming_up else None
