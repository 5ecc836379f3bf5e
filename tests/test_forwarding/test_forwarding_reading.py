"""Tests of what a host takes in from the store and from other hosts."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from persimmonhinge import ids
from persimmonhinge.forwarding import entry_effects
from persimmonhinge.forwarding import entry_line as entry_lines
from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.forwarding import reading
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.forwarding.decisions import trust
from persimmonhinge.forwarding.peers import entry_updates
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.platform import adapter
from persimmonhinge.store import port


class Reader:
    """Entries of one host, without a store."""

    def __init__(self) -> None:
        self.knowledge = knowledge_parts.Knowledge(60.0, 2.2)
        self.counts = host_counts.Counts()
        self.entries = reading.Entries(
            adapter.EntryFormat(), self.knowledge, self.counts
        )

    def state(self, name: str) -> upstreams.UpstreamState | None:
        """Returns the state of an upstream."""
        found = self.knowledge.directory.get(ids.UpstreamId(f"i-{name}"))
        return found.state if found else None


def make_key(name: str) -> str:
    return f"servers/i-{name}"


def make_entry(state: str = "ready", **fields: object) -> bytes:
    return msgspec.json.encode(
        {
            **fields,
            "Service": "floor",
            "Addr": "10.0.0.9:8080",
            "Zone": "north",
            "Version": "v1",
            "Slots": 2,
            "State": state,
            "ColdLeftMs": 0,
            "Seq": 1,
        }
    )


def make_state(version: int) -> bytes:
    return msgspec.json.encode({"Version": version, "Routes": []})


def test_versions_never_go_back() -> None:
    """A dropped route is served again after it was refused.

    Version 8 is in force; a host that was cut off tells of version 7. Cause:
    the news that came last counted, not the newest.
    """
    reader = Reader()
    reader.entries.take("op/config", make_state(8), 20)
    reader.entries.take("op/config", make_state(7), 21, "peer")
    reader.entries.take("op/config", make_state(9), 19, "peer")
    assert reader.knowledge.state is not None
    assert reader.knowledge.state.version == 8


def test_older_entry_does_not_undo_a_drain() -> None:
    """An upstream that leaves gets new flows again.

    The store says that it drains; a host that was cut off tells that it is
    ready, as it was before. Cause: entries without an order.
    """
    reader = Reader()
    reader.entries.take(make_key("1"), make_entry("draining"), 30)
    reader.entries.take(make_key("1"), make_entry("ready"), 29, "peer")
    assert reader.state("1") is upstreams.UpstreamState.DRAINING
    reader.entries.take(make_key("1"), None, 31)
    reader.entries.take(make_key("1"), make_entry("draining"), 30, "peer")
    assert reader.state("1") is upstreams.UpstreamState.GONE


def test_restarted_upstream_replaces_its_former_self() -> None:
    """A caller's open flow hangs until its limit though its upstream is back.

    An upstream crashes and starts again under its name before its entry has
    lapsed. It does not know the flow. Cause: one identity for both, so the
    host takes the flow's packets for those of a live one. It must be gone at
    once, whatever the store's state.
    """
    reader = Reader()
    reader.entries.take("op/config", make_state(3), 1)
    reader.entries.take(make_key("1"), make_entry(born=1000), 2)
    reader.knowledge.trust.record_failure()
    reader.entries.take(make_key("1"), make_entry(born=2000), 3, "peer")
    assert reader.state("1@1000") is upstreams.UpstreamState.GONE
    assert reader.state("1@2000") is upstreams.UpstreamState.READY
    reader.entries.take(make_key("1"), make_entry(born=1000), 2, "peer")
    assert reader.state("1@1000") is upstreams.UpstreamState.GONE
    reader.entries.take(make_key("1"), None, 4, "peer")
    assert reader.state("1@2000") is upstreams.UpstreamState.MISSING


def test_lines_about_foreign_entries_are_bounded() -> None:
    """The log of a host is full of one foreign writer's entries.

    Somebody writes thousands of unreadable entries in a second; the lines of
    requests are left out. Cause: a line for each entry.
    """
    reader = Reader()
    with unittest.TestCase().assertLogs(
        entry_effects.__name__, "ERROR"
    ) as logged:
        for number in range(500):
            reader.entries.take(make_key(str(number)), b"{", number + 1)
    assert reader.counts.get("unreadable_entries_total") == 500
    assert len(logged.output) <= 2


def test_entries_of_other_writers_name_no_upstream_to_use() -> None:
    """New flows go to what a foreign entry names, or nowhere at all.

    Another writer puts what can't be read under the key of one upstream and
    under the desired state's. Cause: the entry is taken as far as it goes, or
    the upstream is used on as if nothing had come.
    """
    reader = Reader()
    reader.entries.take("op/config", make_state(3), 1)
    reader.entries.take("op/config", b"{", 2)
    reader.entries.take(make_key("1"), make_entry(), 3)
    reader.entries.take(make_key("2"), make_entry(), 4)
    reader.entries.take(make_key("1"), b'{"Service": 4}', 5)
    assert reader.knowledge.state is not None
    assert reader.state("1") is upstreams.UpstreamState.DRAINING
    assert reader.state("2") is upstreams.UpstreamState.READY
    assert reader.counts.get("unreadable_entries_total") == 2
    reader.entries.take(make_key("1"), make_entry(), 6)
    assert reader.state("1") is upstreams.UpstreamState.READY


def test_entries_lost_in_an_outage_count_as_missing_until_it_is_over() -> None:
    """Hosts find no upstream for any service when the store comes back.

    Leases ran out while the store was down, so all entries are gone at once;
    they are back two seconds later. Cause: see the reset of their flows.
    """
    reader = Reader()
    reader.entries.take(make_key("1"), make_entry(), 5)
    reader.knowledge.trust.record_failure()
    reader.entries.take(make_key("1"), None, 6)
    assert reader.state("1") is upstreams.UpstreamState.MISSING
    reader.entries.record_answer()
    assert reader.state("1") is upstreams.UpstreamState.MISSING
    assert reader.knowledge.confirmed_at is not None
    reader.knowledge.settle(reader.knowledge.confirmed_at + trust.RETURN_S)
    assert reader.state("1") is upstreams.UpstreamState.GONE


def test_snapshot_brings_all_that_another_host_knows() -> None:
    """A host that starts while the store is down serves nobody.

    Its neighbours know all that it needs. Cause: the store was the only
    source.
    """
    knowing, started = Reader(), Reader()
    knowing.entries.take("op/config", make_state(4), 7)
    knowing.entries.take(make_key("1"), make_entry(), 8)
    knowing.entries.take(make_key("2"), make_entry(), 9)
    knowing.entries.take(make_key("2"), None, 10)
    knowing.entries.completeness.advance(10)
    started.entries.take_snapshot(knowing.entries.make_snapshot(0, ()), "peer")
    assert started.knowledge.is_complete()
    assert started.state("1") is upstreams.UpstreamState.READY
    assert started.state("2") is None
    assert started.entries.revision == 10


def test_snapshot_after_many_deletions_lacks_none() -> None:
    """A host that was cut off for hours opens flows at upstreams long gone.

    Thousands of upstreams come and go while it is cut off. It then asks
    another host for what changed. Cause: deletions are not kept for ever, and
    the answer names only what is kept.
    """
    ahead, behind = Reader(), Reader()
    for reader in (ahead, behind):
        reader.entries.take_batch(
            [
                port.WatchEvent(make_key("0"), make_entry(), 1),
                port.WatchEvent(make_key("1"), make_entry(), 2),
            ]
        )
    ahead.entries.take_batch([port.WatchEvent(make_key("0"), None, 3)])
    for revision in range(4, 6004, 2):
        key = make_key(f"a{revision}")
        ahead.entries.take_batch(
            [
                port.WatchEvent(key, make_entry(), revision),
                port.WatchEvent(key, None, revision + 1),
            ]
        )
    snapshot = ahead.entries.make_snapshot(behind.entries.revision, ())
    assert len(snapshot.entries) < 1100
    behind.entries.take_snapshot(snapshot, "peer")
    assert behind.entries.revision == ahead.entries.revision
    assert behind.state("0") is ahead.state("0")
    assert behind.state("0") is not upstreams.UpstreamState.READY
    assert behind.state("1") is upstreams.UpstreamState.READY


def test_deletion_long_ago_is_not_undone_by_an_old_entry() -> None:
    """An upstream that ended hours ago gets flows again.

    A host that was cut off since then tells of its entry. Cause: that it was
    deleted is no longer kept.
    """
    reader = Reader()
    reader.entries.take_batch(
        [
            port.WatchEvent(make_key("0"), make_entry(), 1),
            port.WatchEvent(make_key("0"), None, 2),
        ]
    )
    for revision in range(4, 6004, 2):
        key = make_key(f"a{revision}")
        reader.entries.take_batch(
            [
                port.WatchEvent(key, make_entry(), revision),
                port.WatchEvent(key, None, revision + 1),
            ]
        )
    assert not reader.entries.take(make_key("0"), make_entry(), 1, "peer")


def test_doubt_of_the_host_that_follows_is_taken_over() -> None:
    """Feeds are reset at hosts that did not see an outage of the store.

    One host of each domain follows the store; entries expired in an outage
    that it alone saw; it tells the others that they are not there. Cause:
    the others had no reason to doubt.
    """
    reader = Reader()
    reader.entries.take(make_key("1"), make_entry(), 5)
    gone = entry_lines.EntryLine(make_key("1"), None, 6)
    reader.entries.take_news(messages.EntryUpdate(5, 6, False, (gone,)), "peer")
    assert reader.state("1") is upstreams.UpstreamState.MISSING


def test_lost_news_are_not_taken_for_known() -> None:
    """One host goes on sending new flows to an upstream that drains.

    The datagram that tells so is lost; the next one comes and is newer than
    all that the host knows, so it does not see that it is behind. Cause: the
    newest revision taken for completeness.
    """
    reader = Reader()
    reader.entries.completeness.advance(5)
    first, second = (
        entry_lines.EntryLine(
            make_key(str(number)), make_entry("draining"), rev
        )
        for number, rev in ((1, 6), (2, 7))
    )
    lost = messages.EntryUpdate(5, 6, True, (first,))
    reader.entries.take_news(
        messages.EntryUpdate(6, 7, True, (second,)), "peer"
    )
    assert reader.state("2") is upstreams.UpstreamState.DRAINING
    assert reader.entries.revision == 5
    reader.entries.take_news(lost, "peer")
    assert reader.entries.revision == 6


@hypothesis.given(
    strategies.lists(strategies.integers(0, 3), max_size=40),
    strategies.sets(strategies.integers(0, 5)),
)
def test_only_all_news_together_make_a_host_complete(
    steps: list[int], lost: set[int]
) -> None:
    revision = 10
    entries: list[entry_lines.EntryLine] = []
    for number, step in enumerate(steps):
        revision += step if entries else 1
        entries.append(
            entry_lines.EntryLine(make_key(str(number)), make_entry(), revision)
        )
    reader = Reader()
    reader.entries.completeness.advance(10)
    packs = entry_updates.split_into_updates(10, True, entries)
    for number, pack in enumerate(packs):
        if number not in lost:
            reader.entries.take_news(pack, "peer")
    missing = [
        entry.revision
        for number in lost
        if number < len(packs)
        for entry in packs[number].entries
    ]
    if missing:
        assert reader.entries.revision < min(missing)
    elif entries:
        assert reader.entries.revision == entries[-1].revision


@hypothesis.given(strategies.permutations(range(1, 7)))
def test_order_of_news_does_not_matter(order: list[int]) -> None:
    reader = Reader()
    news = {
        1: make_entry("ready"),
        2: make_entry("draining"),
        3: None,
        4: make_entry("ready"),
        5: make_entry("draining"),
        6: make_entry("ready"),
    }
    for revision in order:
        reader.entries.take(make_key("1"), news[revision], revision)
    assert reader.state("1") is upstreams.UpstreamState.READY


@hypothesis.given(strategies.text(max_size=20), strategies.binary(max_size=80))
def test_no_entry_ends_the_host(name: str, value: bytes) -> None:
    reader = Reader()
    reader.entries.take("op/config", value, 1)
    reader.entries.take(f"servers/{name}", value, 2)
    reader.entries.take(f"servers/{name}", make_entry(), 3)


def test_news_without_entries_confirm_what_is_known() -> None:
    """Guards against a host that asks the store what another one just heard."""
    reader = Reader()
    reader.entries.take("op/config", make_state(1), 3)
    (told,) = entry_updates.split_into_updates(3, True, [])
    reader.entries.take_news(told, "10.0.0.2")
    assert reader.knowledge.confirmed_at is None
    reader.entries.take_batch([port.WatchEvent("op/config", make_state(2), 4)])
    (told,) = entry_updates.split_into_updates(4, True, [])
    reader.entries.take_news(told, "10.0.0.2")
    assert reader.knowledge.confirmed_at is not None


def test_news_of_what_is_not_known_here_confirm_nothing() -> None:
    """Guards against a host that takes itself for current and lacks a drain."""
    reader = Reader()
    reader.entries.take_batch([port.WatchEvent("op/config", make_state(1), 3)])
    (told,) = entry_updates.split_into_updates(9, True, [])
    reader.entries.take_news(told, "10.0.0.2")
    assert reader.knowledge.confirmed_at is None
