"""Demand in a host's report to other hosts."""

from __future__ import annotations

import math

from persimmonhinge import ids
from persimmonhinge.forwarding import service_demand
from persimmonhinge.forwarding.decisions.demand import (
    demand_rates as demand_rates_module,
)
from persimmonhinge.forwarding.decisions.demand import picture as picture_module
from persimmonhinge.forwarding.decisions.demand import room as room_module

# Maximum number of services in a report. A line takes 14 octets, so these take
# 450 octets.
_MAX_REPORTED_SERVICES = 32
_HUNDREDTHS = 100


def list_demand_lines(
    rates: demand_rates_module.DemandRates,
    picture: picture_module.DemandPicture,
    room: room_module.RoomTable,
    now: float,
) -> tuple[service_demand.ServiceDemand, ...]:
    """Returns a line for each service with demand at this host.

    If there are too many, those with the most demand for their capacity are
    reported, as these are the ones that may be contended. A host without any
    demand reports one line of zeros, which distinguishes it from hosts that
    don't measure demand.

    Args:
        rates: Demand of this host.
        picture: Demand of the failure domains.
        room: Capacity of the services.
        now: The current time, seconds.
    """

    def compute_utilization(service: ids.ServiceName) -> float:
        capacity = room.own_capacity(service, now)
        return rates.demand(service, now) / capacity if capacity else math.inf

    services = rates.list_active_services(now)
    if len(services) > _MAX_REPORTED_SERVICES:
        services.sort(key=compute_utilization, reverse=True)
        del services[_MAX_REPORTED_SERVICES:]
    if not services:
        services = list(rates.get_services())[:1]
    return tuple(_make_line(s, rates, picture, now) for s in services)


def _make_line(
    service: ids.ServiceName,
    rates: demand_rates_module.DemandRates,
    picture: picture_module.DemandPicture,
    now: float,
) -> service_demand.ServiceDemand:
    total = picture.own_domain_demand(service, now).slots
    return service_demand.ServiceDemand(
        service_demand.hash_service(service),
        _round_to_hundredths(rates.demand(service, now)),
        _round_to_hundredths(total),
    )


def _round_to_hundredths(slots: float) -> int:
    """Returns slots in hundredths, at most what other hosts accept.

    The total of a failure domain is a multiple of what others reported.
    """
    return round(min(slots * _HUNDREDTHS, service_demand.MAX_VALUE))
