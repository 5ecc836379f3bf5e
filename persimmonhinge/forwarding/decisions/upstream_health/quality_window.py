"""Answers and troubles of one upstream in the last seconds."""

from __future__ import annotations

import collections

from persimmonhinge.forwarding.decisions.upstream_health import quality_counts

# Time for which an answer or a trouble counts, seconds.
WINDOW_S = 2.0
_BUCKET_S = 0.25
_BUCKET_COUNT = round(WINDOW_S / _BUCKET_S)


class QualityWindow:
    """Counts answers and troubles in a sliding window."""

    def __init__(self) -> None:
        self._buckets: collections.deque[
            tuple[int, quality_counts.QualityCounts]
        ] = collections.deque()
        self._total = quality_counts.QualityCounts()

    def add(self, counts: quality_counts.QualityCounts, now: float) -> None:
        """Adds counts at the current time, seconds."""
        number = int(now / _BUCKET_S)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, quality_counts.QualityCounts()))
        self._buckets[-1][1].add(counts)
        self._total.add(counts)
        self._remove_old(number)

    def sum_counts(self, now: float) -> quality_counts.QualityCounts:
        """Returns the counts of the window that ends now.

        The result must not be changed.
        """
        self._remove_old(int(now / _BUCKET_S))
        return self._total

    def _remove_old(self, number: int) -> None:
        oldest = number - _BUCKET_COUNT
        while self._buckets and self._buckets[0][0] <= oldest:
            _, counts = self._buckets.popleft()
            self._total.subtract(counts)
