"""Capacity, demand and room of each service and failure domain."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from persimmonhinge import ids
from persimmonhinge.forwarding import overload as overload_module
from persimmonhinge.forwarding.room_sections import sections


@sections.sections.register("domains")
def list_rows(
    overload: overload_module.OverloadControl, clock: Callable[[], float]
) -> Iterator[sections.Row]:
    """Yields a row for each service and domain that has upstreams or hosts."""
    for service in sorted(overload.rates.get_services()):
        domains = {
            overload.domain,
            *overload.picture.list_domains(),
            *overload.room.capacities.get_by_domain(service, clock()),
        }
        for domain in sorted(domains):
            yield _make_row(overload, service, domain, clock())


def _make_row(
    overload: overload_module.OverloadControl,
    service: ids.ServiceName,
    domain: ids.DomainId,
    now: float,
) -> sections.Row:
    """Returns a row; `demand` and `age_s` are null where they are not known."""
    demand = overload.picture.domain_demand(service, domain, now)
    age_s = overload.picture.compute_report_age(domain, now)
    room = overload.room.room(service, domain, now)
    capacity = overload.room.capacity(service, domain, now)
    return {
        "service": service,
        "domain": domain,
        "capacity": sections.round_value(capacity),
        "demand": sections.round_value(demand.slots) if demand else None,
        "room": sections.round_value(room),
        "age_s": sections.round_value(age_s) if age_s is not None else None,
        "source": _name_source(demand is not None, age_s),
        "evacuated": domain in overload.knowledge.evacuated,
    }


def _name_source(is_known: bool, age_s: float | None) -> str:
    """Returns where the demand of a domain comes from."""
    if not is_known:
        return "unknown"
    return "this-host" if age_s is None else "reports"
