"""Tests of the effects of store entries on a host."""

from __future__ import annotations

from unittest import mock

from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import store_entry
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.store import port
from tests.test_forwarding import entry_scene
from tests.test_forwarding import test_forwarding_entry_replica as readers
from tests.test_forwarding import test_forwarding_evacuation as evacuations

_READY = upstream_module.UpstreamState.READY
_DRAINING = upstream_module.UpstreamState.DRAINING
_ENDED = upstream_module.UpstreamState.ENDED
_KEYS = tuple(map(readers.make_key, "123"))


def apply_batch(replica: readers.HostReplica) -> None:
    """Applies entries as a watch of the store returns them."""
    replica.entries.apply_batch(
        [
            port.WatchEvent(key, readers.make_entry(), revision)
            for revision, key in enumerate(_KEYS, 1)
        ]
    )


def read_store(replica: readers.HostReplica) -> None:
    """Applies entries as a read of the whole store returns them."""
    evacuations.read_store(
        replica,
        3,
        *(port.KeyValue(k, readers.make_entry(), r) for r, k in _number()),
    )


def apply_update(replica: readers.HostReplica) -> None:
    """Applies entries as another host sends changes."""
    replica.entries.apply_update(
        messages.EntryUpdate(0, 3, True, _list_entries()), "peer"
    )


def apply_snapshot(replica: readers.HostReplica) -> None:
    """Applies entries as another host sends all."""
    replica.entries.apply_snapshot(
        messages.Snapshot(3, True, _list_entries(), (), True), "peer"
    )


def _number() -> list[tuple[int, str]]:
    return list(enumerate(_KEYS, 1))


def _list_entries() -> tuple[store_entry.StoreEntry, ...]:
    return tuple(
        store_entry.StoreEntry(k, readers.make_entry(), r) for r, k in _number()
    )


def test_failing_entry_keeps_no_other_from_being_applied() -> None:
    """Guards against one entry that ends a host by an unforeseen error."""
    put = knowledge_module.Knowledge.apply_upstream

    def fail_for_second(
        knowledge: knowledge_module.Knowledge,
        upstream: upstream_module.Upstream,
        now: float,
        source: str,
    ) -> None:
        if upstream.id == "i-2":
            raise KeyError(upstream.id)
        put(knowledge, upstream, now, source)

    for apply in (apply_batch, read_store, apply_update, apply_snapshot):
        replica = readers.HostReplica()
        with mock.patch.object(
            knowledge_module.Knowledge, "apply_upstream", fail_for_second
        ):
            apply(replica)
        found = [replica.find_upstream_state(name) for name in "123"]
        assert found == [_READY, None, _READY], apply.__name__
        assert replica.counts.get("input_failures_total", source="entry") == 1
        assert replica.entries.revision == 3


def test_unreadable_entries_are_recorded_by_source() -> None:
    """Guards against refused entries that an operator can't find."""
    replica = readers.HostReplica()
    replica.entries.apply(readers.make_key("1"), b"{", 1)
    replica.entries.apply("op/evacuate/", b"{}", 2)
    refused = replica.counts.get("inputs_refused_total", source="entry")
    assert refused == replica.counts.get("unreadable_entries_total") == 2
    assert replica.counts.sum("input_failures_total") == 0


def test_key_that_no_encoder_takes_is_kept_from_other_hosts() -> None:
    """Guards against a host that ends when it sends an entry to others."""
    replica = readers.HostReplica()
    sent: list[store_entry.StoreEntry] = []
    replica.entries.on_changes = lambda _, entries: sent.extend(entries)
    keys = ("servers/i-\ud8001", "op/evacuate/\udfff", *_KEYS, "else/\ud800")
    replica.entries.apply_batch(
        [
            port.WatchEvent(key, readers.make_entry(), revision)
            for revision, key in enumerate(keys, 1)
        ]
    )
    snapshot = replica.entries.make_snapshot(0, ())
    assert {entry.key for entry in sent} == set(_KEYS)
    assert {entry.key for entry in snapshot.entries} == set(_KEYS)
    assert replica.counts.get("inputs_refused_total", source="entry") == 2


def test_state_with_an_unreadable_part_is_in_force_and_recorded() -> None:
    """Guards against a change that one bad route keeps from all callers."""
    with entry_scene.run_host() as host:
        first, second = entry_scene.STATE["Routes"]
        document = {
            **entry_scene.STATE,
            "Version": 8,
            "Routes": [{**first, "Priority": 3}, {**second, "Host": "1"}],
        }
        host.put((entry_scene.STATE_KEY, entry_scene.encode(document)))
        state = host.core.knowledge.state
        assert state is not None
        assert state.version == 8
        assert [(r.name, r.priority) for r in state.routes.values()] == [
            ("r-2", 1),
            ("r-1", 3),
        ]
        counts = host.core.counts
        assert counts.get("inputs_refused_total", source="entry") == 1
        assert counts.get("unreadable_entries_total") == 1


def test_long_values_of_other_writers_are_not_stored() -> None:
    """Guards against a host that is killed when it exceeds its memory."""
    replica = readers.HostReplica()
    long = b" " * 1_000_000
    replica.entries.apply(readers.make_key("1"), readers.make_entry() + long, 1)
    replica.entries.apply("op/evacuate/north", long, 2)
    replica.entries.apply("op/config", readers.make_state(3) + long, 3)
    snapshot = replica.entries.make_snapshot(0, ())
    lengths = {e.key: len(e.value or b"") for e in snapshot.entries}
    assert lengths.pop("op/config") > len(long)
    assert set(lengths.values()) == {0}
    assert replica.knowledge.evacuated == {"north"}
    assert replica.knowledge.state is not None
    assert replica.counts.get("unreadable_entries_total") == 1


def test_entry_that_failed_is_applied_again() -> None:
    """Guards against flows to an upstream whose new state was not applied."""
    for apply in (read_store, apply_snapshot):
        replica = readers.HostReplica()
        apply_batch(replica)
        with mock.patch.object(
            knowledge_module.Knowledge, "apply_upstream", side_effect=KeyError
        ):
            replica.entries.apply(_KEYS[2], readers.make_entry(), 4)
        assert replica.find_upstream_state("3") is _DRAINING
        with mock.patch(f"{__name__}._number", lambda: [(4, _KEYS[2])]):
            apply(replica)
        assert replica.find_upstream_state("3") is _READY, apply.__name__


def test_deletion_that_failed_is_applied_again() -> None:
    """Guards against flows to an upstream that is gone from the store."""
    replica = readers.HostReplica()
    apply_batch(replica)
    with mock.patch.object(
        knowledge_module.Knowledge, "record_missing_entry", side_effect=KeyError
    ):
        replica.entries.apply(_KEYS[2], None, 4)
    assert replica.find_upstream_state("3") is _DRAINING
    evacuations.read_store(replica, 4)
    assert replica.find_upstream_state("3") is _ENDED
