"""Tests of the auto-reset event."""

from __future__ import annotations

import trio

from benchmarks import host_cost
from persimmonhinge.forwarding import auto_reset_event
from tests.support import trios

_RUN_DURATION_S = 3.0
_WAIT_LIMIT_S = 5.0


@trios.clock_test
async def test_task_that_is_woken_while_it_does_not_wait_looks_again() -> None:
    """Guards against a missed signal that is set before the task waits."""
    event = auto_reset_event.AutoResetEvent()
    event.set()
    await event.wait()
    started_at = trio.current_time()
    await event.wait(_WAIT_LIMIT_S)
    assert trio.current_time() - started_at >= _WAIT_LIMIT_S


@trios.clock_test
async def test_wait_that_is_over_by_then_ends_no_host() -> None:
    """Guards against a negative timeout, which would end the process."""
    await auto_reset_event.AutoResetEvent().wait(-0.01)


def test_host_of_a_quiet_fleet_wakes_up_for_messages_at_most() -> None:
    """Guards against small hosts that spend processor time on polling."""
    parts = host_cost.run(24, 3, _RUN_DURATION_S)
    message_count = parts.pop(host_cost.HEARD)["wake_ups"]
    wake_up_count = sum(part["wake_ups"] for part in parts.values())
    assert wake_up_count < message_count, parts
