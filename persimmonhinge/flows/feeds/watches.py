"""Watches contracts and hosts for changes that require feeds to move."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

import trio

from persimmonhinge import ids
from persimmonhinge.contracts import store
from persimmonhinge.flows.feeds import feed as feed_module
from persimmonhinge.flows.feeds import feed_context
from persimmonhinge.flows.feeds import upstream_side

# Number of feeds processed between two checkpoints, which let other tasks run.
FEEDS_PER_CHECKPOINT = 256


class Watches:
    """Moves feeds when a contract or the host's view changes."""

    def __init__(
        self,
        context: feed_context.FeedContext,
        upstreams: upstream_side.UpstreamSide,
        close_service: Callable[[ids.ServiceName], None],
    ) -> None:
        self._context = context
        self._upstreams = upstreams
        self._close_service = close_service
        self._entries: dict[ids.ServiceName, store.ContractEntry] = {}

    async def watch_contracts(self) -> None:
        """Moves feeds from draining or removed upstreams.

        Closes the feeds of services whose contract was deleted.
        """
        changed = self._context.contracts.changed
        version = -1
        while True:
            version = await changed.wait_beyond(version)
            for service in self._find_deleted():
                self._close_service(service)
            services = self._find_changed()
            await self._move_from_upstreams(services)

    async def watch_keepers(self) -> None:
        """Cancels streams whose keeper died, so that their feeds move.

        A link can stay open and silent although its peer has died; the caller
        would receive no further events. The stream is therefore cancelled as
        soon as membership no longer lists the incarnation of the keeper as
        answering.
        """
        view = self._context.view
        previous: set[ids.HostRef] = set()
        version = -1
        while True:
            version = await view.changed.wait_beyond(version)
            present = {m.ref for m in view.all() if m.is_alive}
            if previous - present:
                await self._cancel_streams_of(previous - present)
            previous = present

    def _find_changed(self) -> set[ids.ServiceName]:
        """Returns the services whose entry in the contract store changed.

        An entry changes with the contract and with evacuations.
        """
        entries = {
            ids.ServiceName(e.contract.service): e
            for e in self._context.contracts.entries()
        }
        changed = {
            service
            for service, entry in entries.items()
            if self._entries.get(service) is not entry
        }
        self._entries = entries
        return changed

    def _find_deleted(self) -> list[ids.ServiceName]:
        get = self._context.contracts.get
        return [service for service in self._entries if get(service) is None]

    async def _move_from_upstreams(
        self, services: set[ids.ServiceName]
    ) -> None:
        for number, feed in enumerate(self._context.table):
            if number % FEEDS_PER_CHECKPOINT == 0:
                await trio.lowlevel.checkpoint()
            if feed.flow.service not in services or feed.source is None:
                continue
            if self._upstreams.selector.must_move(feed.source):
                self._upstreams.move(feed)

    async def _cancel_streams_of(self, removed_refs: set[ids.HostRef]) -> None:
        for number, feed in enumerate(self._context.table):
            if number % FEEDS_PER_CHECKPOINT == 0:
                await trio.lowlevel.checkpoint()
            for source in (feed.source, feed.candidate):
                if source is not None and source.keeper_ref in removed_refs:
                    source.scope.cancel()


def find_feeds_at(
    candidates: Iterator[feed_module.Feed],
    service: ids.ServiceName,
    upstream: ids.UpstreamId,
) -> Iterator[feed_module.Feed]:
    """Yields the feeds of a service that one upstream serves."""
    for feed in candidates:
        source = feed.source
        if feed.flow.service != service or source is None:
            continue
        if source.upstream.id == upstream:
            yield feed
