"""Tests of message ids to callers."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from persimmonhinge import ids
from persimmonhinge.flows import message_ids
from persimmonhinge.flows import port

_FLOW = port.Flow(ids.ServiceName("trading"), ("127.0.0.1", 4000))
# EXCHANGE_LIFETIME of RFC 7252 section 4.8.2.
_LIFETIME_MS = 247_000


@hypothesis.settings(max_examples=30)
@hypothesis.given(
    start=strategies.integers(0, 1 << 40),
    skew_ms=strategies.integers(0, 20),
    courses=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 1), strategies.integers(25, 2000)
        ),
        min_size=1,
        max_size=300,
    ),
)
def test_no_id_comes_back_when_a_flow_moves_between_hosts(
    start: int, skew_ms: int, courses: list[tuple[int, int]]
) -> None:
    """A wholesaler's price board stands still for a while after a change.

    The feed's home changes, and the new home sends under message ids that
    the former used a moment ago. The caller drops them as copies. Cause:
    each host counted on its own, from a random number on.
    """
    now = [start]
    hosts = (
        message_ids.MessageIds(lambda: now[0]),
        message_ids.MessageIds(lambda: now[0] + skew_ms),
    )
    sent: dict[int, int] = {}
    for host, pause_ms in courses:
        now[0] += pause_ms
        message_id = hosts[host].allocate_id(_FLOW)
        if message_id in sent:
            assert now[0] - sent[message_id] >= _LIFETIME_MS
        sent[message_id] = now[0]


def test_a_burst_repeats_no_id() -> None:
    counter = message_ids.MessageIds(lambda: 0)
    taken = [counter.allocate_id(_FLOW) for _ in range(60_000)]
    assert len(set(taken)) == len(taken)
