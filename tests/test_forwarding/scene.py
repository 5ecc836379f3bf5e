"""A host that forwards packets, without sockets and with a clock by hand."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import random

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import desired_state as desired_states
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import flow_table as flow_tables
from persimmonhinge.forwarding import forwarder as forwarders
from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.forwarding import route as routes
from persimmonhinge.forwarding import tokens
from persimmonhinge.forwarding import tracker as trackers
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.forwarding.decisions import chooser as choosers
from persimmonhinge.forwarding.decisions import cold_shares
from persimmonhinge.forwarding.decisions import eligibility
from persimmonhinge.forwarding.decisions import loads as load_books
from persimmonhinge.forwarding.decisions import openings as opening_lists
from persimmonhinge.forwarding.decisions import suspicions as suspicion_lists
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.platform import adapter
from persimmonhinge.platform import header
from persimmonhinge.policies import choice_near_first

SERVICE = ids.ServiceName("floor")
OTHER_SERVICE = ids.ServiceName("intake")
HERE = ids.DomainId("north")
ELSEWHERE = ids.DomainId("south")
REGION = ids.RegionId("country")
ADDRESS = 0xC6120001
PORT = 443
OTHER_PORT = 8443
SYN = header.OPENS
ACK = header.ACKNOWLEDGES
FIN = header.ENDS
RST = header.ABORTS


class Clock:
    """A clock that stands still until it is moved."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        """Returns the time."""
        return self.now

    def sleep(self, time_s: float) -> None:
        """Moves it on."""
        self.now += time_s


class Output:
    """Keeps what was sent, the newest last."""

    def __init__(self) -> None:
        self.to_upstreams: list[tuple[bytes, flows.Endpoint]] = []
        self.to_callers: list[tuple[bytes, int]] = []

    def send_to_upstream(self, octets: bytes, address: flows.Endpoint) -> None:
        """See `forwarder.Output`."""
        self.to_upstreams.append((octets, address))

    def send_to_caller(self, octets: bytes, caller: int) -> None:
        """See `forwarder.Output`."""
        self.to_callers.append((octets, caller))


class Scene:
    """One host, with two services of which each has a route."""

    def __init__(
        self,
        clock: Clock | None = None,
        domain: ids.DomainId = HERE,
        randomness: random.Random | None = None,
        host: str = "host-0",
        others: Sequence[str] = (),
    ) -> None:
        """Makes a host.

        Args:
            clock: Its clock.
            domain: Its failure domain.
            randomness: Source of its random numbers.
            host: Its name.
            others: Names of the other hosts.
        """
        self.clock = clock or Clock()
        self.randomness = randomness or random.Random(1)
        self.output = Output()
        self.counts = host_counts.Counts()
        self.knowledge = knowledge_parts.Knowledge(60.0, 2.2)
        self.loads = load_books.LoadBook(self.clock)
        self.suspicions = suspicion_lists.Suspicions()
        self.openings = opening_lists.Openings(self.clock)
        self.tracker = trackers.FlowTracker(
            flow_tables.FlowTable(1000), self.loads, self.counts, self.clock
        )
        self.chooser = choosers.UpstreamChooser(
            domain,
            self.knowledge,
            self.loads,
            eligibility.Eligibility(
                self.knowledge,
                self.suspicions,
                cold_shares.ColdShares(host, lambda: others),
                {HERE: REGION},
            ),
            choice_near_first.NearFirstChoice(self.randomness),
            self.randomness,
        )
        self.forwarder = forwarders.Forwarder(
            adapter.PacketFormat(),
            self.output,
            self.knowledge,
            self.chooser,
            self.tracker,
            self.openings,
            self.suspicions,
            self.counts,
            self.clock,
        )
        self.set_state(1)

    def set_state(self, version: int, *ports: int) -> None:
        """Puts a desired state in force, with routes at the ports."""
        services = {PORT: SERVICE, OTHER_PORT: OTHER_SERVICE}
        found = [
            make_route(port, services.get(port, SERVICE))
            for port in ports or services
        ]
        state = desired_states.DesiredState(
            version, {route.at: route for route in found}, 15.0
        )
        self.knowledge.apply_state(state, "test")
        self.confirm()

    def set_repetition(
        self, version: int, repetition: routes.Repetition
    ) -> None:
        """Puts a version in force whose requests may all be so repeated."""
        route = records.replace(
            make_route(PORT, SERVICE), repetition=repetition
        )
        state = desired_states.DesiredState(version, {route.at: route}, 15.0)
        self.knowledge.apply_state(state, "test")

    def confirm(self) -> None:
        """Has the store say that nothing is newer."""
        self.knowledge.confirmed_at = self.clock.now
        self.knowledge.store_trust.record_answer(self.clock.now)

    def add(self, upstream: upstreams.Upstream) -> upstreams.Upstream:
        """Adds an upstream."""
        self.knowledge.apply_upstream(upstream, self.clock.now, "test")
        return upstream

    def lose(self, upstream: upstreams.Upstream) -> None:
        """Takes the entry of an upstream away."""
        self.knowledge.record_missing_entry(upstream.id, self.clock.now, "test")

    def receive(self, octets: bytes) -> None:
        """Has a packet come from the fabric."""
        self.forwarder.receive(octets)

    def open(self, port: int = 1000, **fields: int) -> upstreams.Upstream:
        """Opens a flow; returns where its first packet went."""
        self.receive(make_packet(port, SYN, **fields))
        return self.last_upstream()

    def go_on(
        self, upstream: upstreams.Upstream, port: int = 1000, **fields: int
    ) -> None:
        """Has the caller of a flow go on."""
        self.receive(make_packet(port, ACK, token=upstream.token, **fields))

    def handle_due(self) -> None:
        """Handles the opening packets that were not answered."""
        for opening in self.openings.take_due():
            self.forwarder.open_elsewhere(opening)

    def last_upstream(self) -> upstreams.Upstream:
        """Returns where the newest packet went."""
        octets, address = self.output.to_upstreams[-1]
        number = int.from_bytes(octets[:8])
        for upstream in self.knowledge.directory.list_all():
            if upstream.number == number:
                assert upstream.address == address
                return upstream
        raise AssertionError("sent to no upstream that is known")

    def count_sent(self) -> tuple[int, int]:
        """Returns how many packets went to upstreams and to callers."""
        return len(self.output.to_upstreams), len(self.output.to_callers)


def make_route(port: int, service: ids.ServiceName) -> routes.Route:
    """Returns a route at a port."""
    return routes.Route(
        name=f"route-{port}",
        at=routes.RouteAddress(ADDRESS, port),
        shares=(routes.Share(service, 1.0),),
        priority=1,
        repetition=routes.Repetition.IDEMPOTENT,
    )


def make_upstream(
    number: int,
    *,
    service: ids.ServiceName = SERVICE,
    domain: ids.DomainId = HERE,
    state: upstreams.UpstreamState = upstreams.UpstreamState.READY,
    token: int | None = None,
    slots: int = 2,
) -> upstreams.Upstream:
    """Returns an upstream."""
    name = ids.UpstreamId(f"i-{number:010x}")
    return upstreams.Upstream(
        id=name,
        number=number,
        token=tokens.compute_token(name) if token is None else token,
        service=service,
        address=flows.Endpoint(f"10.0.0.{number % 250}", 8000 + number),
        domain=domain,
        slots=slots,
        state=state,
    )


def make_packet(
    port: int,
    flags: int,
    *,
    token: int = 0,
    sequence: int = 1,
    acknowledged: int = 0,
    data: int = 0,
    service_port: int = PORT,
) -> bytes:
    """Returns a packet of a caller, with so many octets of data."""
    head = header.HEAD.pack(
        token,
        sequence,
        acknowledged,
        flags,
        bytes(5),
        0xA1B2C3D5,
        data,
        service_port,
        0x64400007,
        ADDRESS,
        port,
    )
    return head + b"x" * data


def read_token(octets: bytes) -> int:
    """Returns the routing token of a datagram to an upstream."""
    return int.from_bytes(octets[8:12])


@contextlib.contextmanager
def failing_store(scene: Scene) -> Iterator[None]:
    """Has the store fail meanwhile; it answers afterwards."""
    scene.knowledge.store_trust.record_failure()
    yield
    scene.confirm()
