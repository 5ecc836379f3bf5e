"""What admission needs to know about demand, capacity and work."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding.decisions.placement import work_source
from persimmonhinge.light_typing import Protocol


class RoomSource(Protocol):
    """Compares the demand for services with their capacity."""

    def is_contended(self, service: ids.ServiceName, now: float) -> bool:
        """Returns whether the demand for a service is near its capacity."""

    def host_share(self, service: ids.ServiceName, now: float) -> float:
        """Returns the work that this host may start a second, in slots."""


class DemandSource(Protocol):
    """Measures the work that is requested at this host."""

    def demand_above(
        self, service: ids.ServiceName, priority: int, now: float
    ) -> float:
        """Returns the demand of more urgent routes, in slots."""

    def open_flow_demand(
        self, service: ids.ServiceName, priority: int, now: float
    ) -> float:
        """Returns the demand on open flows of a priority, in slots."""

    def record_arrival(
        self, route: route_module.RouteAddress, now: float
    ) -> None:
        """Records the first opening packet of a new flow."""


class DemandSources(records.Record, frozen=True):
    """The sources of the inputs of admission.

    Attributes:
        room: Capacity of services, and this host's part of it.
        demand: Work requested at this host.
        work: Work of single requests.
    """

    room: RoomSource
    demand: DemandSource
    work: work_source.WorkSource
