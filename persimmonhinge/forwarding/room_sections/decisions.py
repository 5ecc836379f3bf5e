"""Decisions on new flows since the start of the host."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from persimmonhinge.forwarding import overload as overload_module
from persimmonhinge.forwarding.room_sections import sections

_COUNTER = "admissions_total"


@sections.sections.register("decisions")
def list_rows(
    overload: overload_module.OverloadControl, clock: Callable[[], float]
) -> Iterator[sections.Row]:
    """Yields a row for each route, priority, outcome and reason."""
    for (name, labels), count in sorted(overload.counts.counters().items()):
        if name == _COUNTER:
            yield {**dict(labels), "count": count}
