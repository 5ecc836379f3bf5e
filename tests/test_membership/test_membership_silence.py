"""Tests of whether a host hears any other one."""

from __future__ import annotations

from persimmonhinge.membership import silence as silences


def _make_silence() -> silences.Silence:
    silence = silences.Silence()
    silence.limit_s = 1.0
    silence.note_heard(10.0)
    return silence


def test_host_that_never_heard_another_one_is_not_cut_off() -> None:
    silence = silences.Silence()
    silence.limit_s = 1.0
    assert not silence.is_recent(1000.0, 3.0)


def test_silence_shows_while_it_lasts_and_a_moment_later() -> None:
    """A host takes others for dead as soon as its own cut has healed."""
    silence = _make_silence()
    assert not silence.is_recent(10.9, 3.0)
    assert silence.is_recent(11.1, 3.0)
    silence.note_heard(20.0)
    assert silence.is_recent(22.9, 3.0)
    for tenths in range(201, 232):
        silence.note_heard(tenths / 10)
    assert not silence.is_recent(23.1, 3.0)
