"""Opening packets that were sent to other failure domains."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from persimmonhinge.forwarding import overload as overload_module
from persimmonhinge.forwarding.room_sections import sections

_COUNTER = "placed_elsewhere_total"


@sections.sections.register("placed_elsewhere")
def list_rows(
    overload: overload_module.OverloadControl, clock: Callable[[], float]
) -> Iterator[sections.Row]:
    """Yields a row for each route, priority and domain."""
    for (name, labels), count in sorted(overload.counts.counters().items()):
        if name == _COUNTER:
            yield {**dict(labels), "count": count}
