"""One run of the emulator: hosts, upstreams, callers and their troubles."""

from __future__ import annotations

from collections.abc import Callable
import math
import random

from benchmarks import events
from benchmarks.ablation import emulated_caller
from benchmarks.ablation import emulated_upstream
from benchmarks.ablation import outcome as outcomes
from benchmarks.ablation import scenario as scenarios
from benchmarks.ablation import variants
from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import desired_state
from persimmonhinge.forwarding import route as routes
from persimmonhinge.forwarding import upstream_load as load_lines
from persimmonhinge.forwarding.decisions.reports import report_lines
from tests.test_forwarding import scene as scenes

# One way between a caller and a host, a host and an upstream, an upstream and a
# caller, seconds.
_TO_HOST_S = 0.003
_TO_UPSTREAM_S = 0.001
_TO_CALLER_S = 0.004
_LOSS = 0.002
_CHECK_S = 0.005
_CONFIRM_S = 0.5
_FIRST_PORT = 1000
_IDLE_TIMEOUT_S = 15.0


class Play:
    """Plays one seed with one variant of the hosts.

    Attributes:
        tallies: What became of the requests of each group.
        opened: Opening packets that upstreams were sent.
        rejected: Flows that hosts rejected.
        upstreams: The upstreams by number.
    """

    def __init__(
        self,
        seed: int,
        omit: variants.Variant | None,
        scenario: scenarios.Scenario,
    ) -> None:
        """Makes the deployment.

        Args:
            seed: Seed of all draws.
            omit: Takes a mechanism out of each host; None for none.
            scenario: The deployment and its load.
        """
        self.tallies = {
            group.name: outcomes.Tally(group.target_s, group.late_credit)
            for group in scenario.groups
        }
        self.opened = 0
        self.rejected = 0
        self.upstreams: dict[int, emulated_upstream.EmulatedUpstream] = {}
        self._scenario = scenario
        self._random = random.Random(seed)
        self._clock = scenes.Clock()
        self._queue = _ClockedQueue(self._clock)
        self._hosts = [
            self._make_host(domain, random.Random(seed + number))
            for number, domain in enumerate(
                scenario.domains * scenario.hosts_each
            )
        ]
        for host in self._hosts:
            self._introduce_others(host)
            if omit is not None:
                omit(host)
        self._sent = [[0, 0] for _ in self._hosts]
        self._told: list[list[load_lines.UpstreamLoad]] = [
            [] for _ in self._hosts
        ]
        self._callers: dict[int, emulated_caller.Caller] = {}
        self._worked: set[tuple[int, int]] = set()
        self._ports = _FIRST_PORT

    @property
    def tally(self) -> outcomes.Tally:
        """Outcomes of the first group of requests."""
        return next(iter(self.tallies.values()))

    @property
    def refused(self) -> int:
        """Requests that upstreams refused."""
        return sum(upstream.refused for upstream in self.upstreams.values())

    def run(self) -> None:
        """Plays the whole time."""
        self.add_upstreams()
        self._scenario.plan(self)
        self._check()
        self._report()
        self._confirm()
        self._queue.run(self._scenario.length_s)

    def add_upstreams(self) -> None:
        """Adds the upstreams that the deployment begins with."""
        for domain in self._scenario.upstream_domains:
            self.add_upstream(domain)

    def add_upstream(
        self, domain: int, cold_s: float = 0.0, cold_slowness: float = 1.0
    ) -> None:
        """Adds an upstream.

        Args:
            domain: Index of its failure domain.
            cold_s: Time for which it is cold, seconds.
            cold_slowness: Factor of its work while it is cold.
        """
        number = len(self.upstreams) + 1
        described = records.replace(
            scenes.make_upstream(number, domain=self._scenario.domains[domain]),
            warm_up_s=cold_s,
        )
        made = emulated_upstream.EmulatedUpstream(
            described,
            self._queue,
            self._random,
            self._scenario.queue,
            self._scenario.max_queue_s,
        )
        self.upstreams[number] = made
        for host in self._hosts:
            host.add(described)
        if cold_s:
            made.slowness = cold_slowness
            self.plan(cold_s, set_slowness, made, 1.0)

    def add_callers(
        self, kind: scenarios.Kind, number: int, for_s: float = math.inf
    ) -> None:
        """Adds callers.

        Args:
            kind: What they send.
            number: Number of callers.
            for_s: Time for which they begin requests, seconds.
        """

        def pause() -> float:
            return self._random.expovariate(1 / kind.pause_s)

        for count in range(number):
            caller = emulated_caller.Caller(
                self,
                self._queue,
                self.tallies[kind.group],
                kind,
                kind.addresses[count % len(kind.addresses)],
                pause,
                self._queue.now + for_s,
            )
            first_s = (
                pause()
                if kind.starts_with_pause
                else self._random.uniform(0, kind.pause_s)
            )
            self._queue.after(first_s, caller.ask)

    def plan(
        self, at_s: float, work: Callable[..., None], *arguments: object
    ) -> None:
        """Has work done after a time, seconds."""
        self._queue.after(at_s, lambda: work(*arguments))

    def end(self, upstream: emulated_upstream.EmulatedUpstream) -> None:
        """Removes the entry of an upstream."""
        for host in self._hosts:
            host.remove_upstream(upstream.described)

    def take_port(self, caller: emulated_caller.Caller) -> int:
        """See `emulated_caller.Net`."""
        self._callers.pop(caller.port, None)
        self._ports += 1
        self._callers[self._ports] = caller
        return self._ports

    def send_opening(self, caller: emulated_caller.Caller, copy: int) -> None:
        """See `emulated_caller.Net`."""
        packet = scenes.make_packet(
            caller.port,
            scenes.SYN,
            acknowledged=copy,
            service_port=caller.kind.service_port,
            caller=caller.address,
        )
        self._send_to_host(caller.port, packet)

    def send_request(self, caller: emulated_caller.Caller) -> None:
        """See `emulated_caller.Net`."""
        self._go_on(caller, caller.sequence, data=1)

    def send_confirmation(self, caller: emulated_caller.Caller) -> None:
        """See `emulated_caller.Net`."""
        self._go_on(caller, caller.sequence + 1, data=0)

    def _go_on(
        self, caller: emulated_caller.Caller, sequence: int, data: int
    ) -> None:
        """Sends a packet of an open flow, which confirms all before it."""
        packet = scenes.make_packet(
            caller.port,
            scenes.ACK,
            token=caller.token,
            sequence=sequence,
            acknowledged=sequence,
            data=data,
            service_port=caller.kind.service_port,
            caller=caller.address,
        )
        self._send_to_host(caller.port, packet)

    def _make_host(
        self, domain: ids.DomainId, randomness: random.Random
    ) -> scenes.Scene:
        host = scenes.Scene(
            self._clock,
            domain,
            randomness,
            overload_control=self._scenario.overload_control,
            judged_work=(
                _Work(self._scenario.work_s)
                if self._scenario.overload_control is None
                else None
            ),
            host_count=self._scenario.hosts_each,
        )
        if self._scenario.routes:
            routes = {r.virtual_address: r for r in self._scenario.routes}
            state = desired_state.DesiredState(2, routes, _IDLE_TIMEOUT_S)
            host.knowledge.apply_state(state, "test")
            host.confirm_state()
        return host

    def _introduce_others(self, host: scenes.Scene) -> None:
        if host.overload is None:
            return
        for number, other in enumerate(self._hosts):
            if other is not host:
                host.overload.picture.add_host(self._get_domain(number))

    def _get_domain(self, number: int) -> ids.DomainId:
        return self._scenario.domains[number % len(self._scenario.domains)]

    def _send_to_host(self, port: int, packet: bytes) -> None:
        if self._random.random() < _LOSS:
            return
        number = self._scenario.hash_port(port) % len(self._hosts)

        def arrive() -> None:
            self._hosts[number].receive(packet)
            self._deliver(number)

        self._queue.after(_TO_HOST_S, arrive)

    def _check(self) -> None:
        for number, host in enumerate(self._hosts):
            host.handle_due_openings()
            host.forwarder.release_waiting_flows()
            self._deliver(number)
        self._queue.after(_CHECK_S, self._check)

    def _confirm(self) -> None:
        for host in self._hosts:
            host.confirm_state()
        self._queue.after(_CONFIRM_S, self._confirm)

    def _deliver(self, number: int) -> None:
        """Takes what a host has sent."""
        output, sent = self._hosts[number].output, self._sent[number]
        for octets, _ in output.to_upstreams[sent[0] :]:
            self._queue.after(_TO_UPSTREAM_S, self._make_arrival(octets))
        for octets, _ in output.to_callers[sent[1] :]:
            port = int.from_bytes(octets[24:26])
            self._reset(port)
        sent[:] = [len(output.to_upstreams), len(output.to_callers)]

    def _reset(self, port: int) -> None:
        self.rejected += 1
        self._tell(port, lambda caller: caller.hear_reset(port))

    def _make_arrival(self, octets: bytes) -> Callable[[], None]:
        upstream = self.upstreams[int.from_bytes(octets[:8])]
        port = int.from_bytes(octets[42:44])
        sequence = int.from_bytes(octets[12:16])
        length = int.from_bytes(octets[30:32])
        work_s = self._scenario.work_s[int.from_bytes(octets[32:34])]

        def arrive() -> None:
            if octets[20] & scenes.SYN:
                self._accept(upstream, port)
            elif length:
                self._work(upstream, port, sequence, work_s)

        return arrive

    def _accept(
        self, upstream: emulated_upstream.EmulatedUpstream, port: int
    ) -> None:
        self.opened += 1
        if upstream.dark:
            return
        upstream.flows.add(port)
        token = upstream.described.token
        self._tell(port, lambda caller: caller.hear_opened(port, token))

    def _work(
        self,
        upstream: emulated_upstream.EmulatedUpstream,
        port: int,
        sequence: int,
        work_s: float,
    ) -> None:
        if upstream.dark or port not in upstream.flows:
            return
        if (port, sequence) in self._worked:
            return

        def answer() -> None:
            self._tell(port, lambda caller: caller.hear_answer(port, sequence))

        def refuse() -> None:
            self._tell(port, lambda caller: caller.hear_refusal(port, sequence))

        if upstream.work(work_s, answer, refuse):
            self._worked.add((port, sequence))

    def _tell(
        self, port: int, tell: Callable[[emulated_caller.Caller], None]
    ) -> None:
        def arrive() -> None:
            caller = self._callers.get(port)
            if caller is not None:
                tell(caller)

        self._queue.after(_TO_CALLER_S, arrive)

    def _report(self) -> None:
        for number, host in enumerate(self._hosts):
            lines = report_lines.list_report_lines(
                host.knowledge,
                host.loads,
                host.suspicions,
                host.clock.now,
                host.quality,
            )
            for other in self._hosts:
                if other is not host:
                    _take_report(other, self._told[number], -1)
                    _take_report(other, lines, 1)
            self._told[number] = lines
            self._report_demand(number)
        self._queue.after(self._scenario.report_s, self._report)

    def _report_demand(self, number: int) -> None:
        host, now = self._hosts[number], self._clock.now
        if host.overload is None:
            return
        demands = host.overload.list_demands(now)
        for other in self._hosts:
            if other is not host and other.overload is not None:
                other.overload.picture.record_report(
                    self._get_domain(number), demands, now
                )


