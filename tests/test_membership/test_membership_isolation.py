"""Tests of the detection that a host receives nothing from other hosts."""

from __future__ import annotations

from persimmonhinge.membership import isolation


def _make_detector() -> isolation.IsolationDetector:
    detector = isolation.IsolationDetector()
    detector.max_silence_s = 1.0
    detector.record_datagram(10.0)
    return detector


def test_host_that_never_received_a_datagram_is_not_isolated() -> None:
    detector = isolation.IsolationDetector()
    detector.max_silence_s = 1.0
    assert not detector.was_recently_isolated(1000.0, 3.0)


def test_isolation_is_reported_until_shortly_after_its_end() -> None:
    """Guards against declaring hosts dead just after a partition ends.

    The answers of the other hosts arrive only some time after an isolated
    host is connected again, so isolation must still be reported until then.
    """
    detector = _make_detector()
    assert not detector.was_recently_isolated(10.9, 3.0)
    assert detector.was_recently_isolated(11.1, 3.0)
    detector.record_datagram(20.0)
    assert detector.was_recently_isolated(22.9, 3.0)
    for tenths in range(201, 232):
        detector.record_datagram(tenths / 10)
    assert not detector.was_recently_isolated(23.1, 3.0)
