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
) -> dict[ids.ServiceName, Counts]:
    """Counts runs by service and upstream.

    An upstream that is named by a line of any kind counts, also if it ran
    nothing.
    """
    counts: dict[ids.ServiceName, Counts] = collections.defaultdict(dict)
    for execution in executions:
        if not execution.upstream:
            continue
        runs = int(execution.kind == execution_logs.RUN)
        of_service = counts[execution.service]
        of_service[execution.upstream] = (
            of_service.get(execution.upstream, 0) + runs
        )
    return dict(counts)


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
