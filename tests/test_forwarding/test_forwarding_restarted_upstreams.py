"""Tests of packets for upstreams that start again under their name."""

from __future__ import annotations

import itertools
import time

import hypothesis
from hypothesis import strategies
import msgspec

from persimmonhinge import ids
from persimmonhinge.forwarding import entry_replica
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding.decisions.reports import report_lines
from persimmonhinge.platform import adapter
from tests.test_forwarding import scene as scenes
from tests.test_forwarding import test_forwarding_entry_replica as replicas

_KEY = replicas.make_key("1")
_RESTARTS = 50


class EntryScene(scenes.Scene):
    """A host that learns of its upstreams by entries of the store."""

    def __init__(self) -> None:
        clock = scenes.Clock()
        # Entries are applied at the time of the steady clock.
        clock.now = time.monotonic()
        super().__init__(clock)
        self.entries = entry_replica.EntryReplica(
            adapter.EntryFormat(), self.knowledge, self.counts
        )
        self._revisions = itertools.count(1)

    def put(self, key: str = _KEY, **fields: object) -> None:
        """Applies an entry of an upstream."""
        document = msgspec.json.decode(replicas.make_entry())
        value = msgspec.json.encode({**document, **fields})
        self.entries.apply(key, value, next(self._revisions))

    def delete(self, key: str = _KEY) -> None:
        """Applies the deletion of an entry."""
        self.entries.apply(key, None, next(self._revisions))

    def find(self, name: str = "1") -> upstream_module.Upstream:
        """Returns the upstream of an id, without its prefix."""
        found = self.knowledge.directory.get(ids.UpstreamId(f"i-{name}"))
        assert found is not None
        return found

    def last_upstream(self) -> upstream_module.Upstream:
        """Returns the running upstream that the newest packet went to."""
        octets, address = self.output.to_upstreams[-1]
        number = int.from_bytes(octets[:8])
        (found,) = [
            known
            for known in self.knowledge.directory.list_all()
            if (known.number, known.address) == (number, address)
            and known.state is not upstream_module.UpstreamState.ENDED
        ]
        return found

    def count_resets(self) -> int:
        """Returns the number of resets to callers."""
        return self.count_sent()[1]


def test_flow_that_a_restarted_upstream_accepted_is_kept() -> None:
    """Guards against resets of flows opened before a host knew of the start."""
    scene = EntryScene()
    scene.put(born=1000)
    opened_at = scene.open()
    scene.put(born=2000)
    scene.continue_flow(opened_at, data=10)
    assert scene.last_upstream() == scene.find("1@2000")
    assert scene.count_resets() == 0


def test_flow_is_kept_though_the_entry_lapsed_before_the_restart() -> None:
    """Guards against resets of flows at an upstream that was cut off longer."""
    scene = EntryScene()
    scene.put(born=1000)
    opened_at = scene.open()
    scene.entries.record_answer()
    scene.delete()
    assert scene.find("1@1000").state is upstream_module.UpstreamState.ENDED
    scene.put(born=2000)
    scene.continue_flow(opened_at, data=10)
    assert scene.last_upstream() == scene.find("1@2000")
    assert scene.count_resets() == 0


def test_flow_is_kept_though_the_entry_was_missing_after_an_outage() -> None:
    """Guards against resets of flows at an upstream restarted in an outage."""
    scene = EntryScene()
    scene.put(born=1000)
    opened_at = scene.open()
    scene.knowledge.store_trust.record_failure()
    scene.delete()
    assert scene.find("1@1000").state is upstream_module.UpstreamState.MISSING
    scene.put(born=2000)
    scene.continue_flow(opened_at, data=10)
    assert scene.last_upstream() == scene.find("1@2000")
    assert scene.count_resets() == 0


def test_hosts_that_know_different_starts_agree_on_flows() -> None:
    """Guards against flows that end where hosts learn of a start later."""
    earlier, later = EntryScene(), EntryScene()
    earlier.put(born=1000)
    later.put(born=2000)
    earlier.continue_flow(later.open(), data=10)
    assert earlier.last_upstream() == earlier.find("1@1000")
    later.continue_flow(earlier.open(port=1001), data=10)
    assert later.last_upstream() == later.find("1@2000")
    assert earlier.count_resets() == later.count_resets() == 0


