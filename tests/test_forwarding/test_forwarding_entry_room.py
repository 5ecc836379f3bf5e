"""Tests of a host whose entries have no more room."""

from __future__ import annotations

from unittest import mock

from persimmonhinge.forwarding import entry_table
from persimmonhinge.forwarding import store_entry
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding.peers import codec
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.store import port
from tests.test_forwarding import test_forwarding_entry_replica as readers
from tests.test_forwarding import test_forwarding_evacuation as evacuations

_FILLING_ENTRIES = 6000
_SNAPSHOTS: codec.MessageCodec[messages.Snapshot] = codec.MessageCodec(
    messages.Snapshot
)
_KEY, _OTHER_KEY = map(readers.make_key, "ab")
_LONG_STATE = b'{"Version": 2, "Routes": [], "x": "%s"}' % (b"y" * 1_000_000)


def _fill(replica: readers.HostReplica, value: bytes) -> None:
    for first in range(2, _FILLING_ENTRIES, 50):
        entries = tuple(
            store_entry.StoreEntry(readers.make_key(f"f{r}"), value, r)
            for r in range(first, first + 50)
        )
        replica.entries.apply_update(
            messages.EntryUpdate(first - 1, first + 49, True, entries), "peer"
        )


def test_entries_of_another_writer_leave_room_for_others() -> None:
    """Guards against a full memory, and snapshots that no host takes."""
    for value in (b"x" * 5000, readers.make_entry(x="y" * 3600)):
        replica = readers.HostReplica()
        replica.entries.apply(_KEY, readers.make_entry(), 1)
        _fill(replica, value)
        replica.entries.apply(_KEY, readers.make_entry("draining"), 10_000)
        replica.entries.apply("op/config", _LONG_STATE, 10_001)
        snapshot = replica.entries.make_snapshot(0, ())
        assert _SNAPSHOTS.decode(_SNAPSHOTS.encode(snapshot)) == snapshot
        found = replica.find_upstream_state("a")
        assert found is upstream_module.UpstreamState.DRAINING
        assert replica.knowledge.state is not None
        assert replica.counts.sum("unreadable_entries_total")
        assert replica.counts.sum("input_failures_total") == 0


def test_known_entries_cannot_grow_beyond_the_room() -> None:
    """Guards against short entries that are filled, and then made longer."""
    replica = readers.HostReplica()
    for revision in range(1, 601):
        key = readers.make_key(f"{revision % 300:x}")
        value = readers.make_entry(x="y" * (16_000 if revision > 300 else 1))
        replica.entries.apply(key, value, revision)
    snapshot = replica.entries.make_snapshot(0, ())
    assert _SNAPSHOTS.decode(_SNAPSHOTS.encode(snapshot)) == snapshot
    assert replica.counts.sum("input_failures_total") == 0


def test_refused_key_is_not_taken_as_deleted() -> None:
    """Guards against a full host that makes others end an upstream."""
    sender, receiver = readers.HostReplica(), readers.HostReplica()
    receiver.entries.apply(_OTHER_KEY, readers.make_entry(), 2)
    with (
        mock.patch.object(entry_table, "_MAX_ENTRIES", 1, create=True),
        mock.patch.object(entry_table, "_MAX_DELETIONS", 0),
    ):
        sender.entries.apply(_KEY, readers.make_entry(), 1)
        sender.entries.apply(_OTHER_KEY, readers.make_entry(), 2)
        sender.entries.apply_batch([port.WatchEvent(_KEY, None, 3)])
    receiver.entries.apply_snapshot(sender.entries.make_snapshot(0, ()), "peer")
    assert (
        receiver.find_upstream_state("b") is upstream_module.UpstreamState.READY
    )
    values = (port.KeyValue(_OTHER_KEY, readers.make_entry(), 2),)
    evacuations.read_store(sender, 3, *values)
    assert (
        sender.find_upstream_state("b") is upstream_module.UpstreamState.READY
    )
