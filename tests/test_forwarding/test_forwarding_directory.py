"""Tests of the upstreams known to a host."""

from __future__ import annotations

from persimmonhinge.forwarding import directory as directory_module
from tests.test_forwarding import scene as scenes

_UPSTREAMS = 200
_RETENTION_S = 60.0


class CountedTime(float):
    """A time that counts how often an end of retention is computed from it."""

    count = 0

    def __add__(self, other: float) -> float:
        """Returns the sum."""
        CountedTime.count += 1
        return float(self) + other


def test_ended_upstreams_are_not_walked_at_each_end() -> None:
    """Guards against a host that is blocked by a batch of deletions."""
    directory = directory_module.Directory(_RETENTION_S)
    upstreams = [scenes.make_upstream(number) for number in range(_UPSTREAMS)]
    for upstream in upstreams:
        directory.put(upstream, 0.0)
    CountedTime.count = 0
    for upstream in upstreams:
        directory.mark_ended(upstream.id, CountedTime(1.0))
    assert CountedTime.count <= 2 * _UPSTREAMS
    directory.mark_ended(upstreams[0].id, 30.0)
    directory.mark_ended(upstreams[1].id, 1.5 + _RETENTION_S)
    assert {u.id for u in directory.list_all()} == {u.id for u in upstreams[:2]}
