"""Tests of whether a host hears any other one."""

from __future__ import annotations

from persimmonhinge.membership import isolation


def _make_detector() -> isolation.IsolationDetector:
    silence = isolation.IsolationDetector()
    silence.limit_s = 1.0
    silence.record_datagram(10.0)
    return silence


def test_host_that_never_heard_another_one_is_not_cut_off() -> None:
    silence = isolation.IsolationDetector()
    silence.limit_s = 1.0
    assert not silence.was_recently_isolated(1000.0, 3.0)


def test_silence_shows_while_it_lasts_and_a_moment_later() -> None:
    """A host takes others for dead as soon as its own cut has healed."""
    silence = _make_detector()
    assert not silence.was_recently_isolated(10.9, 3.0)
    assert silence.was_recently_isolated(11.1, 3.0)
    silence.record_datagram(20.0)
    assert silence.was_recently_isolated(22.9, 3.0)
    for tenths in range(201, 232):
        silence.record_datagram(tenths / 10)
    assert not silence.was_recently_isolated(23.1, 3.0)
