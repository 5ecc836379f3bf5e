"""Starts a fault-injecting proxy as a process."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import pathlib
import subprocess
import sys

import trio

from tests.standins import faults_client

_ROOT = pathlib.Path(__file__).parents[2]


@contextlib.asynccontextmanager
async def run_proxy(seed: int) -> AsyncIterator[faults_client.FaultClient]:
    """Runs a proxy, and gives its client.

    Args:
        seed: Seed of all its faults.

    Raises:
        RuntimeError: It did not start.
    """
    process = await trio.lowlevel.open_process(
        [sys.executable, "-m", "tests.standins.faults", "--seed", str(seed)],
        cwd=_ROOT,
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        line = b""
        while not line.endswith(b"\n"):
            data = await process.stdout.receive_some(100)
            if not data:
                raise RuntimeError("the proxy did not start")
            line += data
        client = await faults_client.FaultClient.connect(int(line))
        try:
            yield client
        finally:
            await client.aclose()
    finally:
        process.terminate()
        with trio.CancelScope(shield=True):
            await process.wait()
