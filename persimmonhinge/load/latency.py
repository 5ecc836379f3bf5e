"""Latencies in a histogram of constant precision."""

from __future__ import annotations

from collections.abc import Iterable

from hdrh import histogram

MEDIAN = 50.0
P99 = 99.0
P999 = 99.9
_MOST_US = 3_600_000_000
_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000


class Latencies:
    """Counts latencies from one microsecond to an hour."""

    def __init__(self, latencies_s: Iterable[float] = ()) -> None:
        self._histogram = histogram.HdrHistogram(1, _MOST_US, _DIGITS)
        for latency_s in latencies_s:
            self.add(latency_s)

    def add(self, latency_s: float) -> None:
        """Counts one latency, seconds."""
        value = min(max(1, round(latency_s * _US_PER_S)), _MOST_US)
        self._histogram.record_value(value)

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile, 0 to 100, in milliseconds."""
        if not self._histogram.get_total_count():
            return 0.0
        value = self._histogram.get_value_at_percentile(percentile)
        return float(value) / _US_PER_MS
