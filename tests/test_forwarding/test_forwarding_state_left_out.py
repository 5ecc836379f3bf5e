"""Tests of hosts that hear of upstreams before a long desired state."""

from __future__ import annotations

import random
from typing import NamedTuple

import hypothesis
from hypothesis import strategies
import msgspec

from persimmonhinge.forwarding import entry_line as entry_lines
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.forwarding.peers import entry_updates as news_packs
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.store import port
from tests.test_forwarding import test_forwarding_reading as readers

_STATE = "op/config"
_LONG_OCTETS = 20_000
_READERS = 4
_SOURCE = "peer"
# Share of news that do not arrive.
_LOST = 0.4


def make_long_state(version: int) -> bytes:
    """Returns a desired state that is passed on by itself."""
    document = {"Version": version, "Routes": [], "Notes": "x" * _LONG_OCTETS}
    return msgspec.json.encode(document)


def tell_first(
    reader: readers.Reader, key: str, value: bytes | None, revision: int
) -> list[messages.EntryUpdate]:
    """Has the store tell a host of a change; returns the news of it."""
    told: list[messages.EntryUpdate] = []

    def note(after: int, entries: list[entry_lines.EntryLine]) -> None:
        told.extend(news_packs.split_into_updates(after, True, entries))

    reader.entries.tell = note
    reader.entries.take_batch([port.WatchEvent(key, value, revision)])
    return [leave_long_out(news) for news in told]


def leave_long_out(news: messages.EntryUpdate) -> messages.EntryUpdate:
    """Returns news as they are sent: without a long desired state."""
    octets = sum(len(line.value or b"") for line in news.entries)
    if octets < _LONG_OCTETS:
        return news
    return news_packs.omit_desired_state(news, _STATE)


def pull(asking: readers.Reader, asked: readers.Reader, *, short: bool) -> None:
    """Has a host pull from another one."""
    entries = asking.entries
    if short:
        since = entries.completeness.upstreams_revision
        snapshot = asked.entries.make_short_snapshot(since, ())
        entries.take_short_snapshot(snapshot, _SOURCE)
    else:
        snapshot = asked.entries.make_snapshot(entries.revision, ())
        entries.take_snapshot(snapshot, _SOURCE)


def find_version(reader: readers.Reader) -> int:
    """Returns the version that is in force, 0 without one."""
    state = reader.knowledge.state
    return state.version if state is not None else 0


def test_drain_in_one_batch_with_a_long_state_is_told() -> None:
    """An upstream that left gets new flows at all hosts but one.

    The store tells of a drain and of a long desired state in one answer. Both
    stood in one datagram, which was too long and so was not sent.
    """
    ahead, behind = readers.Reader(), readers.Reader()
    for reader in (ahead, behind):
        reader.entries.take_batch(
            [port.WatchEvent(readers.make_key("1"), readers.make_entry(), 5)]
        )
    sent: list[messages.EntryUpdate] = []
    ahead.entries.tell = lambda after, lines: sent.extend(
        news_packs.split_into_updates(after, True, lines)
    )
    drain = readers.make_entry("draining")
    ahead.entries.take_batch(
        [
            port.WatchEvent(readers.make_key("1"), drain, 6),
            port.WatchEvent(_STATE, make_long_state(2), 7),
        ]
    )
    for news in sent:
        behind.entries.take_news(leave_long_out(news), _SOURCE)
    assert behind.state("1") is upstreams.UpstreamState.DRAINING
    assert behind.entries.completeness.lacks_state()


def test_host_without_the_new_state_is_not_taken_for_complete() -> None:
    """A route that was added is refused at some hosts for seconds.

    They have all entries of upstreams, and so the highest revision, but not
    the desired state that came between.
    """
    ahead, behind = readers.Reader(), readers.Reader()
    tell_first(ahead, _STATE, make_long_state(2), 5)
    tell_first(ahead, readers.make_key("1"), readers.make_entry(), 6)
    pull(behind, ahead, short=True)
    assert behind.state("1") is upstreams.UpstreamState.READY
    assert behind.entries.completeness.upstreams_revision == 6
    assert behind.entries.revision == 0
    pull(behind, ahead, short=False)
    assert behind.entries.revision == 6
    assert find_version(behind) == 2


def test_host_of_an_earlier_release_waits_for_the_state_left_out() -> None:
    """In the middle of an upgrade a host never hears of a desired state.

    It knows no news without it, and would take itself for complete; so the
    field that it reads names what it had before.
    """
    state = entry_lines.EntryLine(_STATE, make_long_state(2), 7)
    drain = entry_lines.EntryLine(readers.make_key("1"), b"", 6)
    news = messages.EntryUpdate(5, 7, True, (drain, state))
    assert news_packs.omit_desired_state(news, _STATE).revision == 5


