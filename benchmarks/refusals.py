"""Which refusals were needless, by what upstreams ran at that time."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from persimmonhinge.load import executions as execution_logs

# A slot counts as idle only if it was free for so long before the refusal:
# the next request needs a moment to reach a slot that has come free.
_IDLE_S = 0.1


def count_needless(
    refused_at: Sequence[float],
    executions: Iterable[execution_logs.Execution],
    slots: Mapping[str, int],
    run_time_s: float,
) -> int:
    """Counts refusals while an upstream had a slot idle.

    Args:
        refused_at: Wall clock of each refusal.
        executions: What the upstreams logged.
        slots: Slots by upstream.
        run_time_s: How long a run holds a slot, seconds.
    """
    starts: dict[str, list[float]] = collections.defaultdict(list)
    for execution in executions:
        if execution.kind == execution_logs.RUN:
            starts[str(execution.upstream)].append(execution.t)
    return sum(
        any(
            _was_idle(starts[name], at_s, count, run_time_s)
            for name, count in slots.items()
        )
        for at_s in refused_at
    )


def _was_idle(
    starts: list[float], at_s: float, slots: int, run_time_s: float
) -> bool:
    """Tells whether fewer runs than slots touch the time before."""
    touching = sum(
        start_s < at_s and start_s + run_time_s > at_s - _IDLE_S
        for start_s in starts
    )
    return touching < slots
