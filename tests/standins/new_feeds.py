"""Callers that open feeds all the while, and leave them soon."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import random

import trio

from persimmonhinge.client import client as clients
from persimmonhinge.client import feed as feeds
from persimmonhinge.client import settings as client_settings
from tests.standins import processes

_PATH = "/board"
_SETTINGS = client_settings.ClientSettings(
    ack_timeout_s=0.5, retry_s=0.5, silent_s=2.0, leave_s=0.2
)


async def _open_in_turn(
    deployment: processes.Deployment, service: str, seed: int
) -> None:
    address = deployment.layout.service_address(service)
    source = random.Random(seed)
    while True:
        # A socket of its own, thus a flow of its own, for each feed.
        async with (
            clients.open_client(
                address, settings=_SETTINGS, random_source=source
            ) as client,
            client.observe(_PATH, leave=feeds.Leave.DEREGISTER) as feed,
        ):
            await anext(feed)


@contextlib.asynccontextmanager
async def run_new_feeds(
    deployment: processes.Deployment, service: str, callers: int = 3
) -> AsyncIterator[None]:
    """Opens feeds one after the other from each caller."""
    async with trio.open_nursery() as nursery:
        for number in range(callers):
            nursery.start_soon(_open_in_turn, deployment, service, number)
        yield
        nursery.cancel_scope.cancel()
