"""Seeds that failed once, each with its cause; `--regressions` runs them."""

from __future__ import annotations

from typing import NamedTuple

_FIRST_KINDS = 22
_FIRST_DOMAINS = 2
_FIRST_HOSTS = 4


class Regression(NamedTuple):
    """A run that once failed.

    Attributes:
        seed: Its seed.
        minutes: Its length.
        cause: What was wrong, and which test shows it alone.
        kinds: How many kinds of faults there were when it failed.
        domains: How many failure domains.
        hosts: How many hosts.
    """

    seed: int
    minutes: float
    cause: str
    kinds: int = _FIRST_KINDS
    domains: int = _FIRST_DOMAINS
    hosts: int = _FIRST_HOSTS


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
    Regression(
        4019,
        0.6,
        "The soak read packets up to 4 s late on a machine that was too busy, "
        "and took them for openings long after a drain: test_soak_verdicts.",
        kinds=25,
        domains=3,
        hosts=6,
    ),
    Regression(
        4020,
        0.6,
        "Hosts opened each flow at three upstreams that were only late, which "
        "kept them late: test_openings_are_not_tripled_where_all_upstreams_"
        "answer_late.",
        kinds=25,
        domains=3,
        hosts=6,
    ),
    Regression(
        5001,
        1.0,
        "Hosts reset flows of upstreams that lived: two lost packets and "
        "openings that late hosts had missed counted as silence: "
        "test_forwarding_open_flows.",
        kinds=25,
        domains=3,
        hosts=6,
    ),
)
