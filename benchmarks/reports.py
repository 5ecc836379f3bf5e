"""What reports between the hosts of a fleet cost, and how old they are.

    python -m benchmarks.reports [--hosts N] [--domains N] [--seeds N]

Plays the parts that report and hear of hosts that start within 0.3 s and know
three of them, before a store that answers. When all have run for a while, an
upstream enters itself, then twenty one after the other, then one while the host
that follows the store loses power; then a host doubts an upstream; then the
store refuses all hosts, drops its history, and refuses a third of the hosts.
Prints one JSON object; times are seconds, means over the seeds.
"""

from __future__ import annotations

import argparse
import functools
import json
import logging
import statistics
import time
from unittest import mock

import trio

from benchmarks import fleet as fleets
from tests.support import trios

_POLL_S = 0.05
_LONGEST_S = 60.0
# Long enough for hosts to have heard of each other.
_SETTLE_S = 30.0
_STEADY_S = 20.0
_MOST_MISSED = 3
_OUTAGE_S = 5.0
_RUSH = 20
_RUSH_GAP_S = 0.05


async def measure(fleet: fleets.Fleet) -> dict[str, float]:
    """Plays a fleet; returns its figures by their names."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        figures = {"domain_heard_s": await _wait_for_domains(fleet)}
        await trio.sleep_until(_SETTLE_S)
        figures["near_silent_at_start"] = fleet.silent[True]
        figures["far_silent_at_start"] = fleet.silent[False]
        figures["calls_at_start"] = sum(fleet.store.calls.values())
        figures |= await _count_steady(fleet)
        figures |= await _spread_change(fleet)
        figures |= await _spread_rush(fleet)
        figures |= await _lose_follower(fleet)
        figures |= await _spread_doubt(fleet)
        figures |= await _lose_store(fleet)
        figures |= await _forget_history(fleet)
        figures |= await _refuse_third(fleet)
        nursery.cancel_scope.cancel()
    return figures


async def _count_steady(fleet: fleets.Fleet) -> dict[str, float]:
    """Plays a while in which nothing changes; returns what it costs."""
    near, far = fleet.octets_near, fleet.octets_far
    calls = sum(fleet.store.calls.values())
    fleet.silent = {True: 0, False: 0}
    await trio.sleep(_STEADY_S)
    per_host_s = len(fleet.hosts) * _STEADY_S
    return {
        "near_octets_s": (fleet.octets_near - near) / per_host_s,
        "far_octets_s": (fleet.octets_far - far) / per_host_s,
        "near_silent_later": fleet.silent[True],
        "far_silent_later": fleet.silent[False],
        "calls_later": sum(fleet.store.calls.values()) - calls,
    }


async def _wait_for_domains(fleet: fleets.Fleet) -> float:
    """Waits until hosts hear nine of ten others of their domains.

    Returns:
        How long after the start that was, seconds.
    """
    domains = [host.domain for host in fleet.hosts]
    needed = {name: domains.count(name) - 1 for name in set(domains)}
    while trio.current_time() < _LONGEST_S:
        await trio.sleep(_POLL_S)
        heard = sum(host.count_heard() for host in fleet.hosts)
        if heard >= 0.9 * sum(needed[name] for name in domains):
            break
    return trio.current_time()


async def _spread_change(fleet: fleets.Fleet) -> dict[str, float]:
    """Has one upstream enter itself; returns when hosts know it."""
    fleet.store.add_upstream()
    times = await _wait_until_known(fleet, fleet.hosts)
    return {
        "change_most_s": times[len(times) * 9 // 10],
        "change_last_s": times[-1],
    }


async def _spread_rush(fleet: fleets.Fleet) -> dict[str, float]:
    """Has upstreams enter themselves one after the other."""
    calls = sum(fleet.store.calls.values())
    for _ in range(_RUSH):
        fleet.store.add_upstream()
        await trio.sleep(_RUSH_GAP_S)
    times = await _wait_until_known(fleet, fleet.hosts)
    return {
        "rush_last_s": times[-1],
        "rush_calls": sum(fleet.store.calls.values()) - calls,
    }


async def _lose_follower(fleet: fleets.Fleet) -> dict[str, float]:
    """Has the host that follows lose power as an upstream enters itself."""
    follower = next(
        host
        for host in fleet.hosts
        if host.role.should_follow(trio.current_time())
    )
    fleet.stop(follower)
    calls = sum(fleet.store.calls.values())
    fleet.store.add_upstream()
    left = [host for host in fleet.hosts if host is not follower]
    times = await _wait_until_known(
        fleet, [host for host in left if host.domain == follower.domain]
    )
    await trio.sleep(_SETTLE_S)
    return {
        "lost_first_s": times[0],
        "lost_most_s": times[len(times) * 9 // 10],
        "lost_last_s": times[-1],
        "lost_calls": sum(fleet.store.calls.values()) - calls,
    }


async def _lose_store(fleet: fleets.Fleet) -> dict[str, float]:
    """Has the store refuse all calls for a while; returns what it counts."""
    calls = sum(fleet.store.calls.values())
    fleet.store.go_down()
    await trio.sleep(_OUTAGE_S)
    refused = sum(fleet.store.calls.values()) - calls
    fleet.store.is_down = False
    await trio.sleep(_SETTLE_S)
    return {
        "outage_calls": refused,
        "return_calls": sum(fleet.store.calls.values()) - calls - refused,
    }


async def _forget_history(fleet: fleets.Fleet) -> dict[str, float]:
    """Has the store drop its history; returns what that costs."""
    calls = sum(fleet.store.calls.values())
    fleet.store.forget_history()
    times = await _wait_until_known(fleet, fleet.list_running())
    await trio.sleep(_SETTLE_S - times[-1])
    return {
        "forgotten_last_s": times[-1],
        "forgotten_calls": sum(fleet.store.calls.values()) - calls,
    }


async def _refuse_third(fleet: fleets.Fleet) -> dict[str, float]:
    """Has the store refuse a third of the hosts; an upstream enters itself."""
    calls = sum(fleet.store.calls.values())
    running = fleet.list_running()
    fleet.refused = {host.address for host in running[::3]}
    await trio.sleep(_OUTAGE_S)
    fleet.store.add_upstream()
    times = await _wait_until_known(fleet, running)
    await trio.sleep(_OUTAGE_S)
    fleet.refused = set()
    await trio.sleep(_SETTLE_S)
    return {
        "refused_last_s": times[-1],
        "refused_calls": sum(fleet.store.calls.values()) - calls,
    }


async def _wait_until_known(
    fleet: fleets.Fleet, hosts: list[fleets.Host]
) -> list[float]:
    """Returns after how long each of some hosts knows the newest entry."""
    knew_at: dict[str, float] = {}
    began_at = fleet.store.changed_at
    while len(knew_at) < len(hosts):
        await trio.sleep(_POLL_S)
        after_s = trio.current_time() - began_at
        for host in hosts:
            if host.core.entries.revision >= fleet.store.revision:
                knew_at.setdefault(host.address, after_s)
        if after_s > _LONGEST_S:
            break
    lost = [_LONGEST_S] * (len(hosts) - len(knew_at))
    return sorted(knew_at.values()) + lost


async def _spread_doubt(fleet: fleets.Fleet) -> dict[str, float]:
    """Has one host miss openings; returns when its domain holds back."""
    first, *_ = fleet.hosts
    near = [h for h in fleet.hosts[1:] if h.domain == first.domain]
    upstream = next(iter(first.core.knowledge.directory.list_all()))
    began_at = trio.current_time()
    for _ in range(_MOST_MISSED):
        first.core.suspicions.record_miss(upstream.id, began_at)
    knew_at: dict[str, float] = {}
    while len(knew_at) < len(near):
        await trio.sleep(_POLL_S)
        now = trio.current_time()
        if now - began_at > _LONGEST_S:
            break
        for host in near:
            if host.core.suspicions.is_suspected(
                upstream.id, upstream.token, now
            ):
                knew_at.setdefault(host.address, now - began_at)
    times = sorted(knew_at.values())
    return {
        "doubt_half_s": times[len(times) // 2] if times else _LONGEST_S,
        "doubt_reached": len(times) / max(len(near), 1),
    }


def main() -> None:
    """Reads the command line, plays and prints."""
    logging.disable()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=24)
    parser.add_argument("--domains", type=int, default=5)
    parser.add_argument("--seeds", type=int, default=1)
    arguments = parser.parse_args()
    runs: list[dict[str, float]] = []

    async def play(seed: int) -> None:
        fleet = fleets.Fleet(arguments.hosts, arguments.domains, seed)
        with (
            mock.patch.object(time, "monotonic", trio.current_time),
            mock.patch.object(trio, "open_tcp_stream", fleet.connect),
        ):
            runs.append(await measure(fleet))

    began_s = time.process_time()
    for seed in range(1, arguments.seeds + 1):
        trios.run_in_order(seed, functools.partial(play, seed))
    figures = {
        name: round(statistics.mean(run[name] for run in runs), 3)
        for name in runs[0]
    }
    cpu_s = round(time.process_time() - began_s, 1)
    print(json.dumps({**vars(arguments), **figures, "cpu_s": cpu_s}))


if __name__ == "__main__":
    main()
