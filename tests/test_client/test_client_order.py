"""Tests of the order of notifications."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from persimmonhinge.client import order as orders

RANGE = 1 << 24


@hypothesis.given(
    start=strategies.integers(0, RANGE - 1),
    steps=strategies.lists(strategies.integers(1, 1 << 20), max_size=20),
)
def test_numbers_wrap(start: int, steps: list[int]) -> None:
    order = orders.NotificationOrder()
    assert order.take(start, 0.0)
    sequence = start
    for step in steps:
        former = sequence
        sequence = (sequence + step) % RANGE
        assert order.take(sequence, 1.0)
        assert not order.take(sequence, 1.0)
        assert not order.take(former, 1.0)


def test_old_number_counts_after_128_s() -> None:
    order = orders.NotificationOrder()
    assert order.take(10, 0.0)
    assert not order.take(9, 128.0)
    assert order.take(9, 128.5)
