"""Waiting flows and work budget of each service and priority."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from persimmonhinge.forwarding import overload as overload_module
from persimmonhinge.forwarding.room_sections import sections


@sections.sections.register("waiting")
def list_rows(
    overload: overload_module.OverloadControl, clock: Callable[[], float]
) -> Iterator[sections.Row]:
    """Yields a row for each service and priority that got a new flow."""
    if overload.admission is None:
        return
    now = clock()
    found = overload.admission.list_waiting()
    summaries = {(each.service, each.priority): each for each in found}
    levels = overload.admission.budget.list_levels()
    for level in sorted(levels, key=lambda each: (each.service, each.priority)):
        summary = summaries.get((level.service, level.priority))
        oldest_s = now - summary.oldest_arrived_at if summary else None
        yield {
            "service": level.service,
            "priority": level.priority,
            "waiting": summary.count if summary else 0,
            "late": summary.late_count if summary else 0,
            "oldest_wait_s": (
                sections.round_value(oldest_s) if oldest_s is not None else None
            ),
            "budget_s": sections.round_value(level.level_s),
            "reserve_s": (
                sections.round_value(level.reserve_s)
                if level.reserve_s is not None
                else None
            ),
        }
