"""Chooses the upstream of a new flow."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence

import xxhash

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.forwarding import route as routes
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.forwarding.decisions import candidates as candidate_pools
from persimmonhinge.forwarding.decisions import eligibility as eligibilities
from persimmonhinge.forwarding.decisions import loads as load_books
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.policies import choice

if TYPE_CHECKING:
    import random

# Share of its slots that a cold upstream counts with, as it is slower.
_COLD_ROOM = 0.6


class Chosen(records.Record, frozen=True):
    """An upstream that was chosen, and what decided.

    Attributes:
        upstream: The upstream.
        candidate: Its loads, as the policy saw them.
        among: Number of upstreams that were compared.
    """

    upstream: upstreams.Upstream
    candidate: choice.Candidate
    among: int


class UpstreamChooser:
    """Chooses among the upstreams that may take a new flow."""

    def __init__(
        self,
        domain: ids.DomainId,
        knowledge: knowledge_parts.Knowledge,
        loads: load_books.LoadBook,
        eligibility: eligibilities.Eligibility,
        policy: choice.ChoicePolicy,
        randomness: random.Random,
    ) -> None:
        self._domain = domain
        self._knowledge = knowledge
        self._loads = loads
        self._eligibility = eligibility
        self._policy = policy
        self._pool = candidate_pools.CandidatePool(
            domain, knowledge.directory, randomness
        )

    def choose(
        self,
        route: routes.Route,
        flow: flows.FlowId,
        now: float,
        without: Collection[ids.UpstreamId] = (),
    ) -> Chosen | None:
        """Returns the upstream for a new flow, None if there is none.

        Args:
            route: The flow's route.
            flow: The flow.
            now: The time.
            without: Upstreams that have left an opening packet of this flow
                unanswered; taken only where there is no other.
        """
        wanted = eligibilities.NewFlow(
            choose_share(route, flow),
            self._eligibility.list_excluded(route),
            without,
            now,
        )
        usable = self._list_usable(wanted)
        if not usable:
            return None
        found = {upstream.id: upstream for upstream in usable}
        candidates = [self._make_candidate(u, now) for u in usable]
        candidate = self._policy.choose(candidates)
        upstream = found[candidate.upstream]
        self._eligibility.record_opening(upstream, wanted)
        return Chosen(upstream, candidate, len(candidates))

    def _list_usable(
        self, flow: eligibilities.NewFlow
    ) -> Sequence[upstreams.Upstream]:
        def is_usable(upstream: upstreams.Upstream) -> bool:
            eligibility = self._eligibility
            return eligibility.should_take(
                upstream, flow
            ) and eligibility.may_take(upstream, flow)

        drawn = self._pool.draw(flow.service, is_usable, flow.excluded)
        return drawn or self._list_all(flow)

    def _list_all(
        self, flow: eligibilities.NewFlow
    ) -> Sequence[upstreams.Upstream]:
        """Returns those that are the least bad where hardly any is usable."""
        ready = self._list_allowed(flow, upstreams.UpstreamState.READY)
        fresh = [u for u in ready if u.id not in flow.without]
        good = [u for u in fresh if self._eligibility.should_take(u, flow)]
        return (
            good
            or fresh
            or ready
            or self._list_allowed(flow, upstreams.UpstreamState.MISSING)
        )

    def _list_allowed(
        self, flow: eligibilities.NewFlow, state: upstreams.UpstreamState
    ) -> list[upstreams.Upstream]:
        """Returns those of a state that the flow may go to at all."""
        found = self._knowledge.directory.list_in_state(flow.service, state)
        return [u for u in found if self._eligibility.may_take(u, flow)]

    def _make_candidate(
        self, upstream: upstreams.Upstream, now: float
    ) -> choice.Candidate:
        cold = self._knowledge.directory.is_warming_up(upstream.id, now)
        room = _COLD_ROOM if cold else 1.0
        in_flight = self._loads.in_flight(upstream.id)
        return choice.Candidate(
            upstream=upstream.id,
            capacity=upstream.slots * room,
            load=in_flight + self._loads.others_in_flight(upstream.token),
            own=in_flight,
            recent=self._loads.average(upstream.id)
            + self._loads.others_average(upstream.token),
            near=upstream.domain == self._domain,
        )


def choose_share(route: routes.Route, flow: flows.FlowId) -> ids.ServiceName:
    """Returns the service of a flow by the weights of its route.

    It follows from the flow, so that copies of an opening packet go to one
    service, whichever host they come to.
    """
    total = sum(share.weight for share in route.shares)
    text = ",".join(map(str, flow))
    at = xxhash.xxh32_intdigest(text.encode()) / 2**32 * total
    for share in route.shares:
        at -= share.weight
        if at < 0:
            return share.service
    return route.shares[-1].service
