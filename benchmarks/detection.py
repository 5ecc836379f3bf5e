"""How soon hosts notice a dead upstream, and how often they are wrong.

    python -m benchmarks.detection [--seeds N] [--loss P] [--answer-ms MS]

Plays hosts with the real forwarder on a clock of its own: flows open at random
hosts, and their callers go on after a round trip. One upstream goes dark half
way through; its entry stays for the rest of the run, as the platform's does
for some seconds. Hosts tell each other what they missed ten times a second.
Prints one JSON object: means over the seeds. `to_dead` counts the opening
packets that each host sent to the dead upstream in the first two seconds,
`late_ms` how long flows that met it waited for their second upstream, and
`false` the live upstreams that were paused, for 1,000 flows.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
import json
import random
import statistics
from typing import NamedTuple

from benchmarks import events
from persimmonhinge.forwarding import upstream as upstreams
from tests.test_forwarding import scene as scenes

_HOSTS = 6
_UPSTREAMS = 12
_FLOWS_PER_S = 120.0
_CRASH_S = 5.0
_LENGTH_S = 10.0
_COUNT_S = 2.0
_REPORT_S = 0.1
_CHECK_S = 0.005
_WORK_S = 0.02
_SEED_STEP = 1009


class Result(NamedTuple):
    """What a run showed.

    Attributes:
        to_dead: Opening packets to the dead upstream, for each host.
        late_ms: Mean wait of flows that met it, milliseconds.
        false: Misses counted for live upstreams, for 1,000 flows.
    """

    to_dead: float
    late_ms: float
    false: float


class Play:
    """One run."""

    def __init__(self, seed: int, loss: float, answer_s: float) -> None:
        self._random = random.Random(seed)
        self._loss = loss
        self._answer_s = answer_s
        self._clock = scenes.Clock()
        self._begun_at = self._clock.now
        self._queue = events.EventQueue()
        self._hosts = [scenes.Scene(self._clock) for _ in range(_HOSTS)]
        self._upstreams = [
            scenes.make_upstream(n) for n in range(1, _UPSTREAMS + 1)
        ]
        for host in self._hosts:
            for upstream in self._upstreams:
                host.add(upstream)
        self._sent = [0] * _HOSTS
        self._told: list[dict[int, int]] = [{} for _ in self._hosts]
        self._opened_at: dict[int, float] = {}
        self._open: set[int] = set()
        self._flows = 0
        self._to_dead = [0] * _HOSTS
        self._met_dead: set[int] = set()
        self._waits: list[float] = []
        self._false = 0

    def run(self) -> Result:
        """Plays the whole time."""
        self._after(0.0, self._open_flow)
        self._after(0.0, self._check)
        self._after(0.0, self._report)
        self._queue.run(_LENGTH_S)
        return Result(
            statistics.mean(self._to_dead),
            statistics.mean(self._waits or [0.0]) * 1000,
            self._false / self._flows * 1000,
        )

    def _after(self, time_s: float, work: Callable[[], None]) -> None:
        def work_then() -> None:
            self._clock.now = self._begun_at + self._queue.now
            work()

        self._queue.after(time_s, work_then)

    def _open_flow(self) -> None:
        self._flows += 1
        port = 1000 + self._flows
        number = self._random.randrange(_HOSTS)
        self._opened_at[port] = self._queue.now
        self._hosts[number].receive(scenes.make_packet(port, scenes.SYN))
        self._deliver(number)
        pause_s = self._random.expovariate(_FLOWS_PER_S)
        self._after(pause_s, self._open_flow)

    def _check(self) -> None:
        for number, host in enumerate(self._hosts):
            for opening in host.openings.pop_due():
                tried = opening.tried_upstreams[-1]
                dead = self._upstreams[0].id
                if tried != dead or self._queue.now < _CRASH_S:
                    self._false += 1
                host.forwarder.retry_opening(opening)
            self._deliver(number)
        self._after(_CHECK_S, self._check)

    def _deliver(self, number: int) -> None:
        """Takes what a host has sent to the upstreams."""
        sent = self._hosts[number].output.to_upstreams
        for octets, _ in sent[self._sent[number] :]:
            upstream = self._upstreams[int.from_bytes(octets[:8]) - 1]
            port = int.from_bytes(octets[42:44])
            is_opening = octets[20] & scenes.SYN
            if is_opening:
                self._arrive(number, upstream, port)
        self._sent[number] = len(sent)

    def _arrive(
        self, number: int, upstream: upstreams.Upstream, port: int
    ) -> None:
        if upstream is self._upstreams[0] and self._queue.now >= _CRASH_S:
            self._met_dead.add(port)
            if self._queue.now < _CRASH_S + _COUNT_S:
                self._to_dead[number] += 1
            return
        if self._random.random() < self._loss:
            return
        wait_s = self._answer_s * self._random.uniform(0.8, 1.2)
        self._after(wait_s, lambda: self._go_on(number, upstream, port))

    def _go_on(
        self, number: int, upstream: upstreams.Upstream, port: int
    ) -> None:
        if port in self._open:
            return
        self._open.add(port)
        if port in self._met_dead:
            self._waits.append(self._queue.now - self._opened_at[port])
        host = self._hosts[number]
        host.continue_flow(upstream, port=port, data=10)
        self._after(
            _WORK_S,
            lambda: host.continue_flow(
                upstream, port=port, sequence=11, acknowledged=1
            ),
        )

    def _report(self) -> None:
        for number, host in enumerate(self._hosts):
            lines = {
                upstream.token: missed
                for upstream in self._upstreams
                if (missed := host.suspicions.count_misses(upstream.id))
            }
            self._tell(number, lines)
        self._after(_REPORT_S, self._report)

    def _tell(self, number: int, lines: dict[int, int]) -> None:
        former = self._told[number]
        for other, host in enumerate(self._hosts):
            if other == number:
                continue
            for token, missed in former.items():
                host.suspicions.add_reported_misses(token, -missed)
            for token, missed in lines.items():
                host.suspicions.add_reported_misses(token, missed)
        self._told[number] = lines


def main() -> None:
    """Reads the command line, plays and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--answer-ms", type=float, default=5.0)
    arguments = parser.parse_args()
    runs = [
        Play(
            1 + number * _SEED_STEP,
            arguments.loss,
            arguments.answer_ms / 1000,
        ).run()
        for number in range(arguments.seeds)
    ]
    figures = {
        name: round(statistics.mean(getattr(run, name) for run in runs), 2)
        for name in Result._fields
    }
    print(json.dumps({**vars(arguments), **figures}))


if __name__ == "__main__":
    main()
