"""Tells whether a process got no processor for a while."""

from __future__ import annotations

import pathlib
import time

import trio

_INTERVAL_S = 0.1
_LEAST_GAP_S = 0.5
_NANOSECONDS = 1e9
# Time on a processor, time in the queue for one, and turns, by the kernel.
_STATISTICS = pathlib.Path("/proc/self/schedstat")


async def report_gaps() -> None:
    """Prints each gap, and how much of it the kernel let the process wait.

    A gap that the process spent in the queue for a processor comes from
    outside; of any other gap it is itself the cause.
    """
    last, queued_s = time.monotonic(), _read_queued_s()
    while True:
        await trio.sleep(_INTERVAL_S)
        now, queued_now_s = time.monotonic(), _read_queued_s()
        gap_s = now - last - _INTERVAL_S
        if gap_s > _LEAST_GAP_S:
            waited_s = queued_now_s - queued_s
            print(
                f"did not run for {gap_s:.2f} s, of which {waited_s:.2f} s"
                " in the queue for a processor",
                flush=True,
            )
        last, queued_s = now, queued_now_s


def _read_queued_s() -> float:
    """Returns how long the process has waited for a processor, seconds."""
    try:
        fields = _STATISTICS.read_text().split()
    except OSError:
        return 0.0
    return int(fields[1]) / _NANOSECONDS