def test_news_after_a_state_left_out_go_on_for_upstreams() -> None:
    ahead, behind = readers.Reader(), readers.Reader()
    changes = [
        tell_first(ahead, _STATE, make_long_state(2), 5),
        tell_first(ahead, readers.make_key("1"), readers.make_entry(), 6),
    ]
    for told in changes:
        for news in told:
            behind.entries.take_news(news, _SOURCE)
    assert behind.entries.completeness.upstreams_revision == 6
    assert behind.entries.completeness.lacks_state()


class Change(NamedTuple):
    """A change of an entry: of the desired state, or of an upstream.

    Attributes:
        upstream: Number of the upstream, 0 for the desired state.
        full: Whether the state is long, or the upstream is there.
    """

    upstream: int
    full: bool

    def make(self, revision: int) -> port.WatchEvent:
        """Returns the change as the store tells it."""
        if self.upstream == 0:
            make_state = make_long_state if self.full else readers.make_state
            return port.WatchEvent(_STATE, make_state(revision), revision)
        key = readers.make_key(str(self.upstream))
        value = readers.make_entry() if self.full else None
        return port.WatchEvent(key, value, revision)


class Pull(NamedTuple):
    """A pull of one host from another.

    Attributes:
        asking: Number of the host that pulls; 0 follows the store.
        asked: Number of the other host.
        short: Whether a long desired state is left out.
    """

    asking: int
    asked: int
    short: bool


_CHANGES = strategies.builds(
    Change, strategies.integers(0, 3), strategies.booleans()
)
_PULLS = strategies.builds(
    Pull,
    strategies.integers(1, _READERS - 1),
    strategies.integers(0, _READERS - 1),
    strategies.booleans(),
)


@hypothesis.given(
    strategies.lists(_CHANGES | _PULLS, max_size=40),
    strategies.randoms(use_true_random=False),
)
def test_no_host_takes_itself_for_further_than_it_is(
    steps: list[Change | Pull], luck: random.Random
) -> None:
    """Hosts pull from each other in any order, and news are lost."""
    hosts = [readers.Reader() for _ in range(_READERS)]
    changes: dict[str, list[int]] = {}
    for revision, step in enumerate(steps, 1):
        if isinstance(step, Pull):
            pull(hosts[step.asking], hosts[step.asked], short=step.short)
        else:
            event = step.make(revision)
            changes.setdefault(event.key, []).append(revision)
            tell_all(hosts, event, luck)
        for host in hosts:
            check_claims(host, changes)


def tell_all(
    hosts: list[readers.Reader], event: port.WatchEvent, luck: random.Random
) -> None:
    """Has the store tell the first host, and that one the others."""
    first, *others = hosts
    told = tell_first(first, event.key, event.value, event.mod_revision)
    for news in told:
        for host in others:
            if luck.random() >= _LOST:
                host.entries.take_news(news, _SOURCE)


def check_claims(host: readers.Reader, changes: dict[str, list[int]]) -> None:
    """Checks that a host knows all changes up to its revisions."""
    known = {
        line.key: line.revision
        for line in host.entries.make_snapshot(0, ()).entries
    }
    for key, revisions in changes.items():
        claimed = host.entries.completeness.upstreams_revision
        if key == _STATE:
            claimed = host.entries.revision
        due = [revision for revision in revisions if revision <= claimed]
        assert known.get(key, 0) >= max(due, default=0)


class FormerNews(msgspec.Struct, frozen=True, array_like=True, tag="news"):
    """News as hosts of an earlier release read them."""

    after: int
    upto: int
    settled: bool
    entries: tuple[entry_lines.EntryLine, ...]


class FormerRequest(msgspec.Struct, frozen=True, array_like=True, tag="pull"):
    """A request as hosts of an earlier release read it."""

    since: int
    packed: bool = False


def test_hosts_of_an_earlier_release_read_what_they_are_sent() -> None:
    """In the middle of an upgrade, hosts drop what others tell them."""
    drain = entry_lines.EntryLine(readers.make_key("1"), b"", 6)
    news = messages.EntryUpdate(5, 5, True, (drain,), upstreams_revision=7)
    former = msgspec.msgpack.decode(
        msgspec.msgpack.encode(news), type=FormerNews
    )
    assert (former.after, former.upto) == (5, 5)
    request = messages.PullRequest(
        5, accepts_compression=True, omits_long_state=True
    )
    asked = msgspec.msgpack.decode(
        msgspec.msgpack.encode(request), type=FormerRequest
    )
    assert asked == FormerRequest(5, packed=True)
