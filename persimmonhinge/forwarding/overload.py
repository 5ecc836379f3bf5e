"""Overload control of one forwarding host."""

from __future__ import annotations

from collections.abc import Callable
import math
import time

from persimmonhinge import ids
from persimmonhinge.forwarding import admission_gate
from persimmonhinge.forwarding import flow as flow_module
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import overload_settings
from persimmonhinge.forwarding import request_observer
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding import service_demand
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding.decisions.admission import (
    admission as admission_module,
)
from persimmonhinge.forwarding.decisions.admission import budget_debits
from persimmonhinge.forwarding.decisions.admission import demand_sources
from persimmonhinge.forwarding.decisions.demand import demand_rates
from persimmonhinge.forwarding.decisions.demand import picture
from persimmonhinge.forwarding.decisions.demand import room
from persimmonhinge.forwarding.decisions.demand import work_estimates
from persimmonhinge.forwarding.decisions.placement import loads as loads_module
from persimmonhinge.forwarding.decisions.placement import work_placement
from persimmonhinge.forwarding.decisions.placement import work_placement_parts
from persimmonhinge.forwarding.decisions.reports import demand_lines
from persimmonhinge.forwarding.decisions.upstream_health import (
    quality as quality_module,
)
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.metrics import counts as counts_module

if TYPE_CHECKING:
    import random

_BY_PRIORITY = "by-priority"
_BY_WORK = "by-work"
# Time for which lines of demand are reused, seconds. Reports to several hosts
# of other domains are made one after the other, and the lines take about 2 ms
# with 175 services in use.
_MAX_LINES_AGE_S = 0.05


class OverloadControl:
    """The parts of a host that exist only with overload control.

    Attributes:
        settings: Which parts run, and their limits.
        domain: Failure domain of the host.
        knowledge: The host's view of the platform.
        counts: Counters of the host.
        estimates: Expected work of requests.
        rates: Demand of this host.
        picture: Demand of the failure domains.
        room: Capacity, room and contention of services.
        admission: Decides on new flows by priority; None to admit all.
        gate: Applies the decisions of `admission`; None without it.
        placement: Places new flows by work; None to use the choice policy.
        quality: Finds upstreams that are slow or fail requests; None to treat
            all alike.
        observers: The parts that learn from requests.
    """

    def __init__(
        self,
        settings: overload_settings.OverloadSettings,
        domain: ids.DomainId,
        knowledge: knowledge_module.Knowledge,
        loads: loads_module.LoadTable,
        counts: counts_module.Counts,
        randomness: random.Random,
        clock: Callable[[], float] = time.monotonic,
        sources: demand_sources.DemandSources | None = None,
    ) -> None:
        """Creates the parts.

        Args:
            settings: Which parts run, and their limits.
            domain: Failure domain of the host.
            knowledge: The host's view of the platform.
            loads: Requests in flight at each upstream.
            counts: Receives the decisions.
            randomness: Source of random numbers.
            clock: Returns the current time, seconds.
            sources: Demand, capacity and work for the admission of new flows;
                None to use those of the other parts.
        """
        self.settings = settings
        self.domain = domain
        self.knowledge = knowledge
        self.counts = counts
        self.estimates = work_estimates.WorkEstimates(knowledge)
        self.rates = demand_rates.DemandRates(knowledge, self.estimates)
        self.picture = picture.DemandPicture(domain, self.rates)
        self.room = room.RoomTable(domain, knowledge, self.picture)
        self.estimates.is_contended = self.room.is_contended
        self.admission: admission_module.FlowAdmission | None = None
        self.gate: admission_gate.AdmissionGate | None = None
        self.placement: work_placement.WorkPlacement | None = None
        self.quality: quality_module.UpstreamQuality | None = None
        self.observers: list[request_observer.RequestObserver] = [
            self.estimates,
            self.rates,
        ]
        if settings.upstream_quality:
            self._add_quality()
        if settings.placement == _BY_WORK:
            self._add_placement(loads, randomness)
        if settings.admission == _BY_PRIORITY:
            self._add_admission(clock, sources)
        self._lines: tuple[service_demand.ServiceDemand, ...] = ()
        self._lines_made_at = -math.inf

    def record_arrival(self, flow: flow_module.FlowId, now: float) -> None:
        """Counts a new flow that is admitted without a decision.

        Args:
            flow: The flow; copies of its opening packet must not be counted.
            now: The current time, seconds.
        """
        address = route_module.RouteAddress(flow.service, flow.service_port)
        self.rates.record_arrival(address, now)

    def record_placement(
        self, route: route_module.Route, upstream: upstream_module.Upstream
    ) -> None:
        """Counts an opening packet that goes to another failure domain."""
        if upstream.domain != self.domain:
            self.counts.add(
                "placed_elsewhere_total",
                route=route.name,
                priority=str(route.priority),
                domain=upstream.domain,
            )

    def list_demands(
        self, now: float
    ) -> tuple[service_demand.ServiceDemand, ...]:
        """Returns the lines of demand for a report to other hosts.

        Args:
            now: The current time, seconds.
        """
        if now - self._lines_made_at > _MAX_LINES_AGE_S:
            self._lines = demand_lines.list_demand_lines(
                self.rates, self.picture, self.room, now
            )
            self._lines_made_at = now
        return self._lines

    def _compute_demand_age(self, now: float) -> float | None:
        return self.picture.compute_report_age(self.domain, now)

    def _add_quality(self) -> None:
        self.quality = quality_module.UpstreamQuality(
            self.knowledge, self.estimates, self.picture.count_hosts
        )
        self.room.capacities.capacity_factor = self.quality.capacity_factor
        self.observers.append(self.quality)

    def _add_placement(
        self, loads: loads_module.LoadTable, randomness: random.Random
    ) -> None:
        parts = work_placement_parts.WorkPlacementParts(
            self.domain,
            self.knowledge,
            loads,
            self.room,
            self.estimates,
            randomness,
            self.quality.capacity_factor if self.quality else None,
        )
        self.placement = parts.placement
        self.observers.append(parts.rates)

    def _add_admission(
        self,
        clock: Callable[[], float],
        sources: demand_sources.DemandSources | None,
    ) -> None:
        sources = sources or demand_sources.DemandSources(
            self.room, self.rates, self.estimates
        )
        self.admission = admission_module.FlowAdmission(self.settings, sources)
        self.gate = admission_gate.AdmissionGate(
            self.admission,
            self.knowledge,
            self.counts,
            clock,
            self._compute_demand_age,
        )
        self.observers.append(
            budget_debits.BudgetDebits(
                self.admission.budget, self.knowledge, sources.work
            )
        )
