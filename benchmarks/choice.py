"""How evenly policies spread flows that stay where they were put.

    python -m benchmarks.choice [--seeds N] [--layout NAME] [--policy NAME]
        [--drawn N]

Plays hosts, upstreams with slots and a queue, long flows with pauses and
flows of a single request, as events on a clock of its own. All policies play
the same seeds; as their choices differ, so do the later arrivals. `own` sees
the requests of one host, `all` what the other hosts reported last as well.
With `--drawn` a host compares so many upstreams of its own domain and of
others for each flow; 0 stands for all.
Prints one JSON object: means over the seeds.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
import functools
import itertools
import json
import random
import statistics
from typing import NamedTuple
from unittest import mock

from benchmarks import choice_layouts
from benchmarks import events
from persimmonhinge import ids
from persimmonhinge.forwarding import directory as directories
from persimmonhinge.forwarding.decisions.placement import candidates
from persimmonhinge.forwarding.decisions.placement import loads as load_books
from persimmonhinge.forwarding.peers import report_schedule
from persimmonhinge.policies import builtin  # noqa: F401
from persimmonhinge.policies import choice
from tests.test_forwarding import scene as scenes

_FLOW_REQUESTS = 12
_LENGTH_S = 60.0
_SEED_STEP = 1009


class Result(NamedTuple):
    """What a run showed.

    Attributes:
        busiest: Requests at the busiest upstream by the mean.
        shed: Share of requests that met a full queue.
        wait_ms: Mean time in the queue, milliseconds.
        far: Share of flows that left their failure domain.
    """

    busiest: float
    shed: float
    wait_ms: float
    far: float


class Upstream:
    """An upstream with slots and a queue."""

    def __init__(self, number: int, domain: int) -> None:
        name = ids.DomainId(str(domain))
        self.known = scenes.make_upstream(number, domain=name)
        self.id = self.known.id
        self.token = number + 1
        self.domain = domain
        self.running = 0
        self.queue: list[Callable[[], None]] = []
        self.taken = 0


class Play:
    """One run of one policy."""

    def __init__(
        self,
        layout: choice_layouts.Layout,
        policy: str,
        sight: str,
        drawn: int,
        seed: int,
    ) -> None:
        """Makes a run.

        Args:
            layout: Hosts and upstreams.
            policy: Name of the policy.
            sight: Whether a host sees its own requests or all.
            drawn: Upstreams of a domain and of others that are compared; 0
                for all.
            seed: Seed of all draws.
        """
        self._layout = layout
        self._compares_all = not drawn
        self._queue = events.EventQueue()
        self._sight = sight
        self._random = random.Random(seed)
        self._upstreams = [
            Upstream(number, domain)
            for number, domain in enumerate(layout.domains)
        ]
        self._by_id = {upstream.id: upstream for upstream in self._upstreams}
        directory = directories.Directory(_LENGTH_S)
        for upstream in self._upstreams:
            directory.put(upstream.known, 0.0)
        self._pools = {
            domain: candidates.CandidatePool(
                ids.DomainId(str(domain)), directory, self._random
            )
            for domain in {*layout.domains, *layout.hosts}
        }
        self._books = [
            load_books.LoadTable(lambda: self._queue.now) for _ in layout.hosts
        ]
        self._policies = [
            choice.choice_policies.get(policy)(random.Random(seed + host))
            for host in range(len(self._layout.hosts))
        ]
        self._reported: list[list[tuple[int, int, int]]] = [
            [] for _ in layout.hosts
        ]
        self._requests = 0
        self._shed = 0
        self._flows = 0
        self._far = 0
        self._waits: list[float] = []

    def run(self, length_s: float = _LENGTH_S) -> Result:
        """Plays for some seconds."""
        for _ in range(self._layout.long_flows):
            self._after(
                self._random.uniform(0, self._layout.pause_s), self._open_long
            )
        self._after(0.0, self._open_fresh)
        self._after(0.0, self._report)
        self._queue.run(length_s)
        taken = [upstream.taken for upstream in self._upstreams]
        return Result(
            max(taken) / statistics.mean(taken),
            self._shed / self._requests,
            statistics.mean(self._waits) * 1000,
            self._far / self._flows,
        )

    def _after(self, time_s: float, work: Callable[[], None]) -> None:
        self._queue.after(time_s, work)

    def _open_fresh(self) -> None:
        host = self._random.randrange(len(self._layout.hosts))
        self._request(host, self._choose(host), 0)
        pause_s = self._random.expovariate(self._layout.fresh_per_s)
        self._after(pause_s, self._open_fresh)

    def _open_long(self) -> None:
        host = self._random.randrange(len(self._layout.hosts))
        requests = 1 + int(self._random.expovariate(1 / _FLOW_REQUESTS))
        self._request(host, self._choose(host), requests)

    def _choose(self, host: int) -> Upstream:
        book = self._books[host]
        compared = []
        for upstream in self._draw(self._layout.hosts[host]):
            in_flight: float = book.in_flight(upstream.id)
            average = book.average(upstream.id)
            if self._sight == "all":
                in_flight += book.reported_in_flight(upstream.token)
                average += book.reported_average(upstream.token)
            compared.append(
                choice.Candidate(
                    upstream=upstream.id,
                    capacity=self._layout.slots,
                    load=in_flight,
                    own_load=in_flight,
                    recent_load=average,
                    same_domain=upstream.domain == self._layout.hosts[host],
                )
            )
        name = self._policies[host].choose(compared).upstream
        chosen = self._by_id[name]
        self._flows += 1
        self._far += chosen.domain != self._layout.hosts[host]
        return chosen

    def _draw(self, domain: int) -> list[Upstream]:
        """Returns the upstreams that a host compares."""
        if self._compares_all:
            return self._upstreams
        drawn = self._pools[domain].draw(scenes.SERVICE, lambda _: True)
        return [self._by_id[upstream.id] for upstream in drawn]

    def _request(self, host: int, upstream: Upstream, left: int) -> None:
        self._requests += 1
        upstream.taken += 1
        came_at = self._queue.now
        work_s = self._random.lognormvariate(0, 0.5) * self._layout.work_s
        self._books[host].record_request_start(upstream.id)

        def start() -> None:
            upstream.running += 1
            self._waits.append(self._queue.now - came_at)
            self._after(work_s, end)

        def end() -> None:
            upstream.running -= 1
            self._books[host].record_request_end(upstream.id)
            if upstream.queue:
                upstream.queue.pop(0)()
            self._go_on(host, upstream, left)

        if upstream.running < self._layout.slots:
            start()
        elif len(upstream.queue) < self._layout.queue:
            upstream.queue.append(start)
        else:
            self._shed += 1
            self._books[host].record_request_end(upstream.id)
            self._go_on(host, upstream, left)

    def _go_on(self, host: int, upstream: Upstream, left: int) -> None:
        pause_s = self._random.expovariate(1 / self._layout.pause_s)
        if left > 1:
            self._after(
                pause_s, lambda: self._request(host, upstream, left - 1)
            )
        elif left == 1:
            self._after(pause_s, self._open_long)

    def _report(self) -> None:
        """Has each host begin to report, at moments of its own."""
        for host in range(len(self._books)):
            first_s = self._random.uniform(0, self._layout.report_s)
            self._after(first_s, functools.partial(self._report_from, host))

    def _report_from(self, host: int) -> None:
        book = self._books[host]
        lines = [
            line
            for upstream in self._upstreams
            if any((line := _make_line(book, upstream))[1:])
        ]
        for other in self._list_told(host):
            told = self._books[other]
            for token, in_flight, average in self._reported[host]:
                told.add_reported(token, -in_flight, -average)
            for token, in_flight, average in lines:
                told.add_reported(token, in_flight, average)
        self._reported[host] = lines
        again = functools.partial(self._report_from, host)
        self._after(self._layout.report_s, again)

    def _list_told(self, host: int) -> list[int]:
        """Returns the hosts that hear loads of one.

        Where there are many, those of its own domain alone do.
        """
        hosts = self._layout.hosts
        is_large = len(hosts) > report_schedule.MAX_REMOTE_HOSTS_WITH_LOADS
        return [
            other
            for other, domain in enumerate(hosts)
            if other != host and not (is_large and domain != hosts[host])
        ]


def _make_line(
    book: load_books.LoadTable, upstream: Upstream
) -> tuple[int, int, int]:
    return (
        upstream.token,
        book.in_flight(upstream.id),
        round(book.average(upstream.id) * 100),
    )


def main() -> None:
    """Reads the command line, plays all policies and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument(
        "--layout", choices=sorted(choice_layouts.LAYOUTS), default="utility"
    )
    parser.add_argument("--policy", choices=choice.choice_policies.names())
    parser.add_argument("--drawn", type=int, default=candidates.SAMPLE_SIZE)
    arguments = parser.parse_args()
    layout = choice_layouts.LAYOUTS[arguments.layout]
    names = (
        [arguments.policy]
        if arguments.policy
        else choice.choice_policies.names()
    )
    results = {}
    for policy, sight in itertools.product(names, ("own", "all")):
        with mock.patch.object(candidates, "SAMPLE_SIZE", arguments.drawn):
            runs = [
                Play(
                    layout,
                    policy,
                    sight,
                    arguments.drawn,
                    1 + number * _SEED_STEP,
                ).run()
                for number in range(arguments.seeds)
            ]
        results[f"{policy}, {sight}"] = {
            name: round(statistics.mean(getattr(r, name) for r in runs), 4)
            for name in Result._fields
        }
    print(json.dumps({**vars(arguments), "results": results}, indent=1))


if __name__ == "__main__":
    main()