def test_flow_of_an_upstream_that_left_after_restarts_is_reset_at_once() -> (
    None
):
    """Guards against silence where several ended starts share a token."""
    scene = EntryScene()
    scene.put(born=1000)
    opened_at = scene.open()
    for born in (2000, 3000):
        scene.put(born=born)
    scene.entries.record_answer()
    scene.delete()
    sent = scene.count_sent()[0]
    scene.continue_flow(opened_at, data=10)
    assert scene.count_sent() == (sent, 1)


def test_name_that_serves_another_service_gets_no_packet_of_the_former() -> (
    None
):
    """Guards against packets of flows that reach another service."""
    for former, newer in ((1000, 2000), (0, 0)):
        scene = EntryScene()
        scene.put(born=former)
        opened_at = scene.open()
        _put_other_service(scene, newer)
        sent = scene.count_sent()[0]
        scene.continue_flow(opened_at, data=10)
        assert scene.count_sent() == (sent, 1)


def test_copy_of_an_opening_goes_to_no_address_that_is_used_again() -> None:
    """Guards against opening packets that reach another service."""
    for is_established in (False, True):
        scene = EntryScene()
        scene.put(born=1000)
        opened_at = scene.open()
        if is_established:
            scene.continue_flow(opened_at)
        scene.entries.record_answer()
        scene.delete()
        _put_other_service(scene, 2000, replicas.make_key("2"))
        scene.put(replicas.make_key("3"), born=1000, Addr="10.0.0.3:80")
        scene.receive(scenes.make_packet(1000, scenes.SYN, acknowledged=1))
        assert scene.last_upstream() == scene.find("3@1000")


def test_copy_of_an_opening_follows_the_start_that_runs() -> None:
    scene = EntryScene()
    scene.put(born=1000)
    opened_at = scene.open()
    scene.continue_flow(opened_at)
    for born in (2000, 3000, 4000):
        scene.put(born=born)
    scene.put(replicas.make_key("3"), born=1000, Addr="10.0.0.3:80")
    scene.receive(scenes.make_packet(1000, scenes.SYN, acknowledged=1))
    assert scene.last_upstream() == scene.find("1@4000")


def test_restarts_take_no_memory() -> None:
    """Guards against a host that remembers each start of its upstreams."""
    scene = EntryScene()
    for born in range(2, 2 * _RESTARTS, 2):
        scene.put(born=born)
        _put_other_service(scene, born, replicas.make_key("2"))
        scene.put(replicas.make_key("2"), born=born + 1)
        scene.put(replicas.make_key("3"), Service="intake")
        scene.put(replicas.make_key("3"))
    # The running upstreams, and one ended for each service of their names.
    assert len(scene.knowledge.directory) <= 3 + 5


def test_load_of_a_former_start_is_not_reported_for_the_new_one() -> None:
    """Guards against new upstreams that get no flows for loads of before."""
    scene = EntryScene()
    scene.put(born=1000)
    scene.open()
    assert _list_reported(scene) == [1]
    scene.put(born=2000)
    assert _list_reported(scene) == []
    scene.open(port=1001)
    assert _list_reported(scene) == [1]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 1), strategies.booleans()),
        max_size=6,
    )
)
def test_no_order_of_starts_and_lapses_resets_an_open_flow(
    changes: list[tuple[int, bool]],
) -> None:
    """Guards against resets where hosts learn of starts at different times."""
    hosts = (EntryScene(), EntryScene())
    for host in hosts:
        host.put(born=1)
    for born, (number, lapses) in enumerate(changes, start=2):
        if lapses:
            hosts[number].entries.record_answer()
            hosts[number].delete()
        hosts[number].put(born=born)
    for opening, other in (hosts, hosts[::-1]):
        opened_at = opening.open()
        other.continue_flow(opened_at, data=10)
        assert other.last_upstream().token == opened_at.token
        assert other.count_resets() == 0


def _put_other_service(scene: EntryScene, born: int, key: str = _KEY) -> None:
    """Applies an entry of another service at the usual address."""
    scene.put(key, born=born, Service="intake")


def _list_reported(scene: EntryScene) -> list[int]:
    """Returns the requests in flight that the host reports."""
    lines = report_lines.list_report_lines(
        scene.knowledge, scene.loads, scene.suspicions, scene.clock.now
    )
    return [line.in_flight for line in lines]
