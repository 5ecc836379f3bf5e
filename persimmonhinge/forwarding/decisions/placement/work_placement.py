"""Placement of new flows by the work at the upstreams."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from persimmonhinge import ids
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding.decisions.placement import (
    candidates as candidates_module,
)
from persimmonhinge.forwarding.decisions.placement import (
    domain_choice as domain_choice_module,
)
from persimmonhinge.forwarding.decisions.placement import (
    domain_upstreams as domain_upstreams_module,
)
from persimmonhinge.forwarding.decisions.placement import (
    eligibility as eligibility_module,
)
from persimmonhinge.forwarding.decisions.placement import (
    flow_cap as flow_cap_module,
)
from persimmonhinge.forwarding.decisions.placement import (
    upstream_work as upstream_work_module,
)
from persimmonhinge.forwarding.decisions.placement import (
    work_source as work_source_module,
)
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.policies import choice

if TYPE_CHECKING:
    import random

    # Returns the speed of an upstream at a time, 0.1 to 1.
    CapacityFactor = Callable[[ids.UpstreamId, float], float]


class WorkPlacement:
    """Draws and weighs the upstreams for flows that take part.

    Attributes:
        flow_cap: Limit on the open flows at an upstream.
        policy: Chooses among the drawn upstreams.
        fallback_policy: Chooses if no upstream could be drawn by room.
    """

    def __init__(
        self,
        domains: domain_choice_module.DomainChoice,
        upstreams: domain_upstreams_module.DomainUpstreams,
        upstream_work: upstream_work_module.UpstreamWork,
        work: work_source_module.WorkSource,
        flow_cap: flow_cap_module.FlowCap,
        randomness: random.Random,
        capacity_factor: CapacityFactor | None = None,
    ) -> None:
        """Creates the placement of a host.

        Args:
            domains: Chooses the failure domain.
            upstreams: The ready upstreams by failure domain.
            upstream_work: The work at each upstream.
            work: Expected work of requests.
            flow_cap: Limit on the open flows at an upstream.
            randomness: Source of random numbers.
            capacity_factor: Returns the learned speed of an upstream; None if
                all have the same speed.
        """
        self.flow_cap = flow_cap
        self.policy = choice.choice_policies.get("by-work")(randomness)
        self.fallback_policy = choice.choice_policies.get("near-first")(
            randomness
        )
        self._domains = domains
        self._upstreams = upstreams
        self._upstream_work = upstream_work
        self._work = work
        self._random = randomness
        self._capacity_factor = capacity_factor

    def draw(
        self,
        new_flow: eligibility_module.NewFlow,
        is_usable: Callable[[upstream_module.Upstream], bool],
    ) -> Sequence[upstream_module.Upstream]:
        """Returns a sample of the usable upstreams of one failure domain.

        Args:
            new_flow: The flow.
            is_usable: Returns whether an upstream may receive the flow.

        Returns:
            The sample; empty if no domain has room or no usable upstream was
            drawn.
        """
        domain = self._domains.choose(
            new_flow.service, new_flow.excluded_domains, new_flow.now
        )
        if domain is None:
            return ()
        ready = self._upstreams.list_ready(new_flow.service, domain)
        return candidates_module.draw_usable(ready, is_usable, self._random)

    def weigh(
        self,
        candidates: Sequence[choice.Candidate],
        upstreams: Sequence[upstream_module.Upstream],
        route: route_module.Route,
        now: float,
    ) -> list[choice.Candidate]:
        """Returns candidates with their load in work instead of requests.

        If all hosts followed reports that are older than the requests in them,
        they would fill the upstreams that were idle then until the next
        reports. So only a part of the choices uses the reported requests, by
        the age of the reports. Reported open flows last longer, and flows that
        will bring more requests themselves are balanced by them in all
        choices. Flows of a single request are not: while they follow the
        reports, they do not change them.

        Args:
            candidates: The candidates, with numbers of requests.
            upstreams: Their upstreams, in the same order.
            route: Route of the new flow.
            now: The current time, seconds.
        """
        work = self._upstream_work
        address = route.virtual_address
        share = work.compute_report_share(upstreams[0], now)
        uses_requests = self._random.random() < share
        uses_flows = uses_requests or work.brings_more_requests(address, now)
        new_s = self._work.expected_work_s(address)
        return [
            self._weigh(c, upstream, new_s, (uses_requests, uses_flows), now)
            for c, upstream in zip(candidates, upstreams, strict=True)
        ]

    def _weigh(
        self,
        candidate: choice.Candidate,
        upstream: upstream_module.Upstream,
        new_s: float,
        used_reports: tuple[bool, bool],
        now: float,
    ) -> choice.Candidate:
        """Returns one candidate with its load in work.

        Args:
            candidate: The candidate, with numbers of requests.
            upstream: Its upstream.
            new_s: Work of the new flow's first request, seconds.
            used_reports: Whether to use the reported requests, and the
                reported open flows.
            now: The current time, seconds.
        """
        work = self._upstream_work
        own_s = work.compute_own_in_flight(upstream)
        load_s = own_s + new_s
        open_flows_s = work.compute_own_open_flows(upstream, now)
        uses_requests, uses_flows = used_reports
        if uses_requests:
            load_s += work.compute_reported_in_flight(upstream, now)
        if uses_flows:
            open_flows_s += work.compute_reported_open_flows(upstream, now)
        factor = 1.0
        if self._capacity_factor is not None:
            factor = self._capacity_factor(upstream.id, now)
        return choice.Candidate(
            upstream=upstream.id,
            capacity=candidate.capacity * factor,
            load=load_s,
            own_load=own_s,
            recent_load=open_flows_s,
            same_domain=candidate.same_domain,
        )
