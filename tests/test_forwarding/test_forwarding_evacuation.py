"""Tests of failure domains that operators evacuate."""

from __future__ import annotations

import trio

from benchmarks import fleet as fleets
from persimmonhinge import ids
from persimmonhinge.forwarding import entry_line as entry_lines
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.store import port
from tests.support import trios
from tests.test_forwarding import lost_hosts
from tests.test_forwarding import scene as scenes
from tests.test_forwarding import test_forwarding_reading as readers

_KEY = f"op/evacuate/{scenes.HERE}"
_DOMAIN = "domain-1"
_LIMIT_S = 5.0
_HEARD_S = 6.0
_SEED = 4
_FLOWS = 40


class Pages:
    """A store that shows some entries in one reading."""

    def __init__(self, state: port.PrefixState) -> None:
        self._state = state

    async def get_prefix(
        self, prefix: str, limit: int = 0, after: str = ""
    ) -> port.PrefixState:
        """See `port.PlatformReader`."""
        return self._state


def read(reader: readers.Reader, revision: int, *values: port.KeyValue) -> None:
    """Has a host read all entries of a store."""
    pages = Pages(port.PrefixState(revision, values))
    trio.run(reader.entries.read_all, pages)  # type: ignore[arg-type]


def make_scene() -> scenes.Scene:
    """Returns a host with upstreams in both failure domains."""
    scene = scenes.Scene()
    for number in range(4):
        scene.add(scenes.make_upstream(number))
    for number in range(4, 8):
        scene.add(scenes.make_upstream(number, domain=scenes.ELSEWHERE))
    return scene


def list_domains(
    scene: scenes.Scene, first_port: int = 1000
) -> set[ids.DomainId]:
    """Returns the failure domains that new flows go to, one at a time."""
    found = set()
    for caller in range(first_port, first_port + _FLOWS):
        opened = scene.open(caller)
        scene.go_on(opened, caller)
        scene.receive(
            scenes.make_packet(caller, scenes.FIN, token=opened.token)
        )
        found.add(opened.domain)
        scene.clock.sleep(1.0)
        scene.confirm()
    return found


def evacuate(fleet: fleets.Fleet) -> None:
    """Has the evacuation of a domain be acknowledged."""
    fleet.store.evacuate(_DOMAIN)


def knows_evacuation(fleet: fleets.Fleet, host: fleets.Host) -> bool:
    """Tells whether a host keeps new flows away from the domain."""
    return host.core.knowledge.evacuated == {_DOMAIN}


def knows_end(fleet: fleets.Fleet, host: fleets.Host) -> bool:
    """Tells whether a host evacuates no domain."""
    return not host.core.knowledge.evacuated


async def evacuate_all(fleet: fleets.Fleet) -> None:
    """Evacuates a domain and waits until all hosts know."""
    evacuate(fleet)
    await trio.sleep(_LIMIT_S)
    assert all(knows_evacuation(fleet, host) for host in fleet.hosts)


def test_new_flows_leave_an_evacuated_domain() -> None:
    """Guards against new flows at upstreams that are to get nothing."""
    scene = make_scene()
    assert list_domains(scene) == {scenes.HERE}
    scene.knowledge.evacuate(scenes.HERE, "test")
    assert list_domains(scene, 2000) == {scenes.ELSEWHERE}
    scene.knowledge.end_evacuation(scenes.HERE, "test")
    assert list_domains(scene, 3000) == {scenes.HERE}


def test_flow_is_refused_at_once_where_all_domains_are_evacuated() -> None:
    """Guards against upstreams that are taken since no others are left."""
    scene = make_scene()
    lost = scene.add(scenes.make_upstream(9))
    with scenes.failing_store(scene):
        scene.lose(lost)
    scene.clock.sleep(10.0)
    scene.confirm()
    for domain in (scenes.HERE, scenes.ELSEWHERE):
        scene.knowledge.evacuate(domain, "test")
    scene.receive(scenes.make_packet(1000, scenes.SYN))
    assert scene.count_sent() == (0, 1)


