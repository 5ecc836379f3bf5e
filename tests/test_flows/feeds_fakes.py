"""Runs fake upstreams, hosts and a caller for tests of feeds."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib

import trio

from tests.test_flows import feeds_hosts
from tests.test_flows import feeds_world


@contextlib.asynccontextmanager
async def run_world(
    *names: str, seed: int = 1
) -> AsyncIterator[feeds_world.World]:
    """Runs hosts with a contract in force until the context exits.

    Args:
        *names: Names of the hosts; one host by default.
        seed: Seed of the random choices.
    """
    world = feeds_world.World(seed)
    async with trio.open_nursery() as nursery:
        for name in names or ("h1",):
            host = feeds_hosts.Host(world, name, names)
            await nursery.start(host.run)
        world.set_contract()
        yield world
        nursery.cancel_scope.cancel()
