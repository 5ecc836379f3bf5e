"""Properties of the admission policies."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies

from persimmonhinge.policies import admission
from persimmonhinge.policies import builtin  # noqa: F401

_SECONDS = strategies.floats(0, 100)


@strategies.composite
def draw_pressure(draw: strategies.DrawFn) -> admission.Pressure:
    """Draws the load of an upstream and its queue."""
    slots = draw(strategies.integers(1, 5))
    ahead_s = draw(_SECONDS)
    return admission.Pressure(
        slots=slots,
        free_slots=draw(strategies.integers(0, slots)),
        time_left_s=draw(_SECONDS),
        cost_s=draw(_SECONDS),
        running_s=draw(_SECONDS),
        ahead_s=ahead_s,
        queued_s=ahead_s + draw(_SECONDS),
    )


@hypothesis.given(pressure=draw_pressure())
def test_admission_refuses_just_what_can_not_be_served(
    pressure: admission.Pressure,
) -> None:
    policy = admission.admission_policies.get("deadline")()
    has_free_slot = pressure.free_slots > 0 and pressure.ahead_s == 0
    meets_deadline = pressure.expected_finish_s <= pressure.time_left_s
    assert policy.admits(pressure) == (has_free_slot or meets_deadline)
    assert admission.admission_policies.get("open")().admits(pressure)


@hypothesis.given(pressure=draw_pressure(), seed=strategies.integers(0, 99))
def test_admission_spreads_retries_over_the_time_to_drain(
    pressure: admission.Pressure, seed: int
) -> None:
    randomness = random.Random(seed)
    delays = {
        admission.choose_retry_delay_s(pressure, randomness) for _ in range(50)
    }
    assert min(delays) >= max(1, pressure.queue_drain_s)
    assert max(delays) <= 2 * (pressure.queue_drain_s + 1)
    assert len(delays) > 1
