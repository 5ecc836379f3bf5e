"""Tests of reads of a store whose entries change at the same time."""

from __future__ import annotations

from persimmonhinge.forwarding import upstream
from persimmonhinge.store import blocking_transport
from persimmonhinge.store import port
from tests.test_forwarding import test_forwarding_entry_replica as readers


class ChangingStore:
    """A store that changes between two pages of a read.

    Attributes:
        calls: Number of reads requested.
    """

    def __init__(self) -> None:
        self.calls = 0
        self._values = {
            "op/config": port.KeyValue("op/config", readers.make_state(1), 3)
        }
        self._revision = 4

    async def get_prefix(self, prefix: str, limit: int = 0) -> port.PrefixState:
        """See `port.PlatformReader`; the first page holds the desired state."""
        self.calls += 1
        revision = self._revision
        first = self._list("op/", prefix)
        self._change()
        return port.PrefixState(
            revision, first + self._list("servers/", prefix)
        )

    def _list(self, page: str, prefix: str) -> tuple[port.KeyValue, ...]:
        return tuple(
            value
            for key, value in self._values.items()
            if key.startswith(page) and key.startswith(prefix)
        )

    def _change(self) -> None:
        key = readers.make_key("1")
        self._values = {
            "op/config": port.KeyValue("op/config", readers.make_state(2), 5),
            key: port.KeyValue(key, readers.make_entry(), 6),
        }
        self._revision = 6


def test_one_call_reads_all_entries() -> None:
    """Guards against unnecessary calls to the store at startup."""
    store = ChangingStore()
    replica = readers.HostReplica()
    blocking_transport.run(
        replica.entries.read_all(store)  # type: ignore[arg-type]
    )
    assert store.calls == 1


def test_host_that_misses_a_state_between_two_readings_knows_it() -> None:
    """Guards against a host that refuses an added route until it restarts.

    A starting host reads the desired state, which then changes, and after it
    the upstreams, of which one is registered after that change. If the host
    counted as complete to the newest revision, it would never request the
    desired state that it missed.
    """
    replica = readers.HostReplica()
    read = replica.entries.read_all(ChangingStore())  # type: ignore[arg-type]
    blocking_transport.run(read)
    assert replica.find_upstream_state("1") is upstream.UpstreamState.READY
    assert replica.entries.revision < 5


def test_change_that_a_reading_brought_is_told_by_the_watch() -> None:
    """Guards against a drain that only the host following the store knows.

    The change occurs between two pages, so the second page returns it, and
    the watch, which starts at the revision of the first page, delivers it
    again as an entry that is not newer.
    """
    replica = readers.HostReplica()
    store = ChangingStore()
    blocking_transport.run(
        replica.entries.read_all(store)  # type: ignore[arg-type]
    )
    reported: list[int] = []
    replica.entries.on_changes = lambda after, entries: reported.extend(
        entry.revision for entry in entries
    )
    events = [
        port.WatchEvent("op/config", readers.make_state(2), 5),
        port.WatchEvent(readers.make_key("1"), readers.make_entry(), 6),
    ]
    replica.entries.apply_batch(events)
    assert reported == [5, 6]
    assert replica.entries.revision == 6
    replica.entries.apply_batch(events)
    assert reported == [5, 6]


def test_what_a_new_reading_brings_is_told_at_once() -> None:
    """Guards against requests to an upstream five seconds after its drain.

    The watch of the host that follows the store stopped delivering changes, so
    the host reads all entries again. Without an immediate report, the other
    hosts of its domain learn of the drain only after its next regular report,
    whose interval grows with the number of hosts.
    """
    replica = readers.HostReplica()
    store = ChangingStore()
    reported: list[tuple[int, list[int]]] = []
    replica.entries.on_changes = lambda after, entries: reported.append(
        (after, [entry.revision for entry in entries])
    )
    for _ in range(3):
        blocking_transport.run(
            replica.entries.read_all(store)  # type: ignore[arg-type]
        )
    # Changes found by the first read are known to the other running hosts.
    assert reported == [(3, [5, 6])]
