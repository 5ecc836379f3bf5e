"""Seeds that failed once, each with its cause; `--regressions` runs them."""

from __future__ import annotations

from typing import NamedTuple


class Regression(NamedTuple):
    """A run that once failed.

    Attributes:
        seed: Its seed.
        minutes: Its length.
        cause: What was wrong, and which test shows it alone.
    """

    seed: int
    minutes: float
    cause: str


REGRESSIONS = (
    Regression(
        140,
        1.0,
        "The stand-in wrote entries back 2.9 s after an outage of the store, "
        "where two are promised; hosts reset flows of upstreams that lived.",
    ),
    Regression(
        262,
        0.75,
        "A probe was judged by a version that its successor had replaced; "
        "the writer had not yet heard of its success.",
    ),
    Regression(
        2006,
        0.75,
        "A caller took the late copy of a refusal for one of its next try "
        "and tried a third time: test_load_flows_caller.",
    ),
)
