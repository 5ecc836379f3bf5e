"""Watches contracts and hosts for feeds that have to move."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

import trio

from persimmonhinge import ids
from persimmonhinge.contracts import store as stores
from persimmonhinge.flows.feeds import feed as feeds
from persimmonhinge.flows.feeds import surroundings
from persimmonhinge.flows.feeds import upstream_side

# Feeds looked at before other tasks get their turn.
STRIDE = 256


class Watches:
    """Moves feeds when a contract or the view of hosts changes."""

    def __init__(
        self,
        around: surroundings.Surroundings,
        upstreams: upstream_side.UpstreamSide,
        close_service: Callable[[ids.ServiceName], None],
    ) -> None:
        self._around = around
        self._upstreams = upstreams
        self._close_service = close_service
        self._entries: dict[ids.ServiceName, stores.ContractEntry] = {}

    async def watch_contracts(self) -> None:
        """Moves feeds from upstreams that drain or that a contract drops."""
        changed = self._around.contracts.changed
        version = -1
        while True:
            version = await changed.wait_beyond(version)
            for service in self._find_deleted():
                self._close_service(service)
            services = self._find_changed()
            await self._leave_upstreams(services)

    async def watch_keepers(self) -> None:
        """Moves feeds whose keeper died.

        Guards against a link that stays silent although its other end is
        gone: the caller would see a feed that stands still. The stream is
        given up as soon as membership counts the keeper's incarnation out.
        """
        view = self._around.view
        known: set[ids.HostRef] = set()
        version = -1
        while True:
            version = await view.changed.wait_beyond(version)
            present = {m.ref for m in view.all() if m.is_alive}
            if known - present:
                await self._leave_keepers(known - present)
            known = present

    def _find_changed(self) -> set[ids.ServiceName]:
        """Returns the services whose contract or evacuations changed."""
        entries = {
            ids.ServiceName(e.contract.service): e
            for e in self._around.contracts.entries()
        }
        changed = {
            service
            for service, entry in entries.items()
            if self._entries.get(service) is not entry
        }
        self._entries = entries
        return changed

    def _find_deleted(self) -> list[ids.ServiceName]:
        get = self._around.contracts.get
        return [service for service in self._entries if get(service) is None]

    async def _leave_upstreams(self, services: set[ids.ServiceName]) -> None:
        for number, feed in enumerate(self._around.table):
            if number % STRIDE == 0:
                await trio.lowlevel.checkpoint()
            if feed.flow.service not in services or feed.source is None:
                continue
            if self._upstreams.choices.must_move(feed.source):
                self._upstreams.move(feed)

    async def _leave_keepers(self, gone: set[ids.HostRef]) -> None:
        for number, feed in enumerate(self._around.table):
            if number % STRIDE == 0:
                await trio.lowlevel.checkpoint()
            for source in (feed.source, feed.candidate):
                if source is not None and source.keeper_ref in gone:
                    source.scope.cancel()


def pick(
    feeds_: Iterator[feeds.Feed],
    service: ids.ServiceName,
    upstream: ids.UpstreamId,
) -> Iterator[feeds.Feed]:
    """Returns the feeds that one upstream serves."""
    for feed in feeds_:
        source = feed.source
        if feed.flow.service != service or source is None:
            continue
        if source.upstream.id == upstream:
            yield feed
