"""Assembles the parts of the placement by work."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding.decisions.placement import domain_choice
from persimmonhinge.forwarding.decisions.placement import domain_upstreams
from persimmonhinge.forwarding.decisions.placement import flow_cap
from persimmonhinge.forwarding.decisions.placement import flow_rates
from persimmonhinge.forwarding.decisions.placement import loads as loads_module
from persimmonhinge.forwarding.decisions.placement import open_flows
from persimmonhinge.forwarding.decisions.placement import room_source
from persimmonhinge.forwarding.decisions.placement import service_means
from persimmonhinge.forwarding.decisions.placement import upstream_work
from persimmonhinge.forwarding.decisions.placement import work_placement
from persimmonhinge.forwarding.decisions.placement import work_source
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.policies import choice_by_work  # noqa: F401

if TYPE_CHECKING:
    import random


class WorkPlacementParts:
    """The parts of the placement by work of one host.

    Only hosts whose settings ask for this placement import this module.

    Attributes:
        flows: Counts the open flows; the load table receives it.
        rates: Learns the requests of open flows; observes the flow tracker.
        placement: Draws and weighs upstreams for the chooser.
    """

    def __init__(
        self,
        domain: ids.DomainId,
        knowledge: knowledge_module.Knowledge,
        loads: loads_module.LoadTable,
        rooms: room_source.RoomSource,
        work: work_source.WorkSource,
        randomness: random.Random,
        capacity_factor: work_placement.CapacityFactor | None = None,
    ) -> None:
        """Creates the parts and makes the load table count open flows.

        Args:
            domain: Failure domain of the host.
            knowledge: The host's view of the platform.
            loads: Requests in flight at each upstream.
            rooms: Capacity and room of each failure domain.
            work: Expected work of requests.
            randomness: Source of random numbers.
            capacity_factor: Returns the learned speed of an upstream.
        """
        self.flows = open_flows.OpenFlows()
        self.rates = flow_rates.FlowRates(self.flows)
        loads.open_flows = self.flows
        directory = knowledge.directory
        means = service_means.ServiceMeans(
            knowledge, self.flows, self.rates, work
        )
        self.placement = work_placement.WorkPlacement(
            domain_choice.DomainChoice(domain, directory, rooms, randomness),
            domain_upstreams.DomainUpstreams(directory),
            upstream_work.UpstreamWork(
                loads, self.flows, self.rates, work, means
            ),
            work,
            flow_cap.FlowCap(knowledge, loads),
            randomness,
            capacity_factor,
        )
