"""State of each service, and this host's share of it."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from persimmonhinge.forwarding import overload as overload_module
from persimmonhinge.forwarding.room_sections import sections


@sections.sections.register("services")
def list_rows(
    overload: overload_module.OverloadControl, clock: Callable[[], float]
) -> Iterator[sections.Row]:
    """Yields a row for each service that a route names."""
    room, rates = overload.room, overload.rates
    for service in sorted(rates.get_services()):
        now = clock()
        yield {
            "service": service,
            "contended": room.is_contended(service, now),
            "hosts_in_domain": overload.picture.count_hosts(),
            "host_demand": sections.round_value(rates.demand(service, now)),
            "host_share": sections.round_value(room.host_share(service, now)),
        }
