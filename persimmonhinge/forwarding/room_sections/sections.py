"""The registry of the sections of the page `/room`."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from persimmonhinge import registry
from persimmonhinge.forwarding import overload as overload_module

# A row has values that JSON can hold. The rows of a section have the same keys,
# which `persimmonhinge-ctl room` uses as columns of a table.
Row = dict[str, object]
# Lists the rows of a section. A section whose part of the overload control does
# not run has none. It is given a clock in place of a time, as the host goes on
# with its work between two rows, and an older time would confuse its averages.
Section = Callable[
    [overload_module.OverloadControl, Callable[[], float]], Iterable[Row]
]
sections: registry.Registry[Section] = registry.Registry("room section")

_DECIMALS = 4


def round_value(value: float) -> float:
    """Returns a value in slots or seconds with the precision of the page."""
    return round(value, _DECIMALS)