def test_tries_and_copies_avoid_an_evacuated_domain() -> None:
    """Guards against a copy at an evacuated domain while others are silent."""
    scene = make_scene()
    scene.knowledge.evacuate(scenes.HERE, "test")
    for upstream in scene.knowledge.directory.all():
        if upstream.domain == scenes.ELSEWHERE:
            scene.suspicions.record_miss(upstream.id, scene.clock.now)
    for copy in range(3):
        scene.receive(scenes.make_packet(1000, scenes.SYN, acknowledged=copy))
        scene.clock.sleep(0.16)
        scene.handle_due()
    assert len(scene.output.to_upstreams) > 3
    places = {address for _, address in scene.output.to_upstreams}
    assert places <= {
        upstream.address
        for upstream in scene.knowledge.directory.all()
        if upstream.domain == scenes.ELSEWHERE
    }


def test_open_flow_of_an_evacuated_domain_goes_on() -> None:
    """Guards against an evacuation that breaks established feeds."""
    scene = make_scene()
    upstream = scene.open()
    scene.go_on(upstream)
    scene.knowledge.evacuate(upstream.domain, "test")
    scene.go_on(upstream, data=10)
    assert scene.last_upstream() == upstream
    assert scene.count_sent() == (3, 0)


def test_older_news_bring_no_evacuation_back() -> None:
    """Guards against a host that was cut off and tells of what has ended."""
    reader = readers.Reader()
    reader.entries.take(_KEY, b"{}", 10)
    assert reader.knowledge.evacuated == {scenes.HERE}
    reader.entries.take(_KEY, None, 12, "peer")
    reader.entries.take(_KEY, b"{}", 11, "peer")
    assert not reader.knowledge.evacuated
    reader.entries.take(_KEY, b"{}", 13)
    reader.entries.take(_KEY, None, 12, "peer")
    assert reader.knowledge.evacuated == {scenes.HERE}


def test_reading_that_shows_no_evacuation_ends_it() -> None:
    """Guards against an evacuation whose end was in the dropped history."""
    reader = readers.Reader()
    shown = port.KeyValue(_KEY, b"{}", 10)
    state = port.KeyValue("op/config", readers.make_state(1), 9)
    read(reader, 10, state, shown)
    assert reader.knowledge.evacuated == {scenes.HERE}
    read(reader, 14, state)
    assert not reader.knowledge.evacuated
    assert reader.knowledge.state is not None


def test_evacuation_stays_while_the_store_is_away() -> None:
    """Guards against new flows there since the store does not answer."""
    reader = readers.Reader()
    reader.entries.take(_KEY, b"{}", 10)
    reader.knowledge.trust.record_failure()
    assert reader.knowledge.evacuated == {scenes.HERE}


def test_short_snapshot_and_news_hold_evacuations() -> None:
    """Guards against an evacuation that waits for a long desired state."""
    teller = readers.Reader()
    teller.entries.take("op/config", b"[" + b" " * 20_000, 9)
    teller.entries.take(_KEY, b"{}", 10)
    snapshot = teller.entries.make_short_snapshot(0, ())
    assert [line.key for line in snapshot.entries] == [_KEY]
    hearer = readers.Reader()
    hearer.entries.take_short_snapshot(snapshot, "peer")
    assert hearer.knowledge.evacuated == {scenes.HERE}
    line = entry_lines.EntryLine(_KEY, None, 11)
    news = messages.EntryUpdate(10, 11, True, (line,))
    hearer.entries.take_news(news, "peer")
    assert not hearer.knowledge.evacuated


