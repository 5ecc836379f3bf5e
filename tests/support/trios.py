"""Runs asynchronous test functions under trio."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import functools
from typing import Any

import trio
import trio.testing


def trio_test(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Makes a test of an asynchronous function, on the real clock."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        trio.run(functools.partial(test, *args, **kwargs))

    # A wrapped function would be taken for one with arguments.
    del run.__wrapped__
    return run


def clock_test(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Makes a test that runs on a mock clock which jumps when all wait."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(functools.partial(test, *args, **kwargs), clock=clock)

    del run.__wrapped__
    return run
