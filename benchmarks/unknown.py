"""How often a home's death leaves an outcome unknown.

Runs real processes twice, with recovery by asking the keepers and without.
Kills a host again and again while callers that it is home of have requests
under way and others keep the system busy, repeats their datagrams to all
hosts, and compares what they were told with the upstreams' logs. Prints the
shares as a table and, as the last line, as JSON.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import random

import trio

from persimmonhinge.settings import entry
from tests.standins import load_callers
from tests.standins import once_scene

_HOSTS = 6
_CALLERS = 10
_RUN_MS = 200
# The kill comes from before the first run begins to after the last ended.
_LONGEST_WAIT_S = 0.5
_BACKGROUND_CALLERS = 12


@dataclasses.dataclass
class Shares:
    """What callers of the killed homes were told.

    Attributes:
        recovery: Whether keepers were asked.
        kills: Homes that were killed.
        requests: Requests under way or just answered at the kills.
        answered: Those that got the upstream's answer.
        refused: Those that were truthfully refused as not run.
        unknown: The others.
        unknown_ran: Unknown ones that had run.
        background: Requests of other callers meanwhile.
        background_unknown: Those of them whose outcome was unknown.
    """

    recovery: bool
    kills: int = 0
    requests: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    unknown_ran: int = 0
    background: int = 0
    background_unknown: int = 0


async def measure(recovery: bool, kills: int, seed: int) -> Shares:
    """Kills homes and returns what became of their callers' requests."""
    flows = entry.FlowSettings(recovery=recovery)
    plan = once_scene.make_plan(_RUN_MS, _HOSTS, seed, flows)
    shares = Shares(recovery)
    source = random.Random(seed)
    async with once_scene.run_scene(plan) as scene:
        background = load_callers.run_callers(
            scene.deployment, once_scene.SERVICE, _BACKGROUND_CALLERS
        )
        async with background as others:
            for number in range(kills):
                await _kill_once(scene, source, number, shares)
        shares.background = len(others.records)
        shares.background_unknown = others.count(once_scene.Outcome.UNKNOWN)
    return shares


async def _kill_once(
    scene: once_scene.OnceScene,
    source: random.Random,
    number: int,
    shares: Shares,
) -> None:
    deployment = scene.deployment
    victim = source.choice(deployment.names())
    scene.callers.clear()
    callers = await scene.open_callers(_CALLERS, victim)
    await scene.reserve_all(callers, victim, prefix=f"kill-{number}")
    await trio.sleep(source.uniform(0, _LONGEST_WAIT_S))
    await deployment.kill_host(victim)
    for caller in callers:
        # A caller that has its answer asks no more; count it as if it had
        # lost the answer on the way.
        caller.requests[0].answers.clear()
    tally = await scene.settle(retry=False, strict=False)
    _add(shares, tally)
    await deployment.start_host(victim)
    names = deployment.names()
    await deployment.pages.wait_sees(names, names)


def _add(shares: Shares, tally: once_scene.Tally) -> None:
    shares.kills += 1
    shares.requests += tally.answered + tally.refused + tally.unknown
    shares.answered += tally.answered
    shares.refused += tally.refused
    shares.unknown += tally.unknown
    shares.unknown_ran += tally.ran - tally.answered


async def run(kills: int, seed: int) -> None:
    """Measures both ways and prints the shares."""
    results = [await measure(on, kills, seed) for on in (True, False)]
    print("recovery kills requests answered refused unknown (ran)  others")
    for found in results:
        print(
            f"{'on' if found.recovery else 'off':8} {found.kills:5} "
            f"{found.requests:8} {found.answered / found.requests:8.1%} "
            f"{found.refused / found.requests:7.1%} "
            f"{found.unknown / found.requests:7.1%} ({found.unknown_ran:3})  "
            f"{found.background_unknown} unknown of {found.background}"
        )
    print(json.dumps([dataclasses.asdict(found) for found in results]))


def main() -> None:
    """Runs the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kills", type=int, default=12)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    trio.run(run, options.kills, options.seed)


if __name__ == "__main__":
    main()
