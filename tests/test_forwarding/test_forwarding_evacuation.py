"""Tests of the evacuation of failure domains by operators."""

from __future__ import annotations

import trio

from benchmarks import fleet as fleet_module
from persimmonhinge import ids
from persimmonhinge.forwarding import store_entry
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.store import port
from tests.support import trios
from tests.test_forwarding import failed_hosts
from tests.test_forwarding import scene as scenes
from tests.test_forwarding import test_forwarding_entry_replica as readers

_EVACUATION_KEY = f"op/evacuate/{scenes.LOCAL_DOMAIN}"
# Failure domain that is evacuated in tests of a whole fleet.
_FLEET_DOMAIN = "domain-1"
_PROPAGATION_LIMIT_S = 5.0
_DISCOVERY_S = 6.0
_SEED = 4
_FLOWS = 40


class FixedStore:
    """A store that returns a fixed set of entries."""

    def __init__(self, state: port.PrefixState) -> None:
        self._state = state

    async def get_prefix(
        self, prefix: str, limit: int = 0, after: str = ""
    ) -> port.PrefixState:
        """See `port.PlatformReader`."""
        return self._state


def read_store(
    replica: readers.HostReplica, revision: int, *values: port.KeyValue
) -> None:
    """Makes a host read all entries of a store with the given values."""
    store = FixedStore(port.PrefixState(revision, values))
    trio.run(replica.entries.read_all, store)  # type: ignore[arg-type]


def make_scene() -> scenes.Scene:
    """Returns a host with upstreams in both failure domains."""
    scene = scenes.Scene()
    for number in range(4):
        scene.add(scenes.make_upstream(number))
    for number in range(4, 8):
        scene.add(scenes.make_upstream(number, domain=scenes.OTHER_DOMAIN))
    return scene


def list_new_flow_domains(
    scene: scenes.Scene, first_port: int = 1000
) -> set[ids.DomainId]:
    """Opens flows one at a time; returns the failure domains they go to."""
    found = set()
    for caller in range(first_port, first_port + _FLOWS):
        opened = scene.open(caller)
        scene.continue_flow(opened, caller)
        scene.receive(
            scenes.make_packet(caller, scenes.FIN, token=opened.token)
        )
        found.add(opened.domain)
        scene.clock.sleep(1.0)
        scene.confirm_state()
    return found


def evacuate(fleet: fleet_module.Fleet) -> None:
    """Makes the store acknowledge the evacuation of a failure domain."""
    fleet.store.evacuate(_FLEET_DOMAIN)


def has_evacuation(fleet: fleet_module.Fleet, host: fleet_module.Host) -> bool:
    """Returns whether a host has the evacuation of the domain, and no other."""
    return host.core.knowledge.evacuated == {_FLEET_DOMAIN}


def has_no_evacuation(
    fleet: fleet_module.Fleet, host: fleet_module.Host
) -> bool:
    """Returns whether a host has no evacuated domain."""
    return not host.core.knowledge.evacuated


async def evacuate_and_wait(fleet: fleet_module.Fleet) -> None:
    """Evacuates a domain and checks that all hosts apply it in time."""
    evacuate(fleet)
    await trio.sleep(_PROPAGATION_LIMIT_S)
    assert all(has_evacuation(fleet, host) for host in fleet.hosts)


def test_new_flows_leave_an_evacuated_domain() -> None:
    """Guards against new flows to upstreams of an evacuated domain."""
    scene = make_scene()
    assert list_new_flow_domains(scene) == {scenes.LOCAL_DOMAIN}
    scene.knowledge.evacuate(scenes.LOCAL_DOMAIN, "test")
    assert list_new_flow_domains(scene, 2000) == {scenes.OTHER_DOMAIN}
    scene.knowledge.end_evacuation(scenes.LOCAL_DOMAIN, "test")
    assert list_new_flow_domains(scene, 3000) == {scenes.LOCAL_DOMAIN}


def test_flow_is_refused_at_once_where_all_domains_are_evacuated() -> None:
    """Guards against new flows to upstreams of evacuated domains.

    They would be selected because no other upstream is available.
    """
    scene = make_scene()
    missing = scene.add(scenes.make_upstream(9))
    with scenes.failing_store(scene):
        scene.remove_upstream(missing)
    scene.clock.sleep(10.0)
    scene.confirm_state()
    for domain in (scenes.LOCAL_DOMAIN, scenes.OTHER_DOMAIN):
        scene.knowledge.evacuate(domain, "test")
    scene.receive(scenes.make_packet(1000, scenes.SYN))
    assert scene.count_sent() == (0, 1)


