"""Which parts of the overload control run, and their limits."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from persimmonhinge.forwarding import overload as overload_module
from persimmonhinge.forwarding.room_sections import sections

_SETTINGS = (
    "placement",
    "admission",
    "upstream_quality",
    "max_waiting_flows",
    "max_wait_ms",
    "low_priority_share",
)


@sections.sections.register("parts")
def list_rows(
    overload: overload_module.OverloadControl, clock: Callable[[], float]
) -> Iterator[sections.Row]:
    """Yields a row for each key of the settings block."""
    for name in _SETTINGS:
        yield {"setting": name, "value": getattr(overload.settings, name)}
