"""Starts a fault-injecting proxy as a process."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib

from tests.standins import announced
from tests.standins import faults_client


@contextlib.asynccontextmanager
async def run_proxy(seed: int) -> AsyncIterator[faults_client.FaultClient]:
    """Runs a proxy, and gives its client.

    Args:
        seed: Seed of all its faults.

    Raises:
        RuntimeError: It did not start.
    """
    program = announced.run_announced(
        "tests.standins.faults", "--seed", str(seed)
    )
    async with program as port:
        client = await faults_client.FaultClient.connect(int(port))
        try:
            yield client
        finally:
            await client.aclose()
