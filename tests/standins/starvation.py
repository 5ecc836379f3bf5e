"""Tells whether a process got no processor for a while."""

from __future__ import annotations

import datetime
import sys
import time

import trio

from persimmonhinge import processor_times

_INTERVAL_S = 0.1
_LEAST_GAP_S = 0.3


async def report_gaps() -> None:
    """Prints when and for how long the process did not run, and why.

    A gap that the process spent in the queue for a processor, or stopped,
    comes from outside; of one that it spent on a processor it is the cause.
    The lines go to the output of the process, also while a test captures that
    of a command.
    """
    last, times = time.monotonic(), processor_times.read()
    while True:
        await trio.sleep(_INTERVAL_S)
        now, times_now = time.monotonic(), processor_times.read()
        gap_s = now - last - _INTERVAL_S
        if gap_s > _LEAST_GAP_S:
            clock = datetime.datetime.now(datetime.UTC).isoformat()
            print(
                f"{clock} did not run for {gap_s:.2f} s:"
                f" {processor_times.describe(times, times_now)}",
                file=sys.__stdout__,
                flush=True,
            )
        last, times = now, times_now
