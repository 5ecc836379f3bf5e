"""Hosts that lose power around a change that the store acknowledges."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import functools

import trio

from benchmarks import fleet as fleets
from tests.support import trios

_HOSTS = 12
_DOMAINS = 3
_SEED = 3
_HEARD_S = 6.0
_POLL_S = 0.05
# In which a change must be known, seconds.
_LIMIT_S = 6.0
_DARK_S = 2.0
_TIMED_S = 0.2

# Has a change be acknowledged.
Change = Callable[[fleets.Fleet], None]
# Has hosts lose power around a change.
Way = Callable[[fleets.Fleet, Change], Awaitable[None]]
# Tells whether a host knows the change.
Knows = Callable[[fleets.Fleet, fleets.Host], bool]


class Watcher:
    """Notes what processes believe, at short intervals."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        # Versions of each process, without repetitions.
        self.versions: dict[int, list[int]] = {}

    async def run(self) -> None:
        """Notes until cancelled."""
        while True:
            await trio.sleep(_POLL_S)
            for host in self._fleet.hosts:
                state = host.core.knowledge.state
                seen = self.versions.setdefault(id(host), [])
                if state is not None and state.version not in seen[-1:]:
                    seen.append(state.version)


def list_followers(fleet: fleets.Fleet) -> list[fleets.Host]:
    """Returns the hosts that follow the store, one of each domain."""
    now = trio.current_time()
    return [host for host in fleet.hosts if host.role.should_follow(now)]


async def lose_follower(fleet: fleets.Fleet, change: Change) -> None:
    """Takes the power from a host that follows, as the store acknowledges."""
    lost, *_ = list_followers(fleet)
    change(fleet)
    fleet.stop(lost)


async def lose_follower_before(fleet: fleets.Fleet, change: Change) -> None:
    """The same, a moment before the change is acknowledged."""
    lost, *_ = list_followers(fleet)
    fleet.stop(lost)
    change(fleet)


async def lose_follower_a_moment_later(
    fleet: fleets.Fleet, change: Change
) -> None:
    """The same, once the host may have told some others."""
    lost, *_ = list_followers(fleet)
    change(fleet)
    await trio.sleep(_TIMED_S)
    fleet.stop(lost)


async def lose_two(fleet: fleets.Fleet, change: Change) -> None:
    """Takes the power from the hosts that follow for two domains."""
    lost = list_followers(fleet)[:2]
    change(fleet)
    for host in lost:
        fleet.stop(host)


async def lose_and_restart(fleet: fleets.Fleet, change: Change) -> None:
    """Gives the host its power back."""
    lost, *_ = list_followers(fleet)
    change(fleet)
    fleet.stop(lost)
    await trio.sleep(_DARK_S)
    fleet.restart(lost)


async def lose_while_the_store_returns(
    fleet: fleets.Fleet, change: Change
) -> None:
    """A change right after an outage of the store, then the power goes."""
    fleet.store.go_down()
    await trio.sleep(_DARK_S)
    fleet.store.is_down = False
    lost, *_ = list_followers(fleet)
    change(fleet)
    fleet.stop(lost)
    await trio.sleep(_DARK_S)
    fleet.restart(lost)


async def lose_while_a_domain_is_cut(
    fleet: fleets.Fleet, change: Change
) -> None:
    """A domain that is cut off misses the change, and then comes back."""
    lost = list_followers(fleet)[0]
    fleet.cut_domain = lost.domain
    await trio.sleep(_TIMED_S)
    change(fleet)
    fleet.stop(lost)
    await trio.sleep(_DARK_S)
    fleet.restart(lost)
    await trio.sleep(_DARK_S)
    fleet.cut_domain = ""


async def count_late(lose: Way, change: Change, knows: Knows) -> int:
    """Plays a way of losing hosts; returns the hosts that know too late.

    Raises:
        AssertionError: A process fell back to an earlier version.
    """
    fleet = fleets.Fleet(_HOSTS, _DOMAINS, _SEED)
    watcher = Watcher(fleet)
    async with fleets.run_fleet(fleet) as nursery:
        nursery.start_soon(watcher.run)
        await trio.sleep(_HEARD_S)
        await lose(fleet, change)
        await trio.sleep(_LIMIT_S)
        late = [
            host
            for host in fleet.hosts
            if not host.scope.cancel_called and not knows(fleet, host)
        ]
    for seen in watcher.versions.values():
        assert seen == sorted(seen), seen
    return len(late)


def play(lose: Way, change: Change, knows: Knows) -> int:
    """Plays a way on a mock clock."""
    late: list[int] = []

    async def run() -> None:
        late.append(await count_late(lose, change, knows))

    trios.run_in_order(_SEED, functools.partial(run))
    return late[0]


WAYS: tuple[Way, ...] = (
    lose_follower,
    lose_follower_before,
    lose_follower_a_moment_later,
    lose_two,
    lose_and_restart,
    lose_while_the_store_returns,
    lose_while_a_domain_is_cut,
)
