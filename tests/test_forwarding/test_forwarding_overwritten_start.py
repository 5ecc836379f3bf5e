"""Tests of entries that lack the start that an upstream has told."""

from __future__ import annotations

from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.store import port
from tests.test_forwarding import test_forwarding_entry_replica as replicas
from tests.test_forwarding import test_forwarding_evacuation as evacuations

_KEY = replicas.make_key("1")
_READY = upstreams.UpstreamState.READY
_DRAINING = upstreams.UpstreamState.DRAINING
_ENDED = upstreams.UpstreamState.ENDED


def make_replica(**start: int) -> replicas.HostReplica:
    """Returns a replica with one upstream, whose entry has revision 2."""
    replica = replicas.HostReplica()
    replica.entries.apply("op/config", replicas.make_state(3), 1)
    replica.entries.apply(_KEY, replicas.make_entry("ready", **start), 2)
    return replica


def test_entry_without_the_start_of_an_upstream_ends_nothing() -> None:
    """Guards against open flows at a live upstream that are reset."""
    for overwritten in ({}, {"born": 0}, {"born": 999}):
        replica = make_replica(born=1000)
        replica.entries.apply(
            _KEY, replicas.make_entry("ready", **overwritten), 3
        )
        assert replica.find_upstream_state("1@1000") is _DRAINING
        assert replica.find_upstream_state("1") is None
        assert replica.find_upstream_state("1@999") is None
        assert replica.counts.get("unreadable_entries_total") == 1


def test_upstream_gets_flows_again_once_it_tells_its_start() -> None:
    replica = make_replica(born=1000)
    replica.entries.apply(_KEY, replicas.make_entry(), 3)
    replica.entries.apply(_KEY, replicas.make_entry(born=1000), 4)
    assert replica.find_upstream_state("1@1000") is _READY


def test_later_start_replaces_an_overwritten_upstream() -> None:
    """Guards against flows that hang after a restart that followed."""
    replica = make_replica(born=1000)
    replica.entries.apply(_KEY, replicas.make_entry(), 3)
    replica.entries.apply(_KEY, replicas.make_entry(born=2000), 4)
    assert replica.find_upstream_state("1@1000") is _ENDED
    assert replica.find_upstream_state("1@2000") is _READY


def test_older_rewrite_that_comes_late_changes_nothing() -> None:
    replica = make_replica(born=1000)
    replica.entries.apply(_KEY, replicas.make_entry(born=1000), 4)
    replica.entries.apply(_KEY, replicas.make_entry(), 3, "peer")
    assert replica.find_upstream_state("1@1000") is _READY


def test_deletion_of_an_overwritten_entry_ends_the_upstream() -> None:
    """Guards against an upstream that stays after its key has gone."""
    replica = make_replica(born=1000)
    replica.entries.record_answer()
    replica.entries.apply(_KEY, replicas.make_entry(), 3)
    replica.entries.apply(_KEY, None, 4)
    assert replica.find_upstream_state("1@1000") is _ENDED
    replica.entries.apply(_KEY, replicas.make_entry(), 5)
    assert replica.find_upstream_state("1") is _READY


def test_read_after_a_dropped_history_ends_nothing() -> None:
    """Guards against resets by hosts that read all entries again."""
    replica = make_replica(born=1000)
    overwritten = port.KeyValue(_KEY, replicas.make_entry(), 3)
    evacuations.read_store(replica, 3, overwritten)
    assert replica.find_upstream_state("1@1000") is _DRAINING


def test_upstream_that_never_tells_its_start_is_served_as_before() -> None:
    replica = make_replica()
    replica.entries.apply(_KEY, replicas.make_entry(), 3)
    assert replica.find_upstream_state("1") is _READY
    replica.entries.apply(_KEY, replicas.make_entry(born=1000), 4)
    assert replica.find_upstream_state("1") is _ENDED
    assert replica.find_upstream_state("1@1000") is _READY
