"""Tests of updates and snapshots that omit a long desired state."""

from __future__ import annotations

import random
from typing import NamedTuple

import hypothesis
from hypothesis import strategies
import msgspec

from persimmonhinge.forwarding import store_entry
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding.peers import entry_updates as news_module
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.store import port
from tests.test_forwarding import test_forwarding_entry_replica as readers

_STATE_KEY = "op/config"
_LONG_OCTETS = 20_000
_HOSTS = 4
_SOURCE = "peer"
# Probability that an update is lost.
_LOSS_PROBABILITY = 0.4


def make_long_state(version: int) -> bytes:
    """Returns a desired state long enough to be sent separately."""
    document = {"Version": version, "Routes": [], "Notes": "x" * _LONG_OCTETS}
    return msgspec.json.encode(document)


def apply_store_change(
    replica: readers.HostReplica, key: str, value: bytes | None, revision: int
) -> list[messages.EntryUpdate]:
    """Applies a change of the store to a host; returns the updates it sends."""
    updates: list[messages.EntryUpdate] = []

    def record_changes(
        after: int, entries: list[store_entry.StoreEntry]
    ) -> None:
        updates.extend(news_module.split_into_updates(after, True, entries))

    replica.entries.on_changes = record_changes
    replica.entries.apply_batch([port.WatchEvent(key, value, revision)])
    return [omit_long_state(update) for update in updates]


def omit_long_state(news: messages.EntryUpdate) -> messages.EntryUpdate:
    """Returns an update as it is sent, without a long desired state."""
    octets = sum(len(entry.value or b"") for entry in news.entries)
    if octets < _LONG_OCTETS:
        return news
    return news_module.omit_desired_state(news, _STATE_KEY)


def pull(
    requester: readers.HostReplica,
    provider: readers.HostReplica,
    *,
    short: bool,
) -> None:
    """Makes a host pull a snapshot from another one."""
    entries = requester.entries
    if short:
        since = entries.completeness.upstreams_revision
        snapshot = provider.entries.make_short_snapshot(since, ())
        entries.apply_short_snapshot(snapshot, _SOURCE)
    else:
        snapshot = provider.entries.make_snapshot(entries.revision, ())
        entries.apply_snapshot(snapshot, _SOURCE)


def find_version(replica: readers.HostReplica) -> int:
    """Returns the version in force, or 0 if there is none."""
    state = replica.knowledge.state
    return state.version if state is not None else 0


def test_drain_in_one_batch_with_a_long_state_is_told() -> None:
    """Guards against new flows to a draining upstream from most hosts.

    The store reports a drain and a long desired state in one answer. If both
    go into one datagram, it is too long and is not sent.
    """
    ahead, behind = readers.HostReplica(), readers.HostReplica()
    for replica in (ahead, behind):
        replica.entries.apply_batch(
            [port.WatchEvent(readers.make_key("1"), readers.make_entry(), 5)]
        )
    sent: list[messages.EntryUpdate] = []
    ahead.entries.on_changes = lambda after, entries: sent.extend(
        news_module.split_into_updates(after, True, entries)
    )
    drain = readers.make_entry("draining")
    ahead.entries.apply_batch(
        [
            port.WatchEvent(readers.make_key("1"), drain, 6),
            port.WatchEvent(_STATE_KEY, make_long_state(2), 7),
        ]
    )
    for update in sent:
        behind.entries.apply_update(omit_long_state(update), _SOURCE)
    assert (
        behind.find_upstream_state("1")
        is upstream_module.UpstreamState.DRAINING
    )
    assert behind.entries.completeness.is_state_missing()


def test_host_without_the_new_state_is_not_taken_for_complete() -> None:
    """Guards against hosts that refuse an added route for seconds.

    They have all upstream entries, and with them the highest revision, but not
    the desired state that was written before the last of these entries.
    """
    ahead, behind = readers.HostReplica(), readers.HostReplica()
    apply_store_change(ahead, _STATE_KEY, make_long_state(2), 5)
    apply_store_change(ahead, readers.make_key("1"), readers.make_entry(), 6)
    pull(behind, ahead, short=True)
    assert (
        behind.find_upstream_state("1") is upstream_module.UpstreamState.READY
    )
    assert behind.entries.completeness.upstreams_revision == 6
    assert behind.entries.revision == 0
    pull(behind, ahead, short=False)
    assert behind.entries.revision == 6
    assert find_version(behind) == 2


def test_host_of_an_earlier_release_waits_for_the_state_left_out() -> None:
    """Guards against a host that misses a desired state during an upgrade.

    A host of an earlier release does not support updates that omit the state,
    and would count itself as complete. Therefore, the field that it reads
    holds the revision before the update.
    """
    state = store_entry.StoreEntry(_STATE_KEY, make_long_state(2), 7)
    drain = store_entry.StoreEntry(readers.make_key("1"), b"", 6)
    update = messages.EntryUpdate(5, 7, True, (drain, state))
    assert news_module.omit_desired_state(update, _STATE_KEY).revision == 5


