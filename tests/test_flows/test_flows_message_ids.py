"""Tests of the message ids of datagrams to callers."""

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
    steps=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 1), strategies.integers(25, 2000)
        ),
        min_size=1,
        max_size=300,
    ),
)
def test_no_id_is_reused_when_a_flow_moves_between_hosts(
    start: int, skew_ms: int, steps: list[tuple[int, int]]
) -> None:
    """Guards against notifications that a caller discards as copies.

    The home of a feed changes, and the new home uses message ids that the
    former home has just used. This happens if each host counts independently
    from a random number.
    """
    now = [start]
    hosts = (
        message_ids.MessageIds(lambda: now[0]),
        message_ids.MessageIds(lambda: now[0] + skew_ms),
    )
    sent: dict[int, int] = {}
    for host, pause_ms in steps:
        now[0] += pause_ms
        message_id = hosts[host].allocate_id(_FLOW)
        if message_id in sent:
            assert now[0] - sent[message_id] >= _LIFETIME_MS
        sent[message_id] = now[0]


def test_a_burst_repeats_no_id() -> None:
    allocator = message_ids.MessageIds(lambda: 0)
    allocated = [allocator.allocate_id(_FLOW) for _ in range(60_000)]
    assert len(set(allocated)) == len(allocated)
