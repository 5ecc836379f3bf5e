"""Property tests of a host's estimates of the load of upstreams."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from persimmonhinge import ids
from persimmonhinge.contracts import contract
from persimmonhinge.flows import loads
from persimmonhinge.peers.messages import work

_SERVICE = ids.ServiceName("floor-trading")
_UPSTREAM = ids.UpstreamId("u1")
_REQUEST = contract.CallKind.REQUEST
_FEED = contract.CallKind.FEED
_KINDS = strategies.sampled_from([_REQUEST, _FEED])


def _make_load(
    busy: int = 0, queued: int = 0, feeds: int = 0
) -> work.UpstreamLoad:
    return work.UpstreamLoad(_UPSTREAM, 2, busy, queued, feeds)


def _estimate(
    tracker: loads.LoadTracker, kind: contract.CallKind, home_count: int = 1
) -> float:
    return tracker.estimate(_SERVICE, _UPSTREAM, kind, home_count)


@hypothesis.given(
    kind=_KINDS,
    steps=strategies.lists(
        strategies.sampled_from(["start", "end", "report"]), max_size=60
    ),
)
def test_estimate_is_exact_while_no_other_host_works(
    kind: contract.CallKind, steps: list[str]
) -> None:
    """Guards against wrong estimates when only one host sends work.

    Around a load report, the host's own requests and feeds may be counted or
    subtracted twice.
    """
    tracker = loads.LoadTracker(lambda: 0.0)
    running = 0
    for step in steps:
        if step == "start":
            running += 1
            tracker.record_start(_SERVICE, _UPSTREAM, kind)
        elif step == "end" and running:
            running -= 1
            tracker.record_end(_SERVICE, _UPSTREAM, kind)
        elif step == "report":
            tracker.record_load(_SERVICE, _make_load(running, 0, running))
        assert _estimate(tracker, kind) == running
        assert tracker.count_own(_SERVICE, _UPSTREAM, kind) == running


@hypothesis.given(
    kind=_KINDS,
    reported=strategies.integers(0, 9),
    started=strategies.integers(0, 9),
    ended=strategies.integers(0, 9),
)
def test_estimate_is_never_negative(
    kind: contract.CallKind, reported: int, started: int, ended: int
) -> None:
    tracker = loads.LoadTracker(lambda: 0.0)
    for _ in range(started):
        tracker.record_start(_SERVICE, _UPSTREAM, kind)
    tracker.record_load(_SERVICE, _make_load(reported, 0, reported))
    for _ in range(min(started, ended)):
        tracker.record_end(_SERVICE, _UPSTREAM, kind)
    assert _estimate(tracker, kind, home_count=6) >= 0


def test_queue_counts_as_load_and_feeds_of_other_hosts_too() -> None:
    tracker = loads.LoadTracker(lambda: 0.0)
    assert _estimate(tracker, _FEED) == 0
    tracker.record_load(_SERVICE, _make_load(busy=2, queued=3, feeds=40))
    assert _estimate(tracker, _REQUEST) == 5
    assert _estimate(tracker, _FEED) == 40
    other = ids.ServiceName("grower-intake")
    assert tracker.estimate(other, _UPSTREAM, _FEED) == 0


def test_feeds_opened_since_the_report_count_for_all_homes() -> None:
    """Guards against feeds that all hosts open at the same upstream.

    Callers open feeds at all hosts within the same minute. All hosts have the
    same report, half a second old. If each host adds only its own few feeds
    to it, the upstream with the fewest feeds keeps looking empty.
    """
    tracker = loads.LoadTracker(lambda: 0.0)
    tracker.record_load(_SERVICE, _make_load(busy=1, feeds=10))
    for _ in range(2):
        tracker.record_start(_SERVICE, _UPSTREAM, _FEED)
        tracker.record_start(_SERVICE, _UPSTREAM, _REQUEST)
    assert _estimate(tracker, _FEED, home_count=6) == 22
    assert _estimate(tracker, _REQUEST, home_count=6) == 3
    tracker.record_load(_SERVICE, _make_load(busy=1, feeds=22))
    tracker.record_end(_SERVICE, _UPSTREAM, _FEED)
    assert _estimate(tracker, _FEED, home_count=6) == 21