def test_news_after_a_state_left_out_go_on_for_upstreams() -> None:
    ahead, behind = readers.HostReplica(), readers.HostReplica()
    changes = [
        apply_store_change(ahead, _STATE_KEY, make_long_state(2), 5),
        apply_store_change(
            ahead, readers.make_key("1"), readers.make_entry(), 6
        ),
    ]
    for updates in changes:
        for update in updates:
            behind.entries.apply_update(update, _SOURCE)
    assert behind.entries.completeness.upstreams_revision == 6
    assert behind.entries.completeness.is_state_missing()


class Change(NamedTuple):
    """A change of an entry: of the desired state, or of an upstream.

    Attributes:
        upstream: Number of the upstream, 0 for the desired state.
        full: Whether the state is long, or the upstream exists.
    """

    upstream: int
    full: bool

    def make_event(self, revision: int) -> port.WatchEvent:
        """Returns the change as an event of the store's watch."""
        if self.upstream == 0:
            make_state = make_long_state if self.full else readers.make_state
            return port.WatchEvent(_STATE_KEY, make_state(revision), revision)
        key = readers.make_key(str(self.upstream))
        value = readers.make_entry() if self.full else None
        return port.WatchEvent(key, value, revision)


class Pull(NamedTuple):
    """A pull of one host from another.

    Attributes:
        requester: Number of the host that pulls; host 0 follows the store.
        provider: Number of the host that it pulls from.
        short: Whether a long desired state is omitted.
    """

    requester: int
    provider: int
    short: bool


_CHANGES = strategies.builds(
    Change, strategies.integers(0, 3), strategies.booleans()
)
_PULLS = strategies.builds(
    Pull,
    strategies.integers(1, _HOSTS - 1),
    strategies.integers(0, _HOSTS - 1),
    strategies.booleans(),
)


@hypothesis.given(
    strategies.lists(_CHANGES | _PULLS, max_size=40),
    strategies.randoms(use_true_random=False),
)
def test_no_host_takes_itself_for_further_than_it_is(
    steps: list[Change | Pull], rng: random.Random
) -> None:
    """Guards against a host that claims revisions whose entries it lacks.

    Hosts pull from each other in any order, and updates are lost.
    """
    hosts = [readers.HostReplica() for _ in range(_HOSTS)]
    changes: dict[str, list[int]] = {}
    for revision, step in enumerate(steps, 1):
        if isinstance(step, Pull):
            pull(hosts[step.requester], hosts[step.provider], short=step.short)
        else:
            event = step.make_event(revision)
            changes.setdefault(event.key, []).append(revision)
            distribute_change(hosts, event, rng)
        for host in hosts:
            check_revisions(host, changes)


def distribute_change(
    hosts: list[readers.HostReplica],
    event: port.WatchEvent,
    rng: random.Random,
) -> None:
    """Applies a change to the first host, which sends updates to the others."""
    first, *others = hosts
    updates = apply_store_change(
        first, event.key, event.value, event.mod_revision
    )
    for update in updates:
        for host in others:
            if rng.random() >= _LOSS_PROBABILITY:
                host.entries.apply_update(update, _SOURCE)


def check_revisions(
    host: readers.HostReplica, changes: dict[str, list[int]]
) -> None:
    """Checks that a host has all changes up to its revisions."""
    known_revisions = {
        entry.key: entry.revision
        for entry in host.entries.make_snapshot(0, ()).entries
    }
    for key, revisions in changes.items():
        claimed_revision = host.entries.completeness.upstreams_revision
        if key == _STATE_KEY:
            claimed_revision = host.entries.revision
        covered_revisions = [
            revision for revision in revisions if revision <= claimed_revision
        ]
        assert known_revisions.get(key, 0) >= max(covered_revisions, default=0)


class FormerNews(msgspec.Struct, frozen=True, array_like=True, tag="news"):
    """An update as hosts of an earlier release decode it."""

    after: int
    upto: int
    settled: bool
    entries: tuple[store_entry.StoreEntry, ...]


class FormerRequest(msgspec.Struct, frozen=True, array_like=True, tag="pull"):
    """A pull request as hosts of an earlier release decode it."""

    since: int
    packed: bool = False


def test_hosts_of_an_earlier_release_read_what_they_are_sent() -> None:
    """Guards against messages that hosts drop during an upgrade."""
    drain = store_entry.StoreEntry(readers.make_key("1"), b"", 6)
    update = messages.EntryUpdate(5, 5, True, (drain,), upstreams_revision=7)
    former = msgspec.msgpack.decode(
        msgspec.msgpack.encode(update), type=FormerNews
    )
    assert (former.after, former.upto) == (5, 5)
    request = messages.PullRequest(
        5, accepts_compression=True, omits_long_state=True
    )
    former_request = msgspec.msgpack.decode(
        msgspec.msgpack.encode(request), type=FormerRequest
    )
    assert former_request == FormerRequest(5, packed=True)
