"""Writes the counts of a host in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

import aioprometheus
from aioprometheus import renderer

from persimmonhinge.metrics import counts as host_counts

PREFIX = "persimmonhinge_"
_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n"})

# Values that are read at once: about 1 ms, well below the 10 ms between two
# releases of flows that wait at a host.
_VALUES_AT_ONCE = 50


@dataclasses.dataclass(frozen=True, slots=True)
class _Metric:
    """A metric of the page.

    Attributes:
        name: Its name without the prefix.
        text: Its help text.
        kind: The library's class for it.
        read: Returns its values by labels.
    """

    name: str
    text: str
    kind: type[aioprometheus.Counter] | type[aioprometheus.Gauge]
    read: Callable[[], host_counts.Samples]


def render(counts: host_counts.Counts, accept: str) -> tuple[bytes, str]:
    """Returns the page and its content type.

    Args:
        counts: The counts of this host.
        accept: The Accept header of the request.
    """
    pieces = list(render_pieces(counts, accept))
    return b"".join(body for body, _ in pieces), pieces[0][1]


def render_pieces(
    counts: host_counts.Counts, accept: str
) -> Iterator[tuple[bytes, str]]:
    """Yields the page in pieces, with the content type.

    A piece holds one metric, or is empty. The whole page of a host with 175
    services in use takes about 0.1 s, in which the host would read no packets.

    Args:
        counts: The counts of this host.
        accept: The Accept header of the request.
    """
    metrics = [
        *_list_counters(counts),
        *_list_gauges(counts),
        *_list_histograms(counts),
    ]
    empty = _render_registry(aioprometheus.Registry(), accept)
    yield empty
    for metric in sorted(metrics, key=lambda each: each.name):
        registry = aioprometheus.Registry()
        collector = metric.kind(
            PREFIX + metric.name, metric.text, registry=registry
        )
        for number, (labels, value) in enumerate(metric.read(), start=1):
            collector.set(_escape_labels(labels), value)
            if number % _VALUES_AT_ONCE == 0:
                yield empty
        yield _render_registry(registry, accept)


def _render_registry(
    registry: aioprometheus.Registry, accept: str
) -> tuple[bytes, str]:
    body, headers = renderer.render(registry, [accept])
    return body, headers["Content-Type"]


def _list_counters(counts: host_counts.Counts) -> Iterator[_Metric]:
    samples: dict[str, dict[host_counts.Labels, float]] = {}
    for (name, labels), value in counts.counters().items():
        samples.setdefault(name, {})[labels] = value
    for name, values in samples.items():
        yield _Metric(
            name, name.replace("_", " "), aioprometheus.Counter, values.items
        )


def _list_gauges(counts: host_counts.Counts) -> Iterator[_Metric]:
    for name, value in counts.gauges().items():
        no_labels: dict[host_counts.Labels, float] = {(): value}
        yield _Metric(
            name, name.replace("_", " "), aioprometheus.Gauge, no_labels.items
        )
    for name, read in counts.gauge_families().items():
        yield _Metric(name, name.replace("_", " "), aioprometheus.Gauge, read)


def _list_histograms(counts: host_counts.Counts) -> Iterator[_Metric]:
    """Yields histograms as the series that Prometheus keeps of them.

    The library's own histogram takes single durations only, and the packet
    path counts them itself.
    """
    samples: dict[str, dict[host_counts.Labels, float]] = {}
    for (name, labels), histogram in counts.histograms().items():
        seen = 0
        bounds = [*(str(b) for b in host_counts.BUCKETS_S), "+Inf"]
        buckets = samples.setdefault(f"{name}_bucket", {})
        for bound, count in zip(bounds, histogram.counts, strict=True):
            seen += count
            buckets[(*labels, ("le", bound))] = seen
        samples.setdefault(f"{name}_count", {})[labels] = seen
        samples.setdefault(f"{name}_sum", {})[labels] = histogram.total_s
    for name, values in samples.items():
        text = name.replace("_", " ")
        if name.endswith("_bucket"):
            text = f"{text.removesuffix(' bucket')}, cumulative"
        yield _Metric(name, text, aioprometheus.Counter, values.items)


def _escape_labels(labels: host_counts.Labels) -> dict[str, str]:
    """Returns labels as the text format wants them.

    The library does not escape values; one with a quotation mark would make
    the whole page unreadable for Prometheus.
    """
    return {name: value.translate(_ESCAPES) for name, value in labels}
