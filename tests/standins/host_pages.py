"""Reads the HTTP pages of the hosts of a deployment."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import json
from typing import Any

import httpx
import trio

_POLL_S = 0.1
_LIMIT_S = 30.0
_PAGE_LIMIT_S = 2.0

Status = dict[str, Any]


class HostPages:
    """What hosts tell of themselves."""

    def __init__(self, find_url: Callable[[str], str]) -> None:
        """Makes the reader.

        Args:
            find_url: Returns the base URL of the pages of a host.
        """
        self._find_url = find_url
        # One for all: a new one each time costs more than what it asks for.
        self._client = httpx.AsyncClient(
            trust_env=False, verify=False, timeout=_PAGE_LIMIT_S
        )

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._client.aclose()

    async def read(self, host: str, page: str) -> str:
        """Returns a page.

        Raises:
            httpx.HTTPError: The host gave no answer, or one of an error.
        """
        response = await self._client.get(f"{self._find_url(host)}/{page}")
        return response.raise_for_status().text

    async def status(self, host: str) -> Status:
        """Returns the status of a host."""
        status: Status = json.loads(await self.read(host, "status"))
        return status

    async def wait(
        self,
        hosts: Iterable[str],
        is_done: Callable[[Status], bool],
        what: str,
        limit_s: float = _LIMIT_S,
    ) -> None:
        """Waits until the status of each host shows something.

        Raises:
            AssertionError: It does not show within the limit.
        """
        for host in hosts:
            last: Status = {}
            with trio.move_on_after(limit_s):
                while not is_done(last := await self.status(host)):
                    await trio.sleep(_POLL_S)
                continue
            raise AssertionError(f"{host}: not {what}: {json.dumps(last)}")

    async def wait_sees(
        self,
        hosts: Iterable[str],
        alive: Iterable[str],
        limit_s: float = _LIMIT_S,
    ) -> None:
        """Waits until hosts believe exactly a set of hosts alive."""
        wanted = set(alive)
        await self.wait(
            hosts,
            lambda status: find_alive(status) == wanted,
            f"seeing {sorted(wanted)}",
            limit_s,
        )

    async def wait_serves(
        self, hosts: Iterable[str], services: Iterable[str]
    ) -> None:
        """Waits until hosts hold a contract of each service."""
        wanted = set(services)
        await self.wait(
            hosts,
            lambda status: wanted <= set(status["contracts"]),
            f"serving {sorted(wanted)}",
        )

    async def wait_holds(
        self, hosts: Iterable[str], service: str, revision: int
    ) -> None:
        """Waits until hosts hold a revision of a contract."""
        await self.wait(
            hosts,
            lambda status: status["contracts"].get(service) == revision,
            f"holding {service} at {revision}",
        )

    async def count(self, host: str, name: str) -> int:
        """Returns a counter of a host, the sum over all its labels."""
        counts = (await self.status(host))["counts"]
        return sum(
            value
            for key, value in counts.items()
            if key == name or key.startswith(name + "{")
        )


def find_alive(status: Status) -> set[str]:
    """Returns the hosts that a host believes alive."""
    return {m["host"] for m in status["members"] if m["state"] == "alive"}


def find_incarnations(status: Status) -> dict[str, int]:
    """Returns the incarnation of each host as a host knows it."""
    return {m["host"]: m["incarnation"] for m in status["members"]}
