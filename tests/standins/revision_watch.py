"""Notes each step back of a contract on any host of a deployment."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Iterable
import contextlib

import httpx
import trio

from tests.standins import host_pages

_POLL_S = 0.1


class RevisionWatch:
    """Asks hosts all the while which revisions they hold.

    Attributes:
        steps_back: Host, service, revision before and after.
        seen: Number of answers.
    """

    def __init__(self, pages: host_pages.HostPages) -> None:
        self.steps_back: list[tuple[str, str, int, int]] = []
        self.seen = 0
        self._pages = pages

    async def run(self, host: str) -> None:
        """Follows one host until cancelled, also while it is not there."""
        held: dict[str, int] = {}
        incarnation = 0
        while True:
            await trio.sleep(_POLL_S)
            try:
                status = await self._pages.status(host)
            except httpx.HTTPError:
                continue
            self.seen += 1
            if not status["contracts"] and status["incarnation"] > incarnation:
                # A new process, which has not heard of any contract yet.
                held = {}
            incarnation = status["incarnation"]
            for service, revision in held.items():
                now = status["contracts"].get(service, 0)
                if now < revision:
                    step = (host, service, revision, now)
                    self.steps_back.append(step)
            held = status["contracts"]


@contextlib.asynccontextmanager
async def watch_revisions(
    pages: host_pages.HostPages, hosts: Iterable[str]
) -> AsyncIterator[RevisionWatch]:
    """Watches hosts; fails at the end if a contract stepped back."""
    watch = RevisionWatch(pages)
    async with trio.open_nursery() as nursery:
        for host in hosts:
            nursery.start_soon(watch.run, host)
        yield watch
        nursery.cancel_scope.cancel()
    assert watch.seen, "no host answered"
    assert not watch.steps_back, watch.steps_back
