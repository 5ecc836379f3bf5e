"""How evenly policies spread flows that stay where they were put.

    python -m benchmarks.choice [--seeds N]

Plays hosts, upstreams with slots and a queue, long flows with pauses and
flows of a single request, as events on a clock of its own. All policies play
the same seeds; as their choices differ, so do the later arrivals. `own` sees
the requests of one host, `all` what the other hosts reported last as well.
Prints one JSON object: means over the seeds.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
import json
import random
import statistics
from typing import NamedTuple

from benchmarks import events
from persimmonhinge import ids
from persimmonhinge.forwarding.decisions import loads as load_books
from persimmonhinge.policies import builtin  # noqa: F401
from persimmonhinge.policies import choice

# The Utility's dispatch on a busy day: three failure domains with three, two
# and two upstreams, three slots and a queue of twelve each.
_DOMAINS = (0, 0, 0, 1, 1, 2, 2)
_HOSTS = (0, 0, 0, 1, 1, 2, 2)
_SLOTS = 3
_QUEUE = 12
_WORK_S = 0.055
_LONG_FLOWS = 340
_PAUSE_S = 2.0
_FRESH_PER_S = 50.0
_FLOW_REQUESTS = 12
_REPORT_S = 0.1
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

    def __init__(self, number: int) -> None:
        self.id = ids.UpstreamId(f"u-{number}")
        self.token = number + 1
        self.domain = _DOMAINS[number]
        self.running = 0
        self.queue: list[Callable[[], None]] = []
        self.taken = 0


class Play:
    """One run of one policy."""

    def __init__(self, policy: str, sight: str, seed: int) -> None:
        self._queue = events.EventQueue()
        self._sight = sight
        self._random = random.Random(seed)
        self._upstreams = [Upstream(n) for n in range(len(_DOMAINS))]
        self._books = [
            load_books.LoadBook(lambda: self._queue.now) for _ in _HOSTS
        ]
        self._policies = [
            choice.choices.get(policy)(random.Random(seed + host))
            for host in range(len(_HOSTS))
        ]
        self._reported: list[list[tuple[int, int, int]]] = [[] for _ in _HOSTS]
        self._requests = 0
        self._shed = 0
        self._flows = 0
        self._far = 0
        self._waits: list[float] = []

    def run(self) -> Result:
        """Plays the whole time."""
        for _ in range(_LONG_FLOWS):
            self._after(self._random.uniform(0, _PAUSE_S), self._open_long)
        self._after(0.0, self._open_fresh)
        self._after(0.0, self._report)
        self._queue.run(_LENGTH_S)
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
        host = self._random.randrange(len(_HOSTS))
        self._request(host, self._choose(host), 0)
        pause_s = self._random.expovariate(_FRESH_PER_S)
        self._after(pause_s, self._open_fresh)

    def _open_long(self) -> None:
        host = self._random.randrange(len(_HOSTS))
        requests = 1 + int(self._random.expovariate(1 / _FLOW_REQUESTS))
        self._request(host, self._choose(host), requests)

    def _choose(self, host: int) -> Upstream:
        book = self._books[host]
        candidates = []
        for upstream in self._upstreams:
            in_flight: float = book.in_flight(upstream.id)
            average = book.average(upstream.id)
            if self._sight == "all":
                in_flight += book.others_in_flight(upstream.token)
                average += book.others_average(upstream.token)
            candidates.append(
                choice.Candidate(
                    upstream=upstream.id,
                    capacity=_SLOTS,
                    load=in_flight,
                    own=in_flight,
                    recent=average,
                    near=upstream.domain == _HOSTS[host],
                )
            )
        name = self._policies[host].choose(candidates).upstream
        chosen = next(u for u in self._upstreams if u.id == name)
        self._flows += 1
        self._far += chosen.domain != _HOSTS[host]
        return chosen

    def _request(self, host: int, upstream: Upstream, left: int) -> None:
        self._requests += 1
        upstream.taken += 1
        came_at = self._queue.now
        work_s = self._random.lognormvariate(0, 0.5) * _WORK_S
        self._books[host].begin(upstream.id)

        def start() -> None:
            upstream.running += 1
            self._waits.append(self._queue.now - came_at)
            self._after(work_s, end)

        def end() -> None:
            upstream.running -= 1
            self._books[host].end(upstream.id)
            if upstream.queue:
                upstream.queue.pop(0)()
            self._go_on(host, upstream, left)

        if upstream.running < _SLOTS:
            start()
        elif len(upstream.queue) < _QUEUE:
            upstream.queue.append(start)
        else:
            self._shed += 1
            self._books[host].end(upstream.id)
            self._go_on(host, upstream, left)

    def _go_on(self, host: int, upstream: Upstream, left: int) -> None:
        pause_s = self._random.expovariate(1 / _PAUSE_S)
        if left > 1:
            self._after(
                pause_s, lambda: self._request(host, upstream, left - 1)
            )
        elif left == 1:
            self._after(pause_s, self._open_long)

    def _report(self) -> None:
        for host, book in enumerate(self._books):
            lines = [
                (
                    upstream.token,
                    book.in_flight(upstream.id),
                    round(book.average(upstream.id) * 100),
                )
                for upstream in self._upstreams
            ]
            for other, told in enumerate(self._books):
                if other == host:
                    continue
                for token, in_flight, average in self._reported[host]:
                    told.add_others(token, -in_flight, -average)
                for token, in_flight, average in lines:
                    told.add_others(token, in_flight, average)
            self._reported[host] = lines
        self._after(_REPORT_S, self._report)


def main() -> None:
    """Reads the command line, plays all policies and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    arguments = parser.parse_args()
    results = {}
    for policy in choice.choices.names():
        for sight in ("own", "all"):
            runs = [
                Play(policy, sight, 1 + number * _SEED_STEP).run()
                for number in range(arguments.seeds)
            ]
            results[f"{policy}, {sight}"] = {
                name: round(statistics.mean(getattr(r, name) for r in runs), 4)
                for name in Result._fields
            }
    print(json.dumps({"seeds": arguments.seeds, "results": results}, indent=1))


if __name__ == "__main__":
    main()
