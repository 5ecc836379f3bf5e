"""Hands the packets of callers to hosts, as the users' fabric does."""

from __future__ import annotations

from collections.abc import Sequence
import zlib

import httpx
import trio

from persimmonhinge.forwarding import flow as flows

# As the users' fabric: a host is asked twice a second and is out of rotation
# after two misses.
_CHECK_S = 0.5
_MOST_MISSES = 2
_ANSWER_S = 0.4


class Entrance:
    """A host as the fabric sees it.

    Attributes:
        address: Where it takes packets.
        page: URL of its readiness page.
        misses: Checks in a row that it did not answer with success.
    """

    def __init__(self, address: flows.Endpoint, page: str) -> None:
        self.address = address
        self.page = page
        self.misses = _MOST_MISSES

    @property
    def in_rotation(self) -> bool:
        """Whether it gets packets."""
        return self.misses < _MOST_MISSES


class Fabric:
    """Chooses a host for each packet by a hash of its flow."""

    def __init__(self, entrances: Sequence[Entrance]) -> None:
        self._entrances = entrances

    def pick(self, flow: flows.FlowId) -> flows.Endpoint:
        """Returns where a packet of a flow goes now."""
        usable = [e for e in self._entrances if e.in_rotation]
        if 2 * len(usable) < len(self._entrances):
            usable = list(self._entrances)
        return usable[zlib.crc32(str(flow).encode()) % len(usable)].address

    async def run(self) -> None:
        """Checks the hosts until cancelled."""
        async with httpx.AsyncClient(timeout=_ANSWER_S) as client:
            async with trio.open_nursery() as nursery:
                for entrance in self._entrances:
                    nursery.start_soon(_check, client, entrance)


async def _check(client: httpx.AsyncClient, entrance: Entrance) -> None:
    while True:
        if await _is_ready(client, entrance.page):
            entrance.misses = 0
        else:
            entrance.misses += 1
        await trio.sleep(_CHECK_S)


async def _is_ready(client: httpx.AsyncClient, page: str) -> bool:
    try:
        return (await client.get(page)).is_success
    except httpx.HTTPError:
        return False
