"""Upstreams that are held back because they are slow or fail requests."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from persimmonhinge.forwarding import overload as overload_module
from persimmonhinge.forwarding.room_sections import sections


@sections.sections.register("held_back")
def list_rows(
    overload: overload_module.OverloadControl, clock: Callable[[], float]
) -> Iterator[sections.Row]:
    """Yields a row for each upstream that is held back, the worst first."""
    if overload.quality is None:
        return
    now = clock()
    for service in sorted(overload.rates.get_services()):
        for upstream in overload.quality.list_held_back(service, now):
            factor = overload.quality.capacity_factor(upstream, now)
            yield {
                "service": service,
                "upstream": upstream,
                "capacity_factor": sections.round_value(factor),
            }
