"""Time on a processor and in the queue for one, by the kernel."""

from __future__ import annotations

import pathlib
from typing import NamedTuple

# Holds time on a processor, time in the queue for one, and turns, of the first
# thread of a process, which runs its event loop.
_STATISTICS = "/proc/{}/schedstat"
_NANOSECONDS = 1e9


class ProcessorTimes(NamedTuple):
    """Times since the start of this process.

    Attributes:
        used_s: Time on a processor, seconds.
        queued_s: Time in the queue for a processor, seconds.
    """

    used_s: float
    queued_s: float


def read(pid: int | None = None) -> ProcessorTimes | None:
    """Returns the times of a process, of this one by default.

    Returns:
        None if the kernel gives none, or the process has ended.
    """
    path = pathlib.Path(_STATISTICS.format("self" if pid is None else pid))
    try:
        used, queued, _ = path.read_text().split()
    except (OSError, ValueError):
        return None
    return ProcessorTimes(int(used) / _NANOSECONDS, int(queued) / _NANOSECONDS)


def describe(
    former: ProcessorTimes | None, later: ProcessorTimes | None
) -> str:
    """Tells apart why a process did not get on between two readings."""
    if former is None or later is None:
        return "processor times unknown"
    used_s = later.used_s - former.used_s
    queued_s = later.queued_s - former.queued_s
    return (
        f"{used_s:.2f} s on a processor, {queued_s:.2f} s in the queue for one"
    )
