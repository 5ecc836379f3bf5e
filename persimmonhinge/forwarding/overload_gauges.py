"""Gauges of the demand for services, and of the new flows that wait."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import time
from typing import Any

from persimmonhinge import records
from persimmonhinge.forwarding import overload as overload_module
from persimmonhinge.forwarding.room_sections import domains
from persimmonhinge.forwarding.room_sections import held_back
from persimmonhinge.forwarding.room_sections import sections
from persimmonhinge.forwarding.room_sections import services
from persimmonhinge.forwarding.room_sections import waiting
from persimmonhinge.metrics import counts as counts_module


class GaugeSource(records.Record, frozen=True):
    """Column of a section of the room page that is shown as a gauge.

    Attributes:
        name: Name of the gauge.
        section: The section.
        column: The column with the values.
        labels: The columns that become labels.
    """

    name: str
    section: sections.Section
    column: str
    labels: tuple[str, ...]


_BY_DOMAIN = ("service", "domain")
_BY_SERVICE = ("service",)
_BY_PRIORITY = ("service", "priority")
_SOURCES = (
    GaugeSource(
        "service_capacity_slots", domains.list_rows, "capacity", _BY_DOMAIN
    ),
    GaugeSource(
        "service_demand_slots", domains.list_rows, "demand", _BY_DOMAIN
    ),
    GaugeSource("service_room_slots", domains.list_rows, "room", _BY_DOMAIN),
    GaugeSource(
        "service_contended", services.list_rows, "contended", _BY_SERVICE
    ),
    GaugeSource(
        "service_host_share_slots",
        services.list_rows,
        "host_share",
        _BY_SERVICE,
    ),
    GaugeSource(
        "upstream_held_back_capacity_factor",
        held_back.list_rows,
        "capacity_factor",
        ("service", "upstream"),
    ),
    GaugeSource("waiting_flows", waiting.list_rows, "waiting", _BY_PRIORITY),
)


def register_gauges(
    overload: overload_module.OverloadControl,
    clock: Callable[[], float] = time.monotonic,
) -> None:
    """Registers the gauges of overload control with the metrics page.

    Args:
        overload: The overload control of the host.
        clock: Returns the current time, seconds.
    """
    for source in _SOURCES:
        overload.counts.watch_family(
            source.name, _make_reader(source, overload, clock)
        )


def _make_reader(
    source: GaugeSource,
    overload: overload_module.OverloadControl,
    clock: Callable[[], float],
) -> Callable[[], counts_module.Samples]:
    def read() -> Iterator[tuple[counts_module.Labels, float]]:
        for row in source.section(overload, clock):
            value: Any = row[source.column]
            if value is not None:
                labels = ((label, str(row[label])) for label in source.labels)
                yield tuple(labels), float(value)

    return read
