"""Membership as a whole, on a network in memory with a mock clock."""

from __future__ import annotations

import trio

from tests.support import trios
from tests.test_membership import hosts

# What the default settings promise, seconds: hosts know of a join, of a
# death and of a healed cut after at most so long.
_JOIN_S = 3.0
_DEATH_S = 5.0
_HEAL_S = 20.0


@trios.clock_test
async def test_hosts_find_each_other_by_seeds() -> None:
    async with trio.open_nursery() as nursery:
        fleet = hosts.Fleet(nursery, seed=1)
        await fleet.start(6)
        await fleet.wait_until(fleet.agrees, _JOIN_S)
        nursery.cancel_scope.cancel()


@trios.clock_test
async def test_a_death_is_seen_by_all() -> None:
    async with trio.open_nursery() as nursery:
        fleet = hosts.Fleet(nursery, seed=2)
        await fleet.start(6)
        await fleet.wait_until(fleet.agrees, _JOIN_S)
        fleet.kill(3)
        await fleet.wait_until(lambda: fleet.agrees(host_3="dead"), _DEATH_S)
        nursery.cancel_scope.cancel()
