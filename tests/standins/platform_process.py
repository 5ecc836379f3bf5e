"""Starts the platform's stand-in as a process, for tests."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
from typing import Any

import httpx

from persimmonhinge.settings import entry
from tests.standins import announced

# A command of a test is no part of what is tested: on a machine that is busy
# with other work it may wait, seconds.
_COMMAND_LIMIT_S = 60.0


class PlatformProcess:
    """A stand-in that runs.

    Attributes:
        url: Base URL of its gateway.
    """

    def __init__(self, address: str) -> None:
        self.url = f"http://{address}"

    def settings(self, timeout_s: float = 2.0) -> entry.PlatformSettings:
        """Returns settings of a client."""
        return entry.PlatformSettings(
            endpoints=(self.url,), timeout_s=timeout_s, retry_interval_s=0.05
        )

    async def set_faults(self, **faults: Any) -> None:
        """Makes or ends faults; see `platform_faults.FaultsRequest`."""
        await self._call("POST", "faults", faults)

    async def get_counts(self) -> dict[str, int]:
        """Returns the calls so far, by kind."""
        return await self._call("GET", "counts", None)

    async def take_copy(self) -> None:
        """Keeps a copy of all that it holds."""
        await self._call("POST", "snapshot", {})

    async def restore(self) -> None:
        """Goes back to the copy."""
        await self._call("POST", "restore", {})

    async def compact(self, revision: int | None = None) -> None:
        """Forgets changes up to a revision; None for all so far."""
        await self._call("POST", "compact", {"revision": revision})

    async def put(self, key: str, value: str | None) -> None:
        """Writes a key as operators and upstreams do; None deletes it."""
        await self._call("POST", "put", {"key": key, "value": value})

    async def _call(self, method: str, name: str, body: Any) -> dict[str, Any]:
        async with httpx.AsyncClient(timeout=_COMMAND_LIMIT_S) as client:
            url = f"{self.url}/standin/{name}"
            response = await client.request(method, url, json=body)
        return response.raise_for_status().json()


@contextlib.asynccontextmanager
async def run_platform() -> AsyncIterator[PlatformProcess]:
    """Runs a stand-in at a port of the kernel's choice."""
    async with announced.run_announced("tests.standins.platform") as line:
        yield PlatformProcess(line.split()[-1])
