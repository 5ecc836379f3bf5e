"""Runs asynchronous test functions under trio."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import random
from typing import Any
from unittest import mock

import trio
from trio._core import _run as scheduler
import trio.testing

from tests.standins import starvation

# Seed of the order of tasks in all tests on a mock clock.
_ORDER = 1


def trio_test(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Makes a test of an asynchronous function, on the real clock."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        trio.run(_run_watched, functools.partial(test, *args, **kwargs))

    # A wrapped function would be taken for one with arguments.
    del run.__wrapped__
    return run


async def _run_watched(test: Callable[[], Awaitable[None]]) -> None:
    """Runs a test and prints when its own process did not run meanwhile."""
    trio.lowlevel.spawn_system_task(starvation.report_gaps)
    await test()


def clock_test(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Makes a test that runs on a mock clock which jumps when all wait."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        run_in_order(_ORDER, functools.partial(test, *args, **kwargs))

    del run.__wrapped__
    return run


def run_in_order(seed: int, test: Callable[[], Awaitable[None]]) -> None:
    """Runs a function on a mock clock, its tasks in an order that is drawn.

    Guards against verdicts that do not repeat: trio draws the order of tasks
    that are ready together anew for each run, and a test of messages that are
    lost draws them in that order. The scheduler has no public name for this.

    Args:
        seed: Seed of the order.
        test: The function.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    with (
        mock.patch.object(scheduler, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
        mock.patch.object(scheduler, "_r", random.Random(seed)),
    ):
        trio.run(test, clock=clock)
