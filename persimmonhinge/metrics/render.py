"""Writes the counts of a host in the Prometheus text format."""

from __future__ import annotations

import aioprometheus
from aioprometheus import renderer

from persimmonhinge.metrics import counts as host_counts

PREFIX = "persimmonhinge_"


def render(counts: host_counts.Counts, accept: str) -> tuple[bytes, str]:
    """Returns the page and its content type.

    Args:
        counts: The counts of this host.
        accept: The Accept header of the request.
    """
    registry = aioprometheus.Registry()
    _add_counters(registry, counts)
    _add_gauges(registry, counts)
    _add_histograms(registry, counts)
    body, headers = renderer.render(registry, [accept])
    return body, headers["Content-Type"]


def _add_counters(
    registry: aioprometheus.Registry, counts: host_counts.Counts
) -> None:
    collectors: dict[str, aioprometheus.Counter] = {}
    for (name, labels), value in counts.counters().items():
        if name not in collectors:
            collectors[name] = aioprometheus.Counter(
                PREFIX + name, name.replace("_", " "), registry=registry
            )
        collectors[name].set(dict(labels), value)


def _add_gauges(
    registry: aioprometheus.Registry, counts: host_counts.Counts
) -> None:
    for name, value in counts.gauges().items():
        gauge = aioprometheus.Gauge(
            PREFIX + name, name.replace("_", " "), registry=registry
        )
        gauge.set({}, value)


def _add_histograms(
    registry: aioprometheus.Registry, counts: host_counts.Counts
) -> None:
    """Adds histograms by the series that Prometheus keeps of them.

    The library's own histogram takes single durations only, and the packet
    path counts them itself.
    """
    for name, histogram in counts.histograms().items():
        buckets = aioprometheus.Counter(
            f"{PREFIX}{name}_bucket",
            f"{name.replace('_', ' ')}, cumulative",
            registry=registry,
        )
        seen = 0
        bounds = [*(str(b) for b in host_counts.BUCKETS_S), "+Inf"]
        for bound, count in zip(bounds, histogram.counts, strict=True):
            seen += count
            buckets.set({"le": bound}, seen)
        _add_value(registry, f"{name}_count", seen)
        _add_value(registry, f"{name}_sum", histogram.total_s)


def _add_value(
    registry: aioprometheus.Registry, name: str, value: float
) -> None:
    counter = aioprometheus.Counter(
        PREFIX + name, name.replace("_", " "), registry=registry
    )
    counter.set({}, value)
