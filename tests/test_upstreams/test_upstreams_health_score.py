"""Properties of the health score of an upstream."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from persimmonhinge import ids
from persimmonhinge.upstreams import costs
from persimmonhinge.upstreams import health_score

_Signal = health_score.HealthSignal
_FAILURES = (_Signal.FAILED, _Signal.SHED, _Signal.STALLED)


@hypothesis.given(
    signals=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(list(_Signal)),
            strategies.floats(0, 30),
            strategies.floats(0.001, 5),
        ),
        max_size=50,
    )
)
def test_score_stays_within_its_bounds(
    signals: list[tuple[health_score.HealthSignal, float, float]],
) -> None:
    now = 0.0
    score = health_score.HealthScore(now)
    for signal, pause_s, run_s in signals:
        now += pause_s
        before = score.read(now)
        score.record_signal(signal, now, run_s)
        after = score.read(now)
        assert 0 < after <= 1
        if signal in _FAILURES:
            assert after < before or after == before <= 0.02


def test_score_falls_when_an_upstream_fails_fast() -> None:
    """An upstream that fails fast must get fewer requests.

    It answers with errors in a millisecond and so seems idle. If only run
    times counted, it would get more and more requests.
    """
    score = health_score.HealthScore(0.0)
    for number in range(20):
        score.record_signal(_Signal.FAILED, number / 10)
    assert score.read(2.0) < 0.1
    assert score.read(62.0) == 1.0


def test_score_falls_when_an_upstream_becomes_ten_times_slower() -> None:
    """A much slower upstream must get fewer requests although it answers.

    Requests of a call class that always runs long must not count as slow.
    """
    score = health_score.HealthScore(0.0)
    cost = costs.Costs()
    now = 0.0

    def run(name: str, run_s: float, times: int) -> float:
        nonlocal now
        for _ in range(times):
            now += run_s
            slowdown = cost.record_run(ids.CallClassName(name), run_s)
            score.record_signal(_Signal.ANSWERED, now, run_s, slowdown)
        return score.read(now)

    assert run("reservations", 0.04, 50) == 1.0
    assert run("manifests", 2.0, 5) == 1.0
    assert run("reservations", 0.6, 8) < 0.4
    assert run("reservations", 0.04, 30) == 1.0
