"""Properties of the trust in an upstream."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from persimmonhinge import ids
from persimmonhinge.upstreams import costs
from persimmonhinge.upstreams import health_score

_Sign = health_score.HealthSignal
_BAD = (_Sign.FAILED, _Sign.SHED, _Sign.STALLED)


@hypothesis.given(
    signs=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(list(_Sign)),
            strategies.floats(0, 30),
            strategies.floats(0.001, 5),
        ),
        max_size=50,
    )
)
def test_trust_stays_within_its_bounds(
    signs: list[tuple[health_score.HealthSignal, float, float]],
) -> None:
    now = 0.0
    trust = health_score.HealthScore(now)
    for sign, pause_s, run_s in signs:
        now += pause_s
        before = trust.read(now)
        trust.record_signal(sign, now, run_s)
        after = trust.read(now)
        assert 0 < after <= 1
        if sign in _BAD:
            assert after < before or after == before <= 0.02


def test_trust_of_an_upstream_that_fails_fast_falls_to_a_trickle() -> None:
    """An upstream answers errors in a millisecond and looks idle.

    It would draw more and more reservations if speed alone counted.
    """
    trust = health_score.HealthScore(0.0)
    for number in range(20):
        trust.record_signal(_Sign.FAILED, number / 10)
    assert trust.read(2.0) < 0.1
    assert trust.read(62.0) == 1.0


def test_trust_falls_when_an_upstream_becomes_ten_times_slower() -> None:
    """An upstream runs hot; its answers still come, ten times later.

    Manifests always take long, and must not count as slow reservations.
    """
    trust = health_score.HealthScore(0.0)
    cost = costs.Costs()
    now = 0.0

    def run(name: str, run_s: float, times: int) -> float:
        nonlocal now
        for _ in range(times):
            now += run_s
            slowdown = cost.record_run(ids.CallClassName(name), run_s)
            trust.record_signal(_Sign.ANSWERED, now, run_s, slowdown)
        return trust.read(now)

    assert run("reservations", 0.04, 50) == 1.0
    assert run("manifests", 2.0, 5) == 1.0
    assert run("reservations", 0.6, 8) < 0.4
    assert run("reservations", 0.04, 30) == 1.0
