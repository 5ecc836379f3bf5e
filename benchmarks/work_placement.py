"""Replays new flows at many hosts that choose by reports that are seconds old.

    python -m benchmarks.work_placement [--seed N]

Hosts, upstreams with slots and a queue, flows of a single request and long
flows with pauses, as events on a manual clock. Each host has the real load
table, chooser and placement. Prints one JSON object: each load with placement
by work and without it.
"""

from __future__ import annotations

import argparse
import collections
from collections.abc import Callable
import functools
import json
import random
import statistics
from typing import NamedTuple

from benchmarks import events
from benchmarks.ablation import mechanism
from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import desired_state
from persimmonhinge.forwarding import flow as flow_module
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding import upstream_load
from persimmonhinge.forwarding.decisions.placement import chooser
from persimmonhinge.forwarding.decisions.placement import eligibility
from persimmonhinge.forwarding.decisions.placement import loads as loads_module
from persimmonhinge.forwarding.decisions.placement import warm_up_shares
from persimmonhinge.forwarding.decisions.placement import work_placement_parts
from persimmonhinge.forwarding.decisions.reports import report_lines
from persimmonhinge.forwarding.decisions.upstream_health import suspicions
from persimmonhinge.policies import choice_near_first
from tests.test_forwarding import scene as scenes

# As `reporter.Reporter` sends.
_MAX_LINES = 32
_FLOW_LIFE_S = 60.0
# Windows with fewer flows at an upstream are left out: chance decides there.
_MIN_WINDOW_MEAN = 10.0
_TARGET_LATENCY_S = 0.5
_TIMEOUT_S = 2.0


class Load(NamedTuple):
    """The flows of one route.

    Attributes:
        port: Port of the route.
        work_s: Mean work of a request, seconds.
        flows_per_s: New flows of a single request per second, by the failure
            domain whose hosts receive them.
        long_flows: Flows that are open all the time, by failure domain.
        pause_s: Mean pause of a long flow between two requests, seconds.
    """

    port: int
    work_s: float
    flows_per_s: tuple[float, ...]
    long_flows: tuple[int, ...] = ()
    pause_s: float = 2.0


class Layout(NamedTuple):
    """Hosts, upstreams and their loads.

    Attributes:
        hosts: Number of hosts in each failure domain.
        upstreams: Number of upstreams in each failure domain.
        loads: The loads.
        slots: Slots of an upstream.
        queue: Number of requests that wait at an upstream before it refuses.
        report_s: Time between two reports of a host, seconds.
        slowness: Factors of the work at slow upstreams, by their number.
        max_flows: Maximum number of open flows at an upstream; 0 for none.
        requests: Mean number of requests of a long flow.
    """

    hosts: tuple[int, ...]
    upstreams: tuple[int, ...]
    loads: tuple[Load, ...]
    slots: int = 2
    queue: int = 8
    report_s: float = 2.0
    slowness: dict[int, float] = {}
    max_flows: int = 0
    requests: int = 12


class Result(NamedTuple):
    """What a replay showed.

    Attributes:
        refused: Share of the requests that met a full queue.
        late: Share of the requests that waited for more than half of the
            target latency, or were refused.
        wait_ms: Mean time in the queue, milliseconds.
        busiest: Most flows at one upstream between two reports, divided by the
            mean of its failure domain.
        left: Share of the flows of each failure domain that left it.
        received: Flows from other failure domains that each received.
        flows: Flows at each upstream, by its number.
        beyond: Share of the flows that were opened at an upstream at its
            limit, once each host has reported twice.
    """

    refused: float
    late: float
    wait_ms: float
    busiest: float
    left: dict[int, float]
    received: dict[int, int]
    flows: dict[int, int]
    beyond: float


class _Rooms:
    """Rooms as the loads make them, without a delay."""

    def __init__(self, layout: Layout) -> None:
        self._capacities = {
            _name(domain): float(count * layout.slots)
            for domain, count in enumerate(layout.upstreams)
        }
        self._demands = {
            _name(domain): _compute_demand(layout, domain)
            for domain in range(len(layout.hosts))
        }

    def capacity(
        self, service: ids.ServiceName, domain: ids.DomainId, now: float
    ) -> float:
        """See `room_source.RoomSource`."""
        return self._capacities[domain]

    def room(
        self, service: ids.ServiceName, domain: ids.DomainId, now: float
    ) -> float:
        """See `room_source.RoomSource`."""
        return self._capacities[domain] - self._demands[domain]


