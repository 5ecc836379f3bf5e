"""Feeds broken by kind of change, against a plain hash of the flow.

Run it with `python -m benchmarks.broken_flows`. Callers keep a feed each
while a host is stopped, a host is killed, an upstream drains, or an upstream
is killed, each change in a deployment of its own. A feed is broken if its
caller missed a tick, saw an older one, had to register again, or saw no tick
any more. The
baseline is a balancer that hashes each flow over the live upstreams: the
share of the same number of flows that it would send to another upstream.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import math
import os
import statistics

import trio
import typer
import xxhash

from tests.standins import plan as plans
from tests.standins import processes
from tests.standins import watchers
from tests.test_integration import feed_plans
from tests.test_integration import settled

_SERVICE = feed_plans.SERVICE
_UPSTREAMS = (3, 2, 2)
_LEAVING = "floor-north-1"
_BEFORE_TICKS = 10
_AFTER_S = 12.0
_TICK_S = 0.2
_LATE_S = 0.8
# The fabric learns of a death from the platform's list, which is late.
_FABRIC_LAG_S = 0.5
_FIRST_PORT = 20_000

_Change = Callable[[processes.Deployment], Awaitable[None]]
program = typer.Typer(add_completion=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What one kind of change did.

    Attributes:
        kind: Its name.
        feeds: Feeds that were open.
        late: Feeds whose caller waited for longer than `_LATE_S`.
        broken: Feeds that were broken.
        renewed: Feeds that their caller had to register again.
        median_s: Median wait of the late feeds for their first datagram
            after the change, seconds; 0 if none was late.
        longest_s: The longest of all waits that ended, seconds.
        lost: Feeds that never went on.
        baseline: Part of the flows that the plain hash would move.
    """

    kind: str
    feeds: int
    late: int
    broken: int
    renewed: int
    median_s: float
    longest_s: float
    lost: int
    baseline: float


async def _stop_host(deployment: processes.Deployment) -> None:
    host = await feed_plans.find_busiest(deployment)
    await deployment.stop_host(host)


async def _kill_host(deployment: processes.Deployment) -> None:
    host = await feed_plans.find_busiest(deployment)
    await deployment.kill_host(host)
    await trio.sleep(_FABRIC_LAG_S)
    await deployment.fabric.remove_host(host)


async def _drain_upstream(deployment: processes.Deployment) -> None:
    await feed_plans.drain_upstream(deployment, _LEAVING)


async def _kill_upstream(deployment: processes.Deployment) -> None:
    await deployment.upstreams[_LEAVING].kill()


_CHANGES: dict[str, tuple[_Change, bool]] = {
    "planned stop of a host": (_stop_host, False),
    "kill of a host": (_kill_host, False),
    "drain of an upstream": (_drain_upstream, True),
    "kill of an upstream": (_kill_upstream, True),
}


async def _measure(kind: str, feeds: int, silent_s: float) -> Result:
    change, loses_upstream = _CHANGES[kind]
    plan = feed_plans.make_plan(
        upstreams=_UPSTREAMS, limits=feed_plans.QUICK_LIMITS
    )
    settings = watchers.WATCHFUL.model_copy(update={"silent_s": silent_s})
    async with (
        settled.run_settled(plan) as deployment,
        watchers.run_watchers(deployment, _SERVICE, feeds, settings) as callers,
    ):
        await callers.wait_more(_BEFORE_TICKS)
        since = trio.current_time()
        await change(deployment)
        with contextlib.suppress(AssertionError):
            await callers.wait_more(_BEFORE_TICKS)
        await trio.sleep(max(0.0, since + _AFTER_S - trio.current_time()))
        waits = callers.waits_s(since)
    ended = [wait_s for wait_s in waits if math.isfinite(wait_s)]
    late = [wait_s for wait_s in ended if wait_s > _LATE_S]
    lost = {n for n, wait_s in enumerate(waits) if math.isinf(wait_s)}
    return Result(
        kind,
        feeds,
        len(late),
        len(callers.broken() | lost),
        sum(bool(count) for count in callers.renewals),
        statistics.median(late) if late else 0.0,
        max(ended),
        len(lost),
        _find_moved_share(feeds) if loses_upstream else 0.0,
    )


def _find_moved_share(flows: int) -> float:
    """Returns the part of flows that a plain hash moves to another upstream.

    The flows are as many callers at loopback ports; one of the upstreams is
    taken out.
    """
    names = [u.id for u in plans.make_upstreams(_SERVICE, _UPSTREAMS, 1)]
    rest = [name for name in names if name != _LEAVING]
    moved = 0
    for port in range(_FIRST_PORT, _FIRST_PORT + flows):
        number = xxhash.xxh64_intdigest(f"127.0.0.1:{port}".encode())
        before = names[number % len(names)]
        moved += rest[number % len(rest)] != before
    return moved / flows


async def _run(feeds: int, runs: int, silent_s: float) -> None:
    print(
        f"{feeds} feeds, ticks each {_TICK_S:.1f} s,"
        f" callers register again after {silent_s:.1f} s of silence,"
        f" load {os.getloadavg()[0]:.0f} of {os.cpu_count()} processors"
    )
    for kind in _CHANGES:
        for _ in range(runs):
            result = await _measure(kind, feeds, silent_s)
            print(_describe(result), flush=True)


def _describe(result: Result) -> str:
    return (
        f"{result.kind}: {result.broken} broken ({result.renewed} registered"
        f" again, {result.lost} lost), {result.late} late,"
        f" median {result.median_s:.2f} s, longest {result.longest_s:.2f} s;"
        f" plain hash moves {result.baseline:.0%}"
    )


@program.command()
def main(feeds: int = 300, runs: int = 1, silent_s: float = 3.0) -> None:
    """Measures all kinds of change.

    Callers that heard nothing for `silent_s` register again.
    """
    trio.run(_run, feeds, runs, silent_s)


if __name__ == "__main__":
    program()
