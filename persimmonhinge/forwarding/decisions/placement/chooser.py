"""Choice of the upstream for a new flow."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import math

import xxhash

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import flow as flow_module
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding.decisions.placement import (
    candidates as candidates_module,
)
from persimmonhinge.forwarding.decisions.placement import (
    eligibility as eligibility_module,
)
from persimmonhinge.forwarding.decisions.placement import loads as loads_module
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.policies import choice

if TYPE_CHECKING:
    import random

    from persimmonhinge.forwarding.decisions.placement import (
        work_placement as work_placement_module,
    )

# Time for which a service counts as full after no upstream was found for a flow
# that takes part in overload control, seconds. Below the 200 ms after which
# callers send a copy of an opening packet.
_FULL_FOR_S = 0.05
# Maximum number of services and excluded domains in memory that were full.
_MAX_FULL_GROUPS = 1024


class ChosenUpstream(records.Record, frozen=True):
    """An upstream that was chosen, with the input of the choice.

    Attributes:
        upstream: The upstream.
        candidate: Its load and capacity, as the policy received them.
        candidate_count: Number of upstreams that were compared.
    """

    upstream: upstream_module.Upstream
    candidate: choice.Candidate
    candidate_count: int


class UpstreamChooser:
    """Chooses one of the upstreams that may receive a new flow.

    Attributes:
        placement: Places flows of routes that take part in overload control;
            None to choose for them as for all others.
    """

    def __init__(
        self,
        domain: ids.DomainId,
        knowledge: knowledge_module.Knowledge,
        loads: loads_module.LoadTable,
        eligibility: eligibility_module.Eligibility,
        policy: choice.ChoicePolicy,
        randomness: random.Random,
        placement: work_placement_module.WorkPlacement | None = None,
    ) -> None:
        """Creates the chooser of a host.

        Args:
            domain: Failure domain of the host.
            knowledge: The host's view of the platform.
            loads: Requests in flight at each upstream.
            eligibility: Conditions that upstreams have to meet.
            policy: Chooses among the compared upstreams.
            randomness: Source of random numbers.
            placement: See the attribute.
        """
        self._domain = domain
        self._knowledge = knowledge
        self._loads = loads
        self._eligibility = eligibility
        self._policy = policy
        self.placement = placement
        self._full_at: dict[
            tuple[ids.ServiceName, frozenset[ids.DomainId]], float
        ] = {}
        self._pool = candidates_module.CandidatePool(
            domain, knowledge.directory, randomness
        )

    def choose(
        self,
        route: route_module.Route,
        flow: flow_module.FlowId,
        now: float,
        tried_upstreams: Collection[ids.UpstreamId] = (),
    ) -> ChosenUpstream | None:
        """Returns the upstream for a new flow, None if there is none.

        Args:
            route: Route of the flow.
            flow: The flow.
            now: The current time, seconds.
            tried_upstreams: Upstreams that left an opening packet of this flow
                unanswered; chosen only if there is no other.
        """
        placement = self._find_placement(route)
        new_flow = eligibility_module.NewFlow(
            choose_service(route, flow),
            self._eligibility.list_excluded_domains(route),
            tried_upstreams,
            now,
            placement.flow_cap if placement is not None else None,
        )
        chosen = self._choose_probed(new_flow)
        if chosen is None and placement is not None:
            chosen = self._choose_by_work(placement, route, new_flow)
        if chosen is None:
            chosen = self._choose_by_load(placement, new_flow)
        if chosen is not None:
            self._eligibility.record_opening(chosen.upstream, new_flow)
        return chosen

    def _find_placement(
        self, route: route_module.Route
    ) -> work_placement_module.WorkPlacement | None:
        """Returns the placement for a route, None if it does not take part."""
        if self.placement is None or not route.takes_part:
            return None
        return self.placement

    def _choose_probed(
        self, new_flow: eligibility_module.NewFlow
    ) -> ChosenUpstream | None:
        """Returns a held-back upstream if the flow is to probe one."""
        probed = self._eligibility.find_probed_upstream(new_flow)
        if probed is None:
            return None
        candidate = self._make_candidate(probed, new_flow.now)
        return ChosenUpstream(probed, candidate, 1)

    def _choose_by_work(
        self,
        placement: work_placement_module.WorkPlacement,
        route: route_module.Route,
        new_flow: eligibility_module.NewFlow,
    ) -> ChosenUpstream | None:
        """Returns the upstream with the least work of those drawn, or None."""
        drawn = placement.draw(new_flow, self._make_condition(new_flow))
        if not drawn:
            return None
        now = new_flow.now
        candidates = placement.weigh(
            [self._make_candidate(u, now) for u in drawn], drawn, route, now
        )
        return _apply_policy(placement.policy, drawn, candidates)

    def _choose_by_load(
        self,
        placement: work_placement_module.WorkPlacement | None,
        new_flow: eligibility_module.NewFlow,
    ) -> ChosenUpstream | None:
        """Returns the upstream that the policy chooses by its requests."""
        usable = self._list_usable(new_flow)
        if not usable:
            return None
        policy = self._policy
        if placement is not None:
            policy = placement.fallback_policy
        candidates = [self._make_candidate(u, new_flow.now) for u in usable]
        return _apply_policy(policy, usable, candidates)

    def _list_usable(
        self, new_flow: eligibility_module.NewFlow
    ) -> Sequence[upstream_module.Upstream]:
        drawn = self._pool.draw(
            new_flow.service,
            self._make_condition(new_flow),
            new_flow.excluded_domains,
        )
        if drawn:
            return drawn
        if new_flow.flow_cap is None:
            return self._list_fallbacks(new_flow)
        return self._list_fallbacks_unless_full(new_flow)

    def _list_fallbacks_unless_full(
        self, new_flow: eligibility_module.NewFlow
    ) -> Sequence[upstream_module.Upstream]:
        """Returns fallbacks; none if a search has just found none.

        While all upstreams are at their limit of open flows, each new flow
        would otherwise examine all of them.
        """
        group = (new_flow.service, new_flow.excluded_domains)
        if new_flow.now - self._full_at.get(group, -math.inf) < _FULL_FOR_S:
            return ()
        found = self._list_fallbacks(new_flow)
        if found:
            self._full_at.pop(group, None)
        else:
            if len(self._full_at) >= _MAX_FULL_GROUPS:
                self._full_at.clear()
            self._full_at[group] = new_flow.now
        return found

    def _make_condition(
        self, new_flow: eligibility_module.NewFlow
    ) -> Callable[[upstream_module.Upstream], bool]:
        """Returns whether upstreams may receive a flow, as a function."""

        def is_usable(upstream: upstream_module.Upstream) -> bool:
            eligibility = self._eligibility
            return eligibility.is_preferred(
                upstream, new_flow
            ) and eligibility.is_allowed(upstream, new_flow)

        return is_usable

    def _list_fallbacks(
        self, new_flow: eligibility_module.NewFlow
    ) -> Sequence[upstream_module.Upstream]:
        """Returns upstreams to use if the sample has no usable one.

        Conditions that are preferences are given up one after the other.
        """
        ready = self._list_allowed(
            new_flow, upstream_module.UpstreamState.READY
        )
        not_tried = [u for u in ready if u.id not in new_flow.tried_upstreams]
        preferred = [
            u for u in not_tried if self._eligibility.is_preferred(u, new_flow)
        ]
        return (
            preferred
            or not_tried
            or ready
            or self._list_allowed(
                new_flow, upstream_module.UpstreamState.MISSING
            )
        )

    def _list_allowed(
        self,
        new_flow: eligibility_module.NewFlow,
        state: upstream_module.UpstreamState,
    ) -> list[upstream_module.Upstream]:
        """Returns the upstreams in a state that the flow is allowed to use."""
        found = self._knowledge.directory.list_in_state(new_flow.service, state)
        return [u for u in found if self._eligibility.is_allowed(u, new_flow)]

    def _make_candidate(
        self, upstream: upstream_module.Upstream, now: float
    ) -> choice.Candidate:
        is_warming_up = self._knowledge.directory.is_warming_up(
            upstream.id, now
        )
        capacity_share = (
            upstream_module.WARMING_UP_CAPACITY_SHARE if is_warming_up else 1.0
        )
        in_flight = self._loads.in_flight(upstream.id)
        return choice.Candidate(
            upstream=upstream.id,
            capacity=upstream.slots * capacity_share,
            load=in_flight + self._loads.reported_in_flight(upstream.token),
            own_load=in_flight,
            recent_load=self._loads.average(upstream.id)
            + self._loads.reported_average(upstream.token),
            same_domain=upstream.domain == self._domain,
        )


def _apply_policy(
    policy: choice.ChoicePolicy,
    upstreams: Sequence[upstream_module.Upstream],
    candidates: Sequence[choice.Candidate],
) -> ChosenUpstream:
    candidate = policy.choose(candidates)
    upstreams_by_id = {upstream.id: upstream for upstream in upstreams}
    upstream = upstreams_by_id[candidate.upstream]
    return ChosenUpstream(upstream, candidate, len(candidates))


def choose_service(
    route: route_module.Route, flow: flow_module.FlowId
) -> ids.ServiceName:
    """Returns the service of a flow by the weights of its route.

    The service is a function of the flow, so that retransmissions of an
    opening packet go to the same service whichever host receives them.
    """
    total = sum(share.weight for share in route.shares)
    text = ",".join(map(str, flow))
    position = xxhash.xxh32_intdigest(text.encode()) / 2**32 * total
    for share in route.shares:
        position -= share.weight
        if position < 0:
            return share.service
    return route.shares[-1].service
