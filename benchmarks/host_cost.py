"""What the parts of a host cost that run apart from packets of flows.

    python -m benchmarks.host_cost [--hosts N] [--domains N] [--seconds N]

Plays a fleet in which nothing changes, on a clock of its own, and prints one
JSON object: for each part how often a host wakes up for it in a second, and the
processor time that takes, microseconds a second. Time of messages that come is
counted apart from that of the part that sends them. Links, system calls and the
event loop itself are not counted.
"""

from __future__ import annotations

import argparse
import collections
from collections.abc import Callable
import functools
import json
import logging
import time

import trio

from benchmarks import fleet as fleets
from persimmonhinge.forwarding import flow as flows
from tests.support import trios

# Long enough for hosts to have heard of each other, seconds.
_SETTLE_S = 20.0
_SEED = 1
# The part that takes messages of other hosts.
HEARD = "handle_datagram"


class PartCosts(trio.abc.Instrument):
    """Counts steps of tasks and their processor time by the task's function."""

    def __init__(self) -> None:
        self.steps: collections.Counter[str] = collections.Counter()
        self.time_s: dict[str, float] = collections.defaultdict(float)
        self._counts = False
        self._began_at = 0.0
        self._heard_s = 0.0

    def begin(self) -> None:
        """Counts from now on."""
        self._counts = True
        trio.lowlevel.add_instrument(self)

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """See `trio.abc.Instrument`."""
        self._heard_s = 0.0
        self._began_at = time.process_time()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """See `trio.abc.Instrument`."""
        took_s = time.process_time() - self._began_at - self._heard_s
        name = task.name.rpartition(".")[2]
        self.steps[name] += 1
        self.time_s[name] += took_s

    def count_heard(
        self, take: Callable[[bytes, flows.Endpoint], None]
    ) -> Callable[[bytes, flows.Endpoint], None]:
        """Returns a function that takes a message, and is counted apart."""

        def counted(octets: bytes, source: flows.Endpoint) -> None:
            began_at = time.process_time()
            take(octets, source)
            took_s = time.process_time() - began_at
            if not self._counts:
                return
            self._heard_s += took_s
            self.steps[HEARD] += 1
            self.time_s[HEARD] += took_s

        return counted


async def measure(
    hosts: int, domains: int, costs: PartCosts, length_s: float
) -> None:
    """Plays a fleet until it is settled, and counts from then on."""
    fleet = fleets.Fleet(hosts, domains, _SEED)
    for host in fleet.hosts:
        heard = costs.count_heard(host.service.handle_datagram)
        setattr(host.service, HEARD, heard)
    async with fleets.run_fleet(fleet):
        await trio.sleep(_SETTLE_S)
        costs.begin()
        await trio.sleep(length_s)


def run(
    hosts: int, domains: int, length_s: float
) -> dict[str, dict[str, float]]:
    """Returns wake-ups and microseconds a second and host, by part."""
    costs = PartCosts()
    trios.run_in_order(
        _SEED, functools.partial(measure, hosts, domains, costs, length_s)
    )
    per_host_s = hosts * length_s
    return {
        name: {
            "wake_ups": round(steps / per_host_s, 2),
            "us": round(costs.time_s[name] / per_host_s * 1e6, 1),
        }
        for name, steps in costs.steps.most_common()
    }


def main() -> None:
    """Reads the command line and prints the costs."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", type=int, default=84)
    parser.add_argument("--domains", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    found = run(options.hosts, options.domains, options.seconds)
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
