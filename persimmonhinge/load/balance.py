"""How evenly work is spread over upstreams."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import math

from persimmonhinge import ids
from persimmonhinge.load import executions as execution_logs

Amounts = dict[ids.UpstreamId, float]
Known = Mapping[ids.ServiceName, Iterable[ids.UpstreamId]]


def count_runs(
    executions: Iterable[execution_logs.Execution], known: Known
) -> dict[ids.ServiceName, Amounts]:
    """Counts runs by service and upstream.

    Args:
        executions: What the upstreams logged.
        known: Upstreams that count also if they ran nothing.
    """
    runs = _make_table(known)
    for execution in executions:
        if execution.kind == execution_logs.RUN:
            runs[execution.service][execution.upstream] += 1
    return _freeze(runs)


def average_feeds(
    executions: Iterable[execution_logs.Execution],
    known: Known,
    start_s: float,
    end_s: float,
) -> dict[ids.ServiceName, Amounts]:
    """Returns the mean of open feeds over a time, by service and upstream.

    Args:
        executions: What the upstreams logged, each in its order of time.
        known: Upstreams that count also if they had none.
        start_s: Wall clock, seconds since the epoch.
        end_s: Wall clock, after the start.
    """
    means = _make_table(known)
    open_now: dict[ids.UpstreamId, int] = collections.defaultdict(int)
    for execution in executions:
        if execution.kind != execution_logs.FEEDS:
            continue
        # Each change weighs by the part of the time that it holds for.
        from_s = min(end_s, max(start_s, execution.t))
        weight = (end_s - from_s) / (end_s - start_s)
        change = execution.feeds - open_now[execution.upstream]
        open_now[execution.upstream] = execution.feeds
        means[execution.service][execution.upstream] += change * weight
    return _freeze(means)


def scale_left(
    amounts: Mapping[ids.UpstreamId, float],
    left_at: Mapping[ids.UpstreamId, float],
    start_s: float,
    end_s: float,
) -> Amounts:
    """Returns what each upstream would have had if it had taken work always.

    Args:
        amounts: Runs by upstream.
        left_at: When upstreams that were drained took the last work; wall
            clock, after the start.
        start_s: Wall clock, seconds since the epoch.
        end_s: Wall clock, after the start.
    """
    return {
        upstream: amount
        * (end_s - start_s)
        / (min(end_s, left_at.get(upstream, end_s)) - start_s)
        for upstream, amount in amounts.items()
    }


def compute_imbalance(amounts: Mapping[ids.UpstreamId, float]) -> float:
    """Returns the largest amount over the mean; 1 is even, 0 if no work."""
    total = sum(amounts.values())
    if not total:
        return 0.0
    return max(amounts.values()) * len(amounts) / total


def compute_variation(amounts: Mapping[ids.UpstreamId, float]) -> float:
    """Returns the coefficient of variation; 0 is even."""
    if not amounts or not sum(amounts.values()):
        return 0.0
    mean = sum(amounts.values()) / len(amounts)
    squares = sum((amount - mean) ** 2 for amount in amounts.values())
    return math.sqrt(squares / len(amounts)) / mean


def _make_table(
    known: Known,
) -> dict[ids.ServiceName, dict[ids.UpstreamId, float]]:
    table: dict[ids.ServiceName, dict[ids.UpstreamId, float]]
    table = collections.defaultdict(lambda: collections.defaultdict(float))
    for service, upstreams in known.items():
        for upstream in upstreams:
            table[service][upstream] = 0.0
    return table


def _freeze(
    table: Mapping[ids.ServiceName, Amounts],
) -> dict[ids.ServiceName, Amounts]:
    return {service: dict(amounts) for service, amounts in table.items()}
