"""Tests of a host that reads the store while it changes."""

from __future__ import annotations

from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.store import blocking_transport
from persimmonhinge.store import port
from tests.test_forwarding import test_forwarding_entry_replica as readers


class ChangingStore:
    """A store in which a change comes between two pages of a reading.

    Attributes:
        calls: Readings that were asked for.
    """

    def __init__(self) -> None:
        self.calls = 0
        self._values = {
            "op/config": port.KeyValue("op/config", readers.make_state(1), 3)
        }
        self._revision = 4

    async def get_prefix(self, prefix: str, limit: int = 0) -> port.PrefixState:
        """See `port.PlatformReader`; the desired state is the first page."""
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
    """Guards against calls to the store that a start could do without."""
    store = ChangingStore()
    reader = readers.HostReplica()
    blocking_transport.run(
        reader.entries.read_all(store)  # type: ignore[arg-type]
    )
    assert store.calls == 1


def test_host_that_misses_a_state_between_two_readings_knows_it() -> None:
    """A route that was added is refused by one host for as long as it lives.

    The host starts and reads the desired state, which changes, and then the
    upstreams, of which one enters itself after that change. It has the newest
    revision of all, so it never asked others for what it lacks.
    """
    reader = readers.HostReplica()
    read = reader.entries.read_all(ChangingStore())  # type: ignore[arg-type]
    blocking_transport.run(read)
    assert reader.find_upstream_state("1") is upstreams.UpstreamState.READY
    assert reader.entries.revision < 5


def test_change_that_a_reading_brought_is_told_by_the_watch() -> None:
    """A drain is known to the host that follows the store, and to no other.

    It came between two readings, so the second one brought it, and the watch
    that goes on from the first tells nothing new.
    """
    reader = readers.HostReplica()
    store = ChangingStore()
    blocking_transport.run(
        reader.entries.read_all(store)  # type: ignore[arg-type]
    )
    told: list[int] = []
    reader.entries.on_changes = lambda after, lines: told.extend(
        line.revision for line in lines
    )
    events = [
        port.WatchEvent("op/config", readers.make_state(2), 5),
        port.WatchEvent(readers.make_key("1"), readers.make_entry(), 6),
    ]
    reader.entries.apply_batch(events)
    assert told == [5, 6]
    assert reader.entries.revision == 6
    reader.entries.apply_batch(events)
    assert told == [5, 6]


def test_what_a_new_reading_brings_is_told_at_once() -> None:
    """New requests reach an upstream five seconds after it said it leaves.

    The watch of the host that follows the store had gone silent, so it reads
    all entries anew. The others of its domain hear of the drain only after
    its next report, which comes the later the more hosts there are.
    """
    reader = readers.HostReplica()
    store = ChangingStore()
    told: list[tuple[int, list[int]]] = []
    reader.entries.on_changes = lambda after, lines: told.append(
        (after, [line.revision for line in lines])
    )
    for _ in range(3):
        blocking_transport.run(
            reader.entries.read_all(store)  # type: ignore[arg-type]
        )
    # All of a first reading is known to those that run already.
    assert told == [(3, [5, 6])]
