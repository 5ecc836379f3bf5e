"""A forwarding host for tests, without sockets and with a manual clock."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import random

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import desired_state
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import flow_table
from persimmonhinge.forwarding import forwarder
from persimmonhinge.forwarding import knowledge
from persimmonhinge.forwarding import overload
from persimmonhinge.forwarding import overload_settings
from persimmonhinge.forwarding import request_observer
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding import tokens
from persimmonhinge.forwarding import tracker
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding.decisions.placement import chooser
from persimmonhinge.forwarding.decisions.placement import eligibility
from persimmonhinge.forwarding.decisions.placement import loads
from persimmonhinge.forwarding.decisions.placement import room_source
from persimmonhinge.forwarding.decisions.placement import warm_up_shares
from persimmonhinge.forwarding.decisions.placement import work_placement
from persimmonhinge.forwarding.decisions.placement import work_placement_parts
from persimmonhinge.forwarding.decisions.placement import work_source
from persimmonhinge.forwarding.decisions.upstream_health import openings
from persimmonhinge.forwarding.decisions.upstream_health import quality
from persimmonhinge.forwarding.decisions.upstream_health import suspicions
from persimmonhinge.metrics import counts
from persimmonhinge.platform import adapter
from persimmonhinge.platform import header
from persimmonhinge.policies import choice_near_first

SERVICE = ids.ServiceName("floor")
OTHER_SERVICE = ids.ServiceName("intake")
LOCAL_DOMAIN = ids.DomainId("north")
OTHER_DOMAIN = ids.DomainId("south")
REGION = ids.RegionId("country")
ADDRESS = 0xC6120001
CALLER = 0x64400007
PORT = 443
OTHER_PORT = 8443
SYN = header.OPENS
ACK = header.ACKNOWLEDGES
FIN = header.ENDS
RST = header.ABORTS


class Clock:
    """A clock that only advances by `sleep`."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        """Returns the current time, seconds."""
        return self.now

    def sleep(self, time_s: float) -> None:
        """Advances the clock."""
        self.now += time_s


class Output:
    """Records the sent datagrams, the newest last."""

    def __init__(self) -> None:
        self.to_upstreams: list[tuple[bytes, flow.Endpoint]] = []
        self.to_callers: list[tuple[bytes, int]] = []

    def send_to_upstream(self, octets: bytes, address: flow.Endpoint) -> None:
        """See `forwarder.Output`."""
        self.to_upstreams.append((octets, address))

    def send_to_caller(self, octets: bytes, caller: int) -> None:
        """See `forwarder.Output`."""
        self.to_callers.append((octets, caller))


class Scene:
    """A host with two services that have one route each."""

    def __init__(
        self,
        clock: Clock | None = None,
        domain: ids.DomainId = LOCAL_DOMAIN,
        randomness: random.Random | None = None,
        host: str = "host-0",
        others: Sequence[str] = (),
        observers: Sequence[request_observer.RequestObserver] = (),
        overload_control: overload_settings.OverloadSettings | None = None,
        rooms: room_source.RoomSource | None = None,
        work: work_source.WorkSource | None = None,
        host_count: int = 1,
        judged_work: work_source.WorkSource | None = None,
    ) -> None:
        """Creates a host.

        Args:
            clock: Clock of the host.
            domain: Failure domain of the host.
            randomness: Source of random numbers.
            host: Name of the host.
            others: Names of the other hosts.
            observers: Are told of each request.
            overload_control: Settings of the overload control; None to switch
                it off.
            rooms: Rooms of the failure domains, to place flows by work; None
                to place all flows by the policy.
            work: Expected work of requests; needed with `rooms`.
            host_count: Number of hosts of the failure domain.
            judged_work: Expected work, if the host judges the quality of
                upstreams.
        """
        self.clock = clock or Clock()
        self.randomness = randomness or random.Random(1)
        self.output = Output()
        self.counts = counts.Counts()
        self.knowledge = knowledge.Knowledge(60.0, 2.2)
        self.loads = loads.LoadTable(self.clock)
        self.overload = (
            overload.OverloadControl(
                overload_control,
                domain,
                self.knowledge,
                self.loads,
                self.counts,
                self.randomness,
                self.clock,
            )
            if overload_control is not None
            else None
        )
        self.suspicions = suspicions.Suspicions()
        self.openings = openings.Openings(self.clock)
        self.placement_parts = None
        if rooms is not None and work is not None:
            self.placement_parts = work_placement_parts.WorkPlacementParts(
                domain,
                self.knowledge,
                self.loads,
                rooms,
                work,
                self.randomness,
            )
        parts = self.placement_parts
        self.quality: quality.UpstreamQuality | None = None
        if judged_work is not None:
            self.quality = quality.UpstreamQuality(
                self.knowledge, judged_work, lambda: host_count
            )
        self.tracker = tracker.FlowTracker(
            flow_table.FlowTable(1000),
            self.loads,
            self.counts,
            self.clock,
            (
                *observers,
                *((self.quality,) if self.quality is not None else ()),
                *((parts.rates,) if parts is not None else ()),
                *(self.overload.observers if self.overload else ()),
            ),
            self.quality,
        )
        self.chooser = chooser.UpstreamChooser(
            domain,
            self.knowledge,
            self.loads,
            eligibility.Eligibility(
                self.knowledge,
                self.suspicions,
                warm_up_shares.WarmUpShares(host, lambda: others),
                {LOCAL_DOMAIN: REGION},
                self.quality,
            ),
            choice_near_first.NearFirstChoice(self.randomness),
            self.randomness,
            self._find_placement(),
        )
        self.forwarder = forwarder.Forwarder(
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
        if self.overload is not None:
            self.forwarder.set_overload_control(self.overload)
        self.set_state(1)

    def _find_placement(self) -> work_placement.WorkPlacement | None:
        if self.placement_parts is not None:
            return self.placement_parts.placement
        return self.overload.placement if self.overload else None

    def set_state(self, version: int, *ports: int) -> None:
        """Applies a desired state with routes at some ports, or at both ports.

        Args:
            version: Version of the desired state.
            *ports: Ports of the routes; `PORT` and `OTHER_PORT` if empty.
        """
        services = {PORT: SERVICE, OTHER_PORT: OTHER_SERVICE}
        found = [
            make_route(port, services.get(port, SERVICE))
            for port in ports or services
        ]
        state = desired_state.DesiredState(
            version, {route.virtual_address: route for route in found}, 15.0
        )
        self.knowledge.apply_state(state, "test")
        self.confirm_state()

    def set_repetition(
        self, version: int, repetition: route_module.Repetition
    ) -> None:
        """Applies a desired state whose one route has a rule for repetition."""
        route = records.replace(
            make_route(PORT, SERVICE), repetition=repetition
        )
        state = desired_state.DesiredState(
            version, {route.virtual_address: route}, 15.0
        )
        self.knowledge.apply_state(state, "test")

    def confirm_state(self) -> None:
        """Confirms the current state, as an answer of the store does."""
        self.knowledge.confirmed_at = self.clock.now
        self.knowledge.store_trust.record_answer(self.clock.now)

    def add(
        self, upstream: upstream_module.Upstream
    ) -> upstream_module.Upstream:
        """Adds the entry of an upstream."""
        self.knowledge.apply_upstream(upstream, self.clock.now, "test")
        return upstream

    def remove_upstream(self, upstream: upstream_module.Upstream) -> None:
        """Removes the entry of an upstream."""
        self.knowledge.record_missing_entry(upstream.id, self.clock.now, "test")

    def receive(self, octets: bytes) -> None:
        """Receives a packet from the fabric."""
        self.forwarder.handle_datagram(octets)

    def open(self, port: int = 1000, **fields: int) -> upstream_module.Upstream:
        """Sends an opening packet and returns the upstream that it went to."""
        self.receive(make_packet(port, SYN, **fields))
        return self.last_upstream()

    def continue_flow(
        self,
        upstream: upstream_module.Upstream,
        port: int = 1000,
        **fields: int,
    ) -> None:
        """Sends the next packet of a flow from its caller."""
        self.receive(make_packet(port, ACK, token=upstream.token, **fields))

    def handle_due_openings(self) -> None:
        """Handles the opening packets that were not answered in time."""
        for opening in self.openings.pop_due():
            self.forwarder.retry_opening(opening)

    def last_upstream(self) -> upstream_module.Upstream:
        """Returns the upstream that the newest packet went to."""
        octets, address = self.output.to_upstreams[-1]
        number = int.from_bytes(octets[:8])
        for upstream in self.knowledge.directory.list_all():
            if upstream.number == number:
                assert upstream.address == address
                return upstream
        raise AssertionError("the newest packet went to an unknown upstream")

    def count_sent(self) -> tuple[int, int]:
        """Returns the numbers of packets to upstreams and to callers."""
        return len(self.output.to_upstreams), len(self.output.to_callers)


def make_route(port: int, service: ids.ServiceName) -> route_module.Route:
    """Returns a route at a port."""
    return route_module.Route(
        name=f"route-{port}",
        virtual_address=route_module.RouteAddress(ADDRESS, port),
        shares=(route_module.Share(service, 1.0),),
        priority=1,
        repetition=route_module.Repetition.IDEMPOTENT,
    )


def make_upstream(
    number: int,
    *,
    service: ids.ServiceName = SERVICE,
    domain: ids.DomainId = LOCAL_DOMAIN,
    state: upstream_module.UpstreamState = upstream_module.UpstreamState.READY,
    token: int | None = None,
    slots: int = 2,
) -> upstream_module.Upstream:
    """Returns an upstream."""
    name = ids.UpstreamName(f"i-{number:010x}")
    if token is None:
        token = tokens.compute_token(name, service)
    return upstream_module.Upstream(
        id=ids.UpstreamId(name),
        number=number,
        token=token,
        service=service,
        address=flow.Endpoint(f"10.0.0.{number % 250}", 8000 + number),
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
    caller: int = CALLER,
) -> bytes:
    """Returns a packet of a caller with `data` octets of payload."""
    head = header.HEAD.pack(
        token,
        sequence,
        acknowledged,
        flags,
        bytes(5),
        0xA1B2C3D5,
        data,
        service_port,
        caller,
        ADDRESS,
        port,
    )
    return head + b"x" * data


def read_token(octets: bytes) -> int:
    """Returns the routing token of a datagram to an upstream."""
    return int.from_bytes(octets[8:12])


@contextlib.contextmanager
def failing_store(scene: Scene) -> Iterator[None]:
    """Makes the store fail within the context and return after it."""
    scene.knowledge.store_trust.record_failure()
    yield
    scene.confirm_state()
