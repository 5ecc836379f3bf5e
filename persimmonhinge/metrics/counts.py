"""Counters and gauges of a host, cheap enough for the packet path."""

from __future__ import annotations

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterable

Labels = tuple[tuple[str, str], ...]
Samples = Iterable[tuple[Labels, float]]
Series = tuple[str, Labels]

# Number of series from which older ones are merged: twice the upstreams of a
# large deployment. A series takes about 400 octets.
_MAX_SERIES = 10_000
# Metrics with fewer series keep all of them.
_MIN_MERGED_SERIES = 100
_MERGED_LABEL = "other"

# Upper bounds of the buckets of a histogram, seconds: from the time of an
# opening (4 ms) to the longest that a caller waits.
BUCKETS_S = (0.005, 0.01, 0.03, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class Histogram:
    """Counts durations by buckets.

    Attributes:
        counts: Durations in each bucket of `BUCKETS_S`, and above all.
        total_s: Sum of all durations, seconds.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total_s = 0.0

    def add(self, duration_s: float) -> None:
        """Counts a duration."""
        self.counts[bisect.bisect_left(BUCKETS_S, duration_s)] += 1
        self.total_s += duration_s

    def merge(self, other: Histogram) -> None:
        """Adds the durations of another histogram."""
        self.counts = [
            own + added
            for own, added in zip(self.counts, other.counts, strict=True)
        ]
        self.total_s += other.total_s


class Counts:
    """Counts events by name and labels.

    A plain dictionary: an update costs about a tenth of an update of a
    metrics library's counter. The HTTP page copies the values into
    aioprometheus when it is read.
    """

    def __init__(self) -> None:
        self._counters: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self._gauges: dict[str, Callable[[], float]] = {}
        self._gauge_families: dict[str, Callable[[], Samples]] = {}
        self._histograms: dict[str, Histogram] = {}
        self._labelled_histograms: dict[tuple[str, Labels], Histogram] = {}

    def add(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to a counter; the name ends in `_total`."""
        self._counters[(name, tuple(labels.items()))] += amount

    def observe(self, name: str, duration_s: float) -> None:
        """Adds a duration to a histogram; the name ends in `_seconds`."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = Histogram()
        histogram.add(duration_s)

    def observe_by_labels(
        self, name: str, duration_s: float, **labels: str
    ) -> None:
        """Adds a duration to the histogram of a name and labels.

        Separate from `observe`, which is called for each answer and therefore
        makes no labels.
        """
        key = (name, tuple(labels.items()))
        histogram = self._labelled_histograms.get(key)
        if histogram is None:
            histogram = self._labelled_histograms[key] = Histogram()
        histogram.add(duration_s)

    def histograms(self) -> dict[tuple[str, Labels], Histogram]:
        """Returns all histograms by name and labels."""
        unlabelled: dict[tuple[str, Labels], Histogram] = {
            (name, ()): histogram
            for name, histogram in self._histograms.items()
        }
        return {**unlabelled, **self._labelled_histograms}

    def limit_series(self) -> None:
        """Merges older series of counters and histograms if there are many.

        Guards against memory use that grows with each upstream and route that
        ever existed. The series have `other` for all labels, and keep the sum
        of their metric. One that is still in use starts again from 0.
        """
        if len(self._counters) > _MAX_SERIES:
            for merged, series in _list_older(self._counters):
                self._counters[merged] += self._counters.pop(series)
        if len(self._labelled_histograms) > _MAX_SERIES:
            histograms = self._labelled_histograms
            for merged, series in _list_older(histograms):
                target = histograms.setdefault(merged, Histogram())
                target.merge(histograms.pop(series))

    def watch(self, name: str, read: Callable[[], float]) -> None:
        """Sets a function that reads a gauge when the page is asked for."""
        self._gauges[name] = read

    def watch_family(self, name: str, read: Callable[[], Samples]) -> None:
        """Sets a function that reads all values of a gauge with labels."""
        self._gauge_families[name] = read

    def get(self, name: str, **labels: str) -> int:
        """Returns the value of a counter."""
        return self._counters[(name, tuple(labels.items()))]

    def sum(self, name: str) -> int:
        """Returns the value of a counter over all labels."""
        return sum(v for (n, _), v in self._counters.items() if n == name)

    def counters(self) -> dict[tuple[str, Labels], int]:
        """Returns a copy of all counters."""
        return dict(self._counters)

    def gauges(self) -> dict[str, float]:
        """Returns all gauges as they are now."""
        return {name: read() for name, read in self._gauges.items()}

    def gauge_families(
        self,
    ) -> dict[str, Callable[[], Samples]]:
        """Returns the functions that read the gauges with labels."""
        return dict(self._gauge_families)


def _list_older(all_series: Iterable[Series]) -> list[tuple[Series, Series]]:
    """Returns the older half of the series of each metric with many.

    Returns:
        Pairs of the series that replaces one, and that one.
    """
    by_name: dict[str, list[Series]] = {}
    for series in all_series:
        by_name.setdefault(series[0], []).append(series)
    return [
        ((name, tuple((label, _MERGED_LABEL) for label, _ in labels)), series)
        for found in by_name.values()
        if len(found) >= _MIN_MERGED_SERIES
        for series in found[: len(found) // 2]
        for name, labels in (series,)
        if any(value != _MERGED_LABEL for _, value in labels)
    ]
