"""How evenly work is spread over upstreams."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import math

from persimmonhinge import ids
from persimmonhinge.load import executions as execution_logs

Counts = dict[ids.UpstreamId, int]


def count_runs(
    executions: Iterable[execution_logs.Execution],
    known: Mapping[ids.ServiceName, Iterable[ids.UpstreamId]],
) -> dict[ids.ServiceName, Counts]:
    """Counts runs by service and upstream.

    Args:
        executions: What the upstreams ran.
        known: Upstreams that count also if they ran nothing.
    """
    counts: dict[ids.ServiceName, collections.Counter[ids.UpstreamId]]
    counts = collections.defaultdict(collections.Counter)
    for service, upstreams in known.items():
        counts[service].update(dict.fromkeys(upstreams, 0))
    for execution in executions:
        if execution.kind == execution_logs.RUN:
            counts[execution.service][execution.upstream] += 1
    return {service: dict(runs) for service, runs in counts.items()}


def compute_imbalance(counts: Mapping[ids.UpstreamId, int]) -> float:
    """Returns the largest count over the mean; 1 is even, 0 if no work."""
    total = sum(counts.values())
    if not total:
        return 0.0
    return max(counts.values()) * len(counts) / total


def compute_variation(counts: Mapping[ids.UpstreamId, int]) -> float:
    """Returns the coefficient of variation; 0 is even."""
    if not counts or not sum(counts.values()):
        return 0.0
    mean = sum(counts.values()) / len(counts)
    squares = sum((count - mean) ** 2 for count in counts.values())
    return math.sqrt(squares / len(counts)) / mean