def test_tries_and_copies_avoid_an_evacuated_domain() -> None:
    """Guards against a retransmission that goes to an evacuated domain.

    It would go there because the upstreams of the other domain do not answer.
    """
    scene = make_scene()
    scene.knowledge.evacuate(scenes.LOCAL_DOMAIN, "test")
    for upstream in scene.knowledge.directory.list_all():
        if upstream.domain == scenes.OTHER_DOMAIN:
            scene.suspicions.record_miss(upstream.id, scene.clock.now)
    for copy in range(3):
        scene.receive(scenes.make_packet(1000, scenes.SYN, acknowledged=copy))
        scene.clock.sleep(0.16)
        scene.handle_due_openings()
    assert len(scene.output.to_upstreams) > 3
    addresses = {address for _, address in scene.output.to_upstreams}
    assert addresses <= {
        upstream.address
        for upstream in scene.knowledge.directory.list_all()
        if upstream.domain == scenes.OTHER_DOMAIN
    }


def test_open_flow_of_an_evacuated_domain_goes_on() -> None:
    """Guards against an evacuation that breaks open flows, such as feeds."""
    scene = make_scene()
    upstream = scene.open()
    scene.continue_flow(upstream)
    scene.knowledge.evacuate(upstream.domain, "test")
    scene.continue_flow(upstream, data=10)
    assert scene.last_upstream() == upstream
    assert scene.count_sent() == (3, 0)


def test_older_news_bring_no_evacuation_back() -> None:
    """Guards against an ended evacuation that takes effect again.

    A host that was partitioned still sends the entry of the evacuation.
    """
    replica = readers.HostReplica()
    replica.entries.apply(_EVACUATION_KEY, b"{}", 10)
    assert replica.knowledge.evacuated == {scenes.LOCAL_DOMAIN}
    replica.entries.apply(_EVACUATION_KEY, None, 12, "peer")
    replica.entries.apply(_EVACUATION_KEY, b"{}", 11, "peer")
    assert not replica.knowledge.evacuated
    replica.entries.apply(_EVACUATION_KEY, b"{}", 13)
    replica.entries.apply(_EVACUATION_KEY, None, 12, "peer")
    assert replica.knowledge.evacuated == {scenes.LOCAL_DOMAIN}


def test_reading_that_shows_no_evacuation_ends_it() -> None:
    """Guards against an evacuation that goes on after its end.

    The store dropped the history with its end, so only a new read shows it.
    """
    replica = readers.HostReplica()
    evacuation = port.KeyValue(_EVACUATION_KEY, b"{}", 10)
    state = port.KeyValue("op/config", readers.make_state(1), 9)
    read_store(replica, 10, state, evacuation)
    assert replica.knowledge.evacuated == {scenes.LOCAL_DOMAIN}
    read_store(replica, 14, state)
    assert not replica.knowledge.evacuated
    assert replica.knowledge.state is not None


def test_evacuation_stays_while_the_store_is_away() -> None:
    """Guards against new flows to the domain while the store is unreachable."""
    replica = readers.HostReplica()
    replica.entries.apply(_EVACUATION_KEY, b"{}", 10)
    replica.knowledge.store_trust.record_failure()
    assert replica.knowledge.evacuated == {scenes.LOCAL_DOMAIN}


def test_short_snapshot_and_news_hold_evacuations() -> None:
    """Guards against an evacuation that is delayed by a long desired state."""
    sender = readers.HostReplica()
    sender.entries.apply("op/config", b"[" + b" " * 20_000, 9)
    sender.entries.apply(_EVACUATION_KEY, b"{}", 10)
    snapshot = sender.entries.make_short_snapshot(0, ())
    assert [entry.key for entry in snapshot.entries] == [_EVACUATION_KEY]
    receiver = readers.HostReplica()
    receiver.entries.apply_short_snapshot(snapshot, "peer")
    assert receiver.knowledge.evacuated == {scenes.LOCAL_DOMAIN}
    entry = store_entry.StoreEntry(_EVACUATION_KEY, None, 11)
    update = messages.EntryUpdate(10, 11, True, (entry,))
    receiver.entries.apply_update(update, "peer")
    assert not receiver.knowledge.evacuated


def test_evacuations_that_name_nothing_of_ours_harm_nothing() -> None:
    """Guards against foreign or stale evacuation keys that stop new flows."""
    replica = readers.HostReplica()
    for revision, key in enumerate(
        ("op/evacuate/", "op/evacuate/a/b", "op/evacuation", "op/evacuate/old"),
        start=10,
    ):
        replica.entries.apply(key, b"\xff", revision)
    assert replica.knowledge.evacuated == {"old"}
    assert replica.counts.sum("unreadable_entries_total") == 2
    scene = make_scene()
    scene.knowledge.evacuate(ids.DomainId("old"), "test")
    assert list_new_flow_domains(scene) == {scenes.LOCAL_DOMAIN}