class _Work:
    """Expected work as the loads state it."""

    def __init__(self, layout: Layout) -> None:
        self._works = {load.port: load.work_s for load in layout.loads}

    def expected_work_s(self, route: route_module.RouteAddress) -> float:
        """See `work_source.WorkSource`."""
        return self._works[route.port]


class _DomainReports:
    """The newest reports of the hosts of a failure domain, as totals."""

    def __init__(self) -> None:
        self.totals = loads_module.LoadTable()


class _HostLoads(loads_module.LoadTable):
    """A load table that reads the reports from totals of the domain.

    Each host would have the same reports less its own; applying each report at
    each host would take most of the time of a replay.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        reports: _DomainReports,
        interval_s: float,
    ) -> None:
        super().__init__(clock)
        self._totals = reports.totals
        self.own_lines: dict[int, upstream_load.UpstreamLoad] = {}
        self._interval_s = interval_s

    def get_report_age_s(self) -> float:
        """Returns the mean age of the reports, seconds."""
        return self._interval_s / 2

    def replace_lines(self, lines: list[upstream_load.UpstreamLoad]) -> None:
        """Reports new lines in place of the last ones."""
        for old in self.own_lines.values():
            self._totals.add_reported(
                old.token, -old.in_flight, -old.average, -old.open_flows
            )
        for new in lines:
            self._totals.add_reported(
                new.token, new.in_flight, new.average, new.open_flows
            )
        self.own_lines = {line.token: line for line in lines}

    def reported_in_flight(self, token: int) -> int:
        """Returns the requests that other hosts of the domain report."""
        own = self.own_lines.get(token)
        total = self._totals.reported_in_flight(token)
        return total - (own.in_flight if own else 0)

    def reported_average(self, token: int) -> float:
        """Returns the average that other hosts of the domain report."""
        own = self.own_lines.get(token)
        total = self._totals.reported_average(token)
        return total - (own.average / 100 if own else 0.0)

    def reported_open_flows(self, token: int) -> int:
        """Returns the open flows that other hosts of the domain report."""
        own = self.own_lines.get(token)
        total = self._totals.reported_open_flows(token)
        return total - (own.open_flows if own else 0)


class _Upstream:
    """An upstream with slots and a queue."""

    def __init__(self, number: int, domain: int, layout: Layout) -> None:
        self.number = number
        self.domain = domain
        self.described = scenes.make_upstream(
            number, domain=_name(domain), slots=layout.slots
        )
        self.slowness = layout.slowness.get(number, 1.0)
        self.running = 0
        self.queue: collections.deque[Callable[[], None]] = collections.deque()
        self.open_flows = 0


class _Host:
    """A host with the real parts that choose upstreams."""

    def __init__(self, play: Play, domain: int, seed: int) -> None:
        self.domain = domain
        self.loads = _HostLoads(
            play.clock, play.reports[domain], play.layout.report_s
        )
        randomness = random.Random(seed)
        self.suspicions = suspicions.Suspicions()
        self.parts = work_placement_parts.WorkPlacementParts(
            _name(domain),
            play.knowledge,
            self.loads,
            play.rooms,
            play.work,
            randomness,
            play.capacity_factor,
        )
        self.chooser = chooser.UpstreamChooser(
            _name(domain),
            play.knowledge,
            self.loads,
            eligibility.Eligibility(
                play.knowledge,
                self.suspicions,
                warm_up_shares.WarmUpShares(str(seed), list),
                {},
            ),
            choice_near_first.NearFirstChoice(randomness),
            randomness,
            self.parts.placement if play.by_work else None,
        )


class Play:
    """One replay.

    Attributes:
        by_work: Whether flows are placed by work.
        knowledge: What all hosts know of the platform.
        rooms: Rooms of the failure domains.
        work: Expected work of the routes.
        layout: Hosts, upstreams and their loads.
        reports: The reports of each failure domain.
    """

    def __init__(
        self,
        layout: Layout,
        seed: int = 1,
        *,
        by_work: bool = True,
        counts_open_flows: bool = True,
        learns_speed: bool = True,
    ) -> None:
        """Creates a replay.

        Args:
            layout: Hosts, upstreams and their loads.
            seed: Seed of all random numbers.
            by_work: Whether flows are placed by work.
            counts_open_flows: Whether open flows count as expected work.
            learns_speed: Whether hosts know the speed of the upstreams.
        """
        self.by_work = by_work
        self.layout = layout
        self._learns_speed = learns_speed
        self._queue = events.EventQueue()
        self._random = random.Random(seed)
        self.rooms = _Rooms(layout)
        self.work = _Work(layout)
        self.reports = [_DomainReports() for _ in layout.hosts]
        self.knowledge = knowledge_module.Knowledge(_FLOW_LIFE_S, 2.2)
        self._routes = self._apply_state()
        self._upstreams = self._add_upstreams()
        self._hosts = [
            [
                _Host(self, domain, seed * 1009 + domain * 401 + n)
                for n in range(count)
            ]
            for domain, count in enumerate(layout.hosts)
        ]
        if not counts_open_flows:
            self._ignore_open_flows()
        self._requests = 0
        self._refused = 0
        self._limited = 0
        self._beyond = 0
        self._waits: list[float] = []
        self._flows: collections.Counter[tuple[int, int]] = (
            collections.Counter()
        )
        self._windows: collections.Counter[tuple[int, int]] = (
            collections.Counter()
        )

    def clock(self) -> float:
        """Returns the current time, seconds."""
        return self._queue.now

    def capacity_factor(self, upstream: ids.UpstreamId, now: float) -> float:
        """Returns the speed of an upstream."""
        if not self._learns_speed:
            return 1.0
        return 1 / self._upstreams[upstream].slowness

    def run(self, duration_s: float) -> Result:
        """Replays the load for some seconds."""
        for load in self.layout.loads:
            for domain, rate in enumerate(load.flows_per_s):
                if rate:
                    self._after_next(rate, load, domain)
            for domain, count in enumerate(load.long_flows):
                for _ in range(count):
                    wait_s = self._random.uniform(0, load.pause_s)
                    self._after(wait_s, self._open_long, load, domain)
        for hosts in self._hosts:
            for host in hosts:
                wait_s = self._random.uniform(0, self.layout.report_s)
                self._after(wait_s, self._report, host)
        self._queue.run(duration_s)
        return self._make_result()

    def _after(
        self, wait_s: float, work: Callable[..., None], *arguments: object
    ) -> None:
        self._queue.after(wait_s, functools.partial(work, *arguments))

    def _after_next(self, rate: float, load: Load, domain: int) -> None:
        wait_s = self._random.expovariate(rate)
        self._after(wait_s, self._open_short, rate, load, domain)

    def _open_short(self, rate: float, load: Load, domain: int) -> None:
        self._after_next(rate, load, domain)
        self._open(load, domain, 1)

    def _open_long(self, load: Load, domain: int) -> None:
        mean = self.layout.requests
        requests = 2 + int(self._random.expovariate(1 / mean))
        if not self._open(load, domain, requests):
            self._after(load.pause_s, self._open_long, load, domain)

    def _open(self, load: Load, domain: int, requests: int) -> bool:
        """Opens a flow; returns whether an upstream was found."""
        host = self._random.choice(self._hosts[domain])
        flow = flow_module.FlowId(1, 2, scenes.ADDRESS, load.port)
        route = self._routes[load.port]
        chosen = host.chooser.choose(route, flow, self._queue.now)
        if chosen is None:
            return False
        upstream = self._upstreams[chosen.upstream.id]
        self._flows[domain, upstream.number] += 1
        window = int(self._queue.now // self.layout.report_s)
        self._windows[window, upstream.number] += 1
        self._count_beyond(upstream)
        upstream.open_flows += 1
        host.parts.flows.add_flow(chosen.upstream.id, route.virtual_address)
        self._request(host, upstream, load, requests, True)
        return True

    def _count_beyond(self, upstream: _Upstream) -> None:
        """Counts a new flow, and whether its upstream is at the limit."""
        limit = self.layout.max_flows
        if limit and self._queue.now > 2 * self.layout.report_s:
            self._limited += 1
            self._beyond += upstream.open_flows >= limit

    def _request(
        self,
        host: _Host,
        upstream: _Upstream,
        load: Load,
        requests: int,
        is_opening: bool,
    ) -> None:
        self._requests += 1
        asked_at = self._queue.now
        address = self._routes[load.port].virtual_address
        upstream_id = upstream.described.id
        host.loads.record_request_start(upstream_id)
        host.parts.flows.start_request(upstream_id, address)
        host.parts.rates.record_start(
            address, upstream_id, is_opening, asked_at
        )
        spread = self._random.uniform(0.5, 1.5)
        work_s = load.work_s * upstream.slowness * spread

        def start() -> None:
            upstream.running += 1
            self._waits.append(self._queue.now - asked_at)
            self._after(work_s, end)

        def end() -> None:
            upstream.running -= 1
            if upstream.queue:
                upstream.queue.popleft()()
            self._finish(host, upstream, load, requests)

        if upstream.running < self.layout.slots:
            start()
        elif len(upstream.queue) < self.layout.queue:
            upstream.queue.append(start)
        else:
            self._refused += 1
            self._finish(host, upstream, load, requests)

    def _finish(
        self, host: _Host, upstream: _Upstream, load: Load, requests: int
    ) -> None:
        """Ends a request; the flow goes on after a pause or ends."""
        address = self._routes[load.port].virtual_address
        upstream_id = upstream.described.id
        host.loads.record_request_end(upstream_id)
        host.parts.flows.finish_request(upstream_id, address)
        pause_s = self._random.expovariate(1 / load.pause_s)
        if requests > 1:
            left = requests - 1
            self._after(
                pause_s, self._request, host, upstream, load, left, False
            )
            return
        upstream.open_flows -= 1
        host.parts.flows.remove_flow(upstream_id, address)
        if requests == 1 and load.long_flows:
            self._after(pause_s, self._open_long, load, host.domain)

    def _report(self, host: _Host) -> None:
        lines = report_lines.list_report_lines(
            self.knowledge, host.loads, host.suspicions, self._queue.now
        )
        lines.sort(key=lambda line: (line.average, line.open_flows))
        host.loads.replace_lines(lines[-_MAX_LINES:])
        self._after(self.layout.report_s, self._report, host)

    def _apply_state(self) -> dict[int, route_module.Route]:
        routes = {
            load.port: records.replace(
                scenes.make_route(load.port, scenes.SERVICE),
                target_latency_s=_TARGET_LATENCY_S,
                timeout_s=_TIMEOUT_S,
            )
            for load in self.layout.loads
        }
        limit = self.layout.max_flows
        state = desired_state.DesiredState(
            1,
            {route.virtual_address: route for route in routes.values()},
            _FLOW_LIFE_S,
            max_flows={scenes.SERVICE: limit} if limit else {},
        )
        self.knowledge.apply_state(state, "replay")
        return routes

    def _add_upstreams(self) -> dict[ids.UpstreamId, _Upstream]:
        domains = [
            domain
            for domain, count in enumerate(self.layout.upstreams)
            for _ in range(count)
        ]
        upstreams = [
            _Upstream(number, domain, self.layout)
            for number, domain in enumerate(domains)
        ]
        for upstream in upstreams:
            self.knowledge.apply_upstream(upstream.described, 0.0, "replay")
        return {upstream.described.id: upstream for upstream in upstreams}

    def _ignore_open_flows(self) -> None:
        def count_none(upstream: upstream_module.Upstream, now: float) -> float:
            return 0.0

        for hosts in self._hosts:
            for host in hosts:
                work = mechanism.read(host.parts.placement, "_upstream_work")
                for name in (
                    "compute_own_open_flows",
                    "compute_reported_open_flows",
                ):
                    mechanism.replace(work, name, count_none)

    def _make_result(self) -> Result:
        late = sum(wait > _TARGET_LATENCY_S / 2 for wait in self._waits)
        upstreams = {u.number: u for u in self._upstreams.values()}
        left: collections.Counter[int] = collections.Counter()
        received: collections.Counter[int] = collections.Counter()
        opened: collections.Counter[int] = collections.Counter()
        flows: collections.Counter[int] = collections.Counter()
        for (domain, number), count in self._flows.items():
            opened[domain] += count
            flows[number] += count
            if upstreams[number].domain != domain:
                left[domain] += count
                received[upstreams[number].domain] += count
        return Result(
            refused=self._refused / self._requests,
            late=(late + self._refused) / self._requests,
            wait_ms=statistics.mean(self._waits) * 1000,
            busiest=self._find_busiest(),
            left={domain: left[domain] / opened[domain] for domain in opened},
            received=dict(received),
            flows=dict(flows),
            beyond=self._beyond / max(1, self._limited),
        )

    def _find_busiest(self) -> float:
        """Returns the most flows in a window by the mean of the domain."""
        domains = {u.number: u.domain for u in self._upstreams.values()}
        totals: collections.Counter[tuple[int, int]] = collections.Counter()
        for (window, number), count in self._windows.items():
            totals[window, domains[number]] += count
        means = {
            (window, domain): count / self.layout.upstreams[domain]
            for (window, domain), count in totals.items()
        }
        return max(
            (
                count / means[window, domains[number]]
                for (window, number), count in self._windows.items()
                if means[window, domains[number]] >= _MIN_WINDOW_MEAN
            ),
            default=0.0,
        )


def _name(domain: int) -> ids.DomainId:
    return ids.DomainId(f"domain-{domain}")


def _compute_demand(layout: Layout, domain: int) -> float:
    """Returns the work per second that the hosts of a domain are asked for."""
    demand = 0.0
    for load in layout.loads:
        demand += load.flows_per_s[domain] * load.work_s
        if load.long_flows:
            rate = load.long_flows[domain] / (load.pause_s + load.work_s)
            demand += rate * load.work_s
    return demand


def make_even(hosts: int, utilization: float = 0.8) -> Layout:
    """Returns a layout with three equal domains and one kind of request.

    Args:
        hosts: Number of hosts.
        utilization: Demand as a part of the capacity.
    """
    upstreams = hosts // 5
    work_s = 0.1
    rate = upstreams * 2 * utilization / work_s
    load = Load(scenes.PORT, work_s, (rate, rate, rate))
    return Layout((hosts // 3,) * 3, (upstreams,) * 3, (load,))


def make_uneven(hosts: int) -> Layout:
    """Returns a layout with one domain above its capacity.

    The others are at 0.7 and 0.4 of theirs, so they have room in proportion 1
    to 2.
    """
    even = make_even(hosts, 1.0)
    rate = even.loads[0].flows_per_s[0]
    load = even.loads[0]._replace(
        flows_per_s=(1.4 * rate, 0.7 * rate, 0.4 * rate)
    )
    return even._replace(loads=(load,))


def make_mixed(hosts: int) -> Layout:
    """Returns a layout with light and heavy requests at 0.8 of its slots."""
    even = make_even(hosts, 0.8)
    rate = even.loads[0].flows_per_s[0]
    light = Load(scenes.PORT, 0.04, (rate * 1.25,) * 3)
    heavy = Load(scenes.OTHER_PORT, 0.8, (rate * 0.0625,) * 3)
    return even._replace(loads=(light, heavy))


def make_long_and_short(hosts: int) -> Layout:
    """Returns a layout with long flows and flows of a single request.

    Long flows need 0.45 of the slots, the others 0.3.
    """
    upstreams = hosts // 5
    flows = int(upstreams * 2 * 0.45 * 2.1 / 0.1)
    rate = upstreams * 2 * 0.3 / 0.1
    loads = (
        Load(scenes.PORT, 0.1, (0.0,) * 3, (flows,) * 3, 2.0),
        Load(scenes.OTHER_PORT, 0.1, (rate,) * 3),
    )
    return Layout((hosts // 3,) * 3, (upstreams,) * 3, loads)


def make_pausing(hosts: int) -> Layout:
    """Returns a layout with long flows that pause, at 0.8 of its slots.

    A long flow is in flight for a tenth of its time.
    """
    upstreams = hosts // 5
    flows = int(upstreams * 2 * 0.8 * 1.1 / 0.1)
    load = Load(scenes.PORT, 0.1, (0.0,) * 3, (flows,) * 3, 1.0)
    return Layout((hosts // 3,) * 3, (upstreams,) * 3, (load,))


_LAYOUTS = {
    "even": make_even,
    "uneven": make_uneven,
    "mixed": make_mixed,
    "long-and-short": make_long_and_short,
    "pausing": make_pausing,
}
_HOSTS = (72, 195, 300)
_DURATION_S = 12.0


def main() -> None:
    """Reads the command line, replays all layouts and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    results = {}
    for name, make_layout in _LAYOUTS.items():
        for hosts in _HOSTS:
            for by_work in (True, False):
                play = Play(make_layout(hosts), arguments.seed, by_work=by_work)
                result = play.run(_DURATION_S)
                key = f"{name}, {hosts}, {'by-work' if by_work else 'off'}"
                results[key] = {
                    **result._asdict(),
                    "flows": sum(result.flows.values()),
                }
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
