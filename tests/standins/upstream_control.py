"""Gives commands to running upstream stand-ins."""

from __future__ import annotations

import json
import random
from typing import Any

from persimmonhinge.client import client as clients
from persimmonhinge.contracts import contract as contracts
from tests.standins import processes


async def set_faults(
    deployment: processes.Deployment, upstream: str, **faults: Any
) -> None:
    """Makes or ends faults; see `upstream_state.Faults`."""
    await _call(deployment, upstream, "fault", json.dumps(faults).encode())


async def drain(deployment: processes.Deployment, upstream: str) -> None:
    """Has an upstream refuse new work and new feeds by itself."""
    await _call(deployment, upstream, "drain", b"")


async def read_stats(
    deployment: processes.Deployment, upstream: str
) -> dict[str, Any]:
    """Returns what an upstream counts; see `UpstreamState.describe`."""
    stats: dict[str, Any] = json.loads(
        await _call(deployment, upstream, "stats", b"")
    )
    return stats


async def count_refusals(
    deployment: processes.Deployment, upstream: str
) -> int:
    """Returns how many requests and feeds an upstream has refused."""
    text = await _call(deployment, upstream, "stats", b"")
    stats = json.loads(text)
    return int(stats["sheds"])


async def _call(
    deployment: processes.Deployment,
    upstream: str,
    command: str,
    body: bytes,
) -> bytes:
    address = deployment.layout.upstream_address(upstream)
    async with clients.open_client(
        (address.host, address.port), random_source=random.Random(upstream)
    ) as client:
        answer = await client.request(
            contracts.Method.POST, f"/standin/{command}", body
        )
    if not answer.successful:
        raise RuntimeError(f"{upstream} refused {command}: {answer}")
    return answer.payload
    return answer.payload
