"""Properties of the measures of balance."""

from __future__ import annotations

import math

import hypothesis
from hypothesis import strategies

from persimmonhinge import ids
from persimmonhinge.load import balance


@hypothesis.given(
    rate=strategies.integers(1, 50),
    count=strategies.integers(2, 7),
    part=strategies.floats(0.1, 1.0),
)
def test_drained_upstream_that_had_its_part_makes_no_imbalance(
    rate: int, count: int, part: float
) -> None:
    """A drain in the middle of a run looks like bad balance."""
    names = [ids.UpstreamId(f"u{number}") for number in range(count)]
    runs = {name: rate * 100.0 for name in names}
    runs[names[0]] *= part
    left_at = {names[0]: 1000.0 + 100.0 * part}
    scaled = balance.scale_left(runs, left_at, 1000.0, 1100.0)
    assert math.isclose(balance.compute_imbalance(scaled), 1.0)
    assert balance.compute_variation(scaled) < 1e-6


@hypothesis.given(
    amounts=strategies.lists(strategies.integers(0, 99), min_size=1, max_size=9)
)
def test_imbalance_is_one_to_the_number_of_upstreams(
    amounts: list[int],
) -> None:
    table = {
        ids.UpstreamId(str(number)): float(amount)
        for number, amount in enumerate(amounts)
    }
    imbalance = balance.compute_imbalance(table)
    if not sum(amounts):
        assert imbalance == 0
        return
    assert 1 - 1e-9 <= imbalance <= len(amounts) + 1e-9
    even = balance.compute_variation(table) == 0
    assert even == (len(set(amounts)) == 1)
