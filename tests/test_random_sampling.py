"""Tests of random selection."""

from __future__ import annotations

from persimmonhinge import random_sampling


def test_each_item_is_drawn_eventually() -> None:
    assert {random_sampling.choose("abc") for _ in range(500)} == set("abc")


def test_sample_draws_each_item_at_most_once() -> None:
    for max_count in range(6):
        drawn = random_sampling.sample(range(4), max_count)
        assert len(drawn) == len(set(drawn)) == min(max_count, 4)
        assert set(drawn) <= set(range(4))
