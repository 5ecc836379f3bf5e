"""Tests of what a host may do after it stood still."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from persimmonhinge.contracts import freshness as freshness_parts

_LIMIT_S = freshness_parts.PAUSE_LIMIT_S
_HOLD_S = freshness_parts.HOLD_LIMIT_S


class _Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def read(self) -> float:
        return self.now


def _make() -> tuple[freshness_parts.Freshness, _Clock]:
    clock = _Clock()
    fresh = freshness_parts.Freshness(clock.read)
    fresh.tick()
    return fresh, clock


def test_pause_is_noticed_before_the_first_tick() -> None:
    """A woken keeper sends to an upstream that has a new owner.

    The process stands still and wakes; the packet in its socket is taken
    before the task that ticks runs. It may not be sent.
    """
    fresh, clock = _make()
    clock.now += _LIMIT_S + 0.1
    assert not fresh.is_current()
    fresh.tick()
    assert not fresh.is_current()
    fresh.confirm(clock.now)
    assert fresh.is_current()


def test_answer_to_a_question_from_before_the_pause_confirms_nothing() -> None:
    """A woken keeper trusts an answer that waited in its socket.

    The question went out before the pause; what it says is as old.
    """
    fresh, clock = _make()
    asked_at = clock.now
    clock.now += _LIMIT_S + 0.1
    fresh.confirm(asked_at)
    assert not fresh.is_current()


def test_host_that_nobody_answers_serves_again() -> None:
    """A hall stands still since its only host was paused while cut off."""
    fresh, clock = _make()
    clock.now += _LIMIT_S + 0.1
    fresh.tick()
    woke_at = clock.now
    while clock.now < woke_at + _HOLD_S:
        assert not fresh.is_current()
        clock.now += freshness_parts.TICK_INTERVAL_S
        fresh.tick()
    assert fresh.is_current()


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(("tick", "ask", "answer", "sleep", "pause")),
        max_size=40,
    )
)
def test_acts_only_on_what_was_asked_for_since_the_last_pause(
    steps: list[str],
) -> None:
    """Whatever the order of ticks, questions and pauses."""
    fresh, clock = _make()
    woke_at: float | None = None
    asked_at: float | None = None
    for step in steps:
        if step == "tick":
            fresh.tick()
        elif step == "ask":
            asked_at = clock.now
        elif step == "answer" and asked_at is not None:
            fresh.confirm(asked_at)
            if woke_at is not None and asked_at >= woke_at:
                woke_at = None
        elif step == "sleep":
            fresh.tick()
            clock.now += freshness_parts.TICK_INTERVAL_S
        elif step == "pause":
            fresh.tick()
            clock.now += _LIMIT_S + 0.1
            woke_at = clock.now
        held = woke_at is not None and clock.now < woke_at + _HOLD_S
        assert fresh.is_current() is not held