def test_evacuations_that_name_nothing_of_ours_harm_nothing() -> None:
    """Guards against keys of former writers that stop new flows."""
    reader = readers.Reader()
    for revision, key in enumerate(
        ("op/evacuate/", "op/evacuate/a/b", "op/evacuation", "op/evacuate/old"),
        start=10,
    ):
        reader.entries.take(key, b"\xff", revision)
    assert reader.knowledge.evacuated == {"old"}
    assert reader.counts.sum("unreadable_entries_total") == 2
    scene = make_scene()
    scene.knowledge.evacuate(ids.DomainId("old"), "test")
    assert list_domains(scene) == {scenes.HERE}


def test_evacuation_is_known_though_hosts_lose_power() -> None:
    """Guards against an evacuation that only dead hosts had heard of."""
    for lose in lost_hosts.WAYS:
        late = lost_hosts.play(lose, evacuate, knows_evacuation)
        assert late == 0, lose.__name__


def test_end_of_an_evacuation_is_known_in_time() -> None:
    """Guards against a domain without new flows after its evacuation."""
    assert play_end(lambda _: None) == 0


def test_end_of_an_evacuation_is_known_without_history() -> None:
    """Guards against an end that the store's dropped history held."""
    assert play_end(lambda f: f.store.forget_history()) == 0


def test_host_that_starts_later_knows_an_evacuation() -> None:
    """Guards against a started host that sends flows to the domain."""

    async def run() -> None:
        fleet = fleets.Fleet(6, 3, _SEED)
        async with fleets.run_fleet(fleet):
            await trio.sleep(_HEARD_S)
            await evacuate_all(fleet)
            fleet.store.go_down()
            fleet.stop(fleet.hosts[0])
            started = fleet.restart(fleet.hosts[0])
            await trio.sleep(_LIMIT_S)
            assert knows_evacuation(fleet, started)

    trios.run_in_order(_SEED, run)


def play_end(disturb: lost_hosts.Change) -> int:
    """Plays the end of an evacuation on a mock clock."""
    late: list[int] = []

    async def run() -> None:
        late.append(await _count_late_ends(disturb))

    trios.run_in_order(_SEED, run)
    return late[0]


async def _count_late_ends(disturb: lost_hosts.Change) -> int:
    """Takes an evacuation back; returns the hosts that know it too late."""
    fleet = fleets.Fleet(12, 3, _SEED)
    async with fleets.run_fleet(fleet):
        await trio.sleep(_HEARD_S)
        await evacuate_all(fleet)
        fleet.store.end_evacuation(_DOMAIN)
        disturb(fleet)
        await trio.sleep(_LIMIT_S)
        return sum(not knows_end(fleet, host) for host in fleet.hosts)


def test_domains_one_after_the_other_are_kept_apart() -> None:
    """Guards against one evacuation that ends or hides another one."""
    reader = readers.Reader()
    other = f"op/evacuate/{scenes.ELSEWHERE}"
    reader.entries.take(_KEY, b"{}", 10)
    reader.entries.take(other, b"{}", 11)
    assert reader.knowledge.evacuated == {scenes.HERE, scenes.ELSEWHERE}
    reader.entries.take(_KEY, None, 12)
    assert reader.knowledge.evacuated == {scenes.ELSEWHERE}
    reader.entries.take(_KEY, b"{}", 13)
    reader.entries.take(other, None, 14)
    assert reader.knowledge.evacuated == {scenes.HERE}


def test_burst_spreads_over_the_domains_that_are_left() -> None:
    """Guards against a burst that rushes to one upstream of those left."""
    scene = scenes.Scene()
    for number in range(12):
        scene.add(scenes.make_upstream(number))
    others = [
        scene.add(scenes.make_upstream(number, domain=scenes.ELSEWHERE))
        for number in range(12, 36)
    ]
    scene.knowledge.evacuate(scenes.HERE, "test")
    counted: dict[ids.UpstreamId, int] = {u.id: 0 for u in others}
    for number in range(10 * len(others)):
        counted[scene.open(1000 + number).id] += 1
    assert max(counted.values()) <= 15
    assert all(
        upstream.state is upstreams.UpstreamState.READY for upstream in others
    )
