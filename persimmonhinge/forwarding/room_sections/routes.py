"""Expected work of the requests of each route."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from persimmonhinge.forwarding import overload as overload_module
from persimmonhinge.forwarding.room_sections import sections


@sections.sections.register("routes")
def list_rows(
    overload: overload_module.OverloadControl, clock: Callable[[], float]
) -> Iterator[sections.Row]:
    """Yields a row for each route of the desired state."""
    state = overload.knowledge.state
    found = state.routes.values() if state is not None else ()
    for route in sorted(found, key=lambda each: each.name):
        address = route.virtual_address
        work_s = overload.estimates.expected_work_s(address)
        yield {
            "route": route.name,
            "priority": route.priority,
            "services": ",".join(share.service for share in route.shares),
            "takes_part": route.takes_part,
            "target_latency_s": route.target_latency_s,
            "expected_work_s": sections.round_value(work_s),
            "averaged_answers": overload.estimates.count_answers(address),
        }
