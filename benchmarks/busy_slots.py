"""How the busy slots of upstreams were spread at each moment of a run."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from persimmonhinge.load import executions as execution_logs


@dataclasses.dataclass(frozen=True, slots=True)
class BusySlots:
    """Means over the time in which anything ran.

    Attributes:
        utilization: Busy slots over all slots.
        imbalance: Busy part of the fullest upstream over the mean.
        variation: Coefficient of variation of the busy parts.
        uneven: Part of the time in which one upstream had no slot free and
            another had all of its own free.
    """

    utilization: float
    imbalance: float
    variation: float
    uneven: float


class _Sums:
    """Integrals over time."""

    def __init__(self) -> None:
        self.time_s = 0.0
        self.utilization = 0.0
        self.imbalance = 0.0
        self.variation = 0.0
        self.uneven = 0.0

    def add(self, parts: list[float], length_s: float) -> None:
        """Adds a time in which nothing changed."""
        mean = sum(parts) / len(parts)
        if mean <= 0:
            return
        squares = sum((part - mean) ** 2 for part in parts)
        self.time_s += length_s
        self.utilization += mean * length_s
        self.imbalance += max(parts) / mean * length_s
        variation = math.sqrt(squares / len(parts)) / mean
        self.variation += variation * length_s
        if max(parts) >= 1 and min(parts) <= 0:
            self.uneven += length_s


def measure_busy(
    executions: Iterable[execution_logs.Execution],
    slots: Mapping[str, int],
    run_time_s: float,
    start_s: float,
    end_s: float,
) -> BusySlots:
    """Adds up the runs of a time, each of which takes equally long.

    Args:
        executions: What the upstreams logged.
        slots: Slots by upstream.
        run_time_s: How long a run holds a slot, seconds.
        start_s: Wall clock, seconds since the epoch.
        end_s: Wall clock, after the start.
    """
    changes: list[tuple[float, int, str]] = []
    for execution in executions:
        if execution.kind == execution_logs.RUN:
            upstream = str(execution.upstream)
            changes.append((execution.t, 1, upstream))
            changes.append((execution.t + run_time_s, -1, upstream))
    changes.sort()
    busy = dict.fromkeys(slots, 0)
    sums = _Sums()
    last_s = start_s
    for at_s, change, upstream in changes:
        now_s = min(end_s, max(start_s, at_s))
        parts = [busy[name] / slots[name] for name in slots]
        sums.add(parts, now_s - last_s)
        busy[upstream] += change
        last_s = now_s
    time_s = sums.time_s or 1.0
    return BusySlots(
        sums.utilization / time_s,
        sums.imbalance / time_s,
        sums.variation / time_s,
        sums.uneven / time_s,
    )
