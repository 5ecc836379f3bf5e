"""Times from accepted to in force, and their summary."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass
class Delay:
    """Time from accepted to in force on all hosts, seconds."""

    case: str
    hosts: int
    changes: int
    p50_s: float
    p99_s: float
    max_s: float


def summarize(case: str, hosts: int, delays: list[float]) -> Delay:
    """Returns the percentiles of the times of one case, in seconds."""
    ordered = sorted(delays)
    return Delay(
        case=case,
        hosts=hosts,
        changes=len(ordered),
        p50_s=round(ordered[len(ordered) // 2], 3),
        p99_s=round(ordered[int(len(ordered) * 0.99)], 3),
        max_s=round(ordered[-1], 3),
    )
