"""What a caller sees of the replies to its further registrations.

    python -m benchmarks.feed_renewals

Compares three ways to number a reply: always anew, never anew, and anew once
the answer is due for a refresh. The caller follows RFC 7641, 3.4 to the letter.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import enum
import json
from typing import Annotated
from unittest import mock

import trio
import typer

from persimmonhinge.flows.feeds import caller_side
from persimmonhinge.flows.feeds import limits
from tests.support import trios
from tests.test_flows import feeds_fakes
from tests.test_flows import feeds_world

_SETTLED_S = 0.05
_TICK_S = 0.2
# How long after Max-Age a caller refreshes an answer (RFC 7641, 3.3.1).
_LEAST_REFRESH_S = 5.0
_MOST_REFRESH_S = 15.0
Pattern = Callable[[feeds_world.World], Awaitable[None]]
program = typer.Typer(add_completion=False)


class Way(enum.Enum):
    """When the reply to a further registration has a new number.

    ALWAYS: At each registration.
    NEVER: At none; the reply has the number of the notification.
    DUE: Once the answer is due for a refresh.
    """

    ALWAYS = "always"
    NEVER = "never"
    DUE = "due"


def _is_new(way: Way) -> Callable[..., bool]:
    if way is Way.DUE:
        return caller_side.is_due_for_refresh
    return lambda feed, age_s: way is Way.ALWAYS


async def _cross(world: feeds_world.World) -> None:
    """Registers just after a notification that the caller has not read."""
    await trio.sleep(_TICK_S)
    world.publish(world.caller.ticks[-1] + 1)
    await trio.sleep(world.random.uniform(0, _SETTLED_S))
    world.find_home().register()


async def _lose(world: feeds_world.World) -> None:
    """Registers after a notification that was lost on its way."""
    await trio.sleep(_TICK_S)
    world.caller.is_deaf = True
    world.publish(world.caller.ticks[-1] + 1)
    await trio.sleep(_SETTLED_S)
    world.caller.is_deaf = False
    world.find_home().register()
    await trio.sleep(_SETTLED_S)


async def _refresh(world: feeds_world.World) -> None:
    """Registers when the state is stale, as RFC 7641 recommends."""
    late_s = world.random.uniform(_LEAST_REFRESH_S, _MOST_REFRESH_S)
    await trio.sleep(limits.DEFAULT_MAX_AGE_S + late_s)
    world.find_home().register()


async def _refresh_early(world: feeds_world.World) -> None:
    """Registers while the state is fresh."""
    await trio.sleep(limits.DEFAULT_MAX_AGE_S / 2)
    world.find_home().register()


_PATTERNS: dict[str, Pattern] = {
    "crossed": _cross,
    "lost": _lose,
    "stale": _refresh,
    "fresh": _refresh_early,
}


def play(way: Way, pattern: Pattern, rounds: int) -> dict[str, int]:
    """Returns states accepted once and again, and datagrams to the caller."""
    found: dict[str, int] = {}

    async def run() -> None:
        async with feeds_fakes.run_world(seed=rounds) as world:
            world.find_home().register()
            await trio.sleep(_SETTLED_S)
            for _ in range(rounds):
                await pattern(world)
            ticks = world.caller.ticks
            found["states"] = len(set(ticks))
            found["again"] = len(ticks) - len(set(ticks))
            found["datagrams"] = len(world.caller.messages)

    with mock.patch.object(caller_side, "is_due_for_refresh", _is_new(way)):
        trios.run_in_order(rounds, run)
    return found


@program.command()
def compare(
    rounds: Annotated[int, typer.Option(help="registrations a row")] = 200,
) -> None:
    """Prints a row for each way and pattern of registrations."""
    for name, pattern in _PATTERNS.items():
        for way in Way:
            row = {"pattern": name, "way": way.value, "rounds": rounds}
            print(json.dumps(row | play(way, pattern, rounds)), flush=True)


if __name__ == "__main__":
    program()