def test_evacuation_is_known_though_hosts_lose_power() -> None:
    """Guards against an evacuation that only failed hosts had received."""
    for scenario in failed_hosts.SCENARIOS:
        late_count = failed_hosts.run_scenario(
            scenario, evacuate, has_evacuation
        )
        assert late_count == 0, scenario.__name__


def test_end_of_an_evacuation_is_known_in_time() -> None:
    """Guards against a domain that gets no new flows after its evacuation."""
    assert run_evacuation_end(lambda _: None) == 0


def test_end_of_an_evacuation_is_known_without_history() -> None:
    """Guards against an end that is missed as the store drops its history."""
    assert run_evacuation_end(lambda f: f.store.forget_history()) == 0


def test_host_that_starts_later_knows_an_evacuation() -> None:
    """Guards against a host that sends new flows to the domain after a start.

    The store is down when it starts, so it learns of the evacuation only from
    other hosts.
    """

    async def run() -> None:
        fleet = fleet_module.Fleet(6, 3, _SEED)
        async with fleet_module.run_fleet(fleet):
            await trio.sleep(_DISCOVERY_S)
            await evacuate_and_wait(fleet)
            fleet.store.go_down()
            fleet.stop(fleet.hosts[0])
            started = fleet.restart(fleet.hosts[0])
            await trio.sleep(_PROPAGATION_LIMIT_S)
            assert has_evacuation(fleet, started)

    trios.run_in_order(_SEED, run)


def run_evacuation_end(disturb: failed_hosts.Change) -> int:
    """Ends an evacuation on a mock clock; returns the number of late hosts."""
    late_counts: list[int] = []

    async def run() -> None:
        late_counts.append(await _count_late_hosts(disturb))

    trios.run_in_order(_SEED, run)
    return late_counts[0]


async def _count_late_hosts(disturb: failed_hosts.Change) -> int:
    """Ends an evacuation; returns the number of hosts that learn it late."""
    fleet = fleet_module.Fleet(12, 3, _SEED)
    async with fleet_module.run_fleet(fleet):
        await trio.sleep(_DISCOVERY_S)
        await evacuate_and_wait(fleet)
        fleet.store.end_evacuation(_FLEET_DOMAIN)
        disturb(fleet)
        await trio.sleep(_PROPAGATION_LIMIT_S)
        return sum(not has_no_evacuation(fleet, host) for host in fleet.hosts)


def test_domains_one_after_the_other_are_kept_apart() -> None:
    """Guards against an evacuation that ends or masks another domain's."""
    replica = readers.HostReplica()
    other = f"op/evacuate/{scenes.OTHER_DOMAIN}"
    replica.entries.apply(_EVACUATION_KEY, b"{}", 10)
    replica.entries.apply(other, b"{}", 11)
    assert replica.knowledge.evacuated == {
        scenes.LOCAL_DOMAIN,
        scenes.OTHER_DOMAIN,
    }
    replica.entries.apply(_EVACUATION_KEY, None, 12)
    assert replica.knowledge.evacuated == {scenes.OTHER_DOMAIN}
    replica.entries.apply(_EVACUATION_KEY, b"{}", 13)
    replica.entries.apply(other, None, 14)
    assert replica.knowledge.evacuated == {scenes.LOCAL_DOMAIN}


def test_burst_spreads_over_the_domains_that_are_left() -> None:
    """Guards against a burst of flows that overloads one remaining upstream."""
    scene = scenes.Scene()
    for number in range(12):
        scene.add(scenes.make_upstream(number))
    others = [
        scene.add(scenes.make_upstream(number, domain=scenes.OTHER_DOMAIN))
        for number in range(12, 36)
    ]
    scene.knowledge.evacuate(scenes.LOCAL_DOMAIN, "test")
    counted: dict[ids.UpstreamId, int] = {u.id: 0 for u in others}
    for number in range(10 * len(others)):
        counted[scene.open(1000 + number).id] += 1
    assert max(counted.values()) <= 15
    assert all(
        upstream.state is upstream_module.UpstreamState.READY
        for upstream in others
    )


def test_evacuations_of_another_writer_are_bounded() -> None:
    """Guards against packets that wait while a host sorts evacuations."""
    replica = readers.HostReplica()
    keys = [f"op/evacuate/{number}" for number in range(1100)]
    for revision, key in enumerate(keys, 1):
        replica.entries.apply(key, b"{}", revision)
    knowledge = replica.knowledge
    assert len(knowledge.evacuated) == 1024
    assert replica.counts.sum("unreadable_entries_total") == 76
    replica.entries.apply(keys[0], b"{}", 1101)
    replica.entries.apply(keys[1], None, 1102)
    replica.entries.apply(keys[-1], b"{}", 1103)
    assert {"0", "1099"} <= knowledge.evacuated
    assert knowledge.evacuated_names == sorted(knowledge.evacuated)
    assert replica.counts.sum("unreadable_entries_total") == 76
