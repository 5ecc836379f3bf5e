"""Tests of the check of a feed's ticks."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from persimmonhinge import ids
from persimmonhinge.load import feed_record

STALL_S = 5.0
Fault = feed_record.FeedFault


def watch(*ticks: int, renewed: bool = False) -> list[Fault]:
    record = feed_record.FeedRecord(ids.ServiceName("floor"), "f", STALL_S)
    for number, tick in enumerate(ticks):
        record.take(tick, float(number), renewed=renewed)
    record.end(float(len(ticks)), cut_off=False)
    return record.faults


@hypothesis.given(
    first=strategies.integers(0, 1 << 40), count=strategies.integers(0, 50)
)
def test_whole_feed_has_no_fault(first: int, count: int) -> None:
    assert not watch(*range(first, first + count))


def test_faults_are_told_apart() -> None:
    assert watch(1, 2, 4, 5) == [Fault.GAP]
    assert watch(1, 2, 2, 3) == [Fault.REPEAT]
    assert watch(1, 2, 1, 2) == [Fault.STEP_BACK]


def test_new_registration_may_show_the_last_tick_again() -> None:
    assert not watch(1, 2, 2, 3, renewed=True)
    assert watch(1, 2, 1, renewed=True) == [Fault.STEP_BACK]


def test_silence_breaks_a_feed() -> None:
    record = feed_record.FeedRecord(ids.ServiceName("floor"), "f", STALL_S)
    record.take(1, 0.0, renewed=False)
    record.end(6.0, cut_off=True)
    assert record.faults == [Fault.STALL, Fault.ENDED]
    assert record.broken


def test_feed_that_never_opened_is_not_broken() -> None:
    record = feed_record.FeedRecord(ids.ServiceName("floor"), "f", STALL_S)
    record.end(100.0, cut_off=True)
    assert not record.opened
    assert not record.broken