class _Work:
    """Expects the mean work of the requests of a route."""

    def __init__(self, work_s: dict[int, float]) -> None:
        self._work_s = work_s

    def expected_work_s(self, route: routes.RouteAddress) -> float:
        """See `work_source.WorkSource`."""
        return self._work_s[route.port]


class _ClockedQueue(events.EventQueue):
    """A queue that moves the clock of the hosts, too."""

    def __init__(self, clock: scenes.Clock) -> None:
        super().__init__()
        self._clock = clock
        self._begun_at = clock.now

    def after(self, time_s: float, work: Callable[[], None]) -> None:
        """See `events.EventQueue`."""

        def work_then() -> None:
            self._clock.now = self._begun_at + self.now
            work()

        super().after(time_s, work_then)


def _take_report(
    host: scenes.Scene, lines: list[load_lines.UpstreamLoad], sign: int
) -> None:
    for line in lines:
        host.loads.add_reported(
            line.token,
            sign * line.in_flight,
            sign * line.average,
            sign * line.open_flows,
        )
        host.suspicions.add_reported_misses(
            line.token, sign * line.missed_openings
        )
        if host.quality is None:
            continue
        if sign > 0:
            host.quality.add_reported(line)
        else:
            host.quality.withdraw_reported(line)


def set_dark(upstream: emulated_upstream.EmulatedUpstream) -> None:
    """Stops an upstream from hearing and answering."""
    upstream.dark = True


def set_slowness(
    upstream: emulated_upstream.EmulatedUpstream, slowness: float
) -> None:
    """Sets the factor of an upstream's work."""
    upstream.slowness = slowness
