"""The entry program: runs the parts of a host, from start to stop."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import logging

import trio

from persimmonhinge import parts as host_parts
from persimmonhinge.settings import entry as settings_entry

logger = logging.getLogger(__name__)

# A planned stop ends once no datagram has come for so long.
_QUIET_S = 1.0
_QUIET_CHECK_S = 0.1
_READY_CHECK_S = 0.05


Leave = Callable[[], Awaitable[None]]


class EntryApplication:
    """One entry host, from start to planned stop.

    Attributes:
        parts: The parts of the host.
    """

    def __init__(self, settings: settings_entry.EntrySettings) -> None:
        self._settings = settings
        self._stopping = trio.Event()
        self.parts = host_parts.make_parts(settings)

    def stop(self) -> None:
        """Begins a planned stop; a second call changes nothing."""
        self._stopping.set()

    def reload(self) -> None:
        """Reads the files of the credential again.

        Raises:
            SettingsError: They can't be used; the former stay in use.
        """
        self.parts.network.reload_credential()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the host until a planned stop has ended."""
        async with trio.open_nursery() as nursery:
            await self._start(nursery)
            task_status.started()
            await self._stopping.wait()
            await self._leave()
            await self.parts.network.aclose()
            nursery.cancel_scope.cancel()
        logger.info("Stopped.")

    async def _start(self, nursery: trio.Nursery) -> None:
        parts = self.parts
        await nursery.start(parts.network.run)
        await nursery.start(parts.membership.run)
        await nursery.start(parts.control.run)
        await nursery.start(parts.keepers.run)
        await nursery.start(parts.feeds.run)
        await nursery.start(parts.home.run)
        nursery.start_soon(parts.chooser.run)
        nursery.start_soon(parts.front.run, parts.router.receive)
        await nursery.start(parts.pages.run)
        nursery.start_soon(self._follow_drains)
        logger.info("Started in domain %s.", self._settings.domain)

    async def _leave(self) -> None:
        logger.info("Planned stop begins.")
        with trio.move_on_after(self._settings.stop_limit_s) as scope:
            # Peers learn of it first, so that no new role comes here while
            # the present ones are handed over.
            await self.parts.membership.leave()
            async with trio.open_nursery() as nursery:
                for name, leave in self._list_leaves():
                    nursery.start_soon(_run_logged, name, leave)
            await self._wait_until_quiet()
        if scope.cancelled_caught:
            logger.warning(
                "Planned stop reached its limit with %d requests left.",
                self.parts.home.count_in_progress(),
            )

    def _list_leaves(self) -> list[tuple[str, Leave]]:
        return [
            ("Notice to the platform", self.parts.control.announce_leaving),
            ("Hand-over of upstreams", self.parts.keepers.leave),
            ("Hand-over of feeds", self.parts.feeds.leave),
            ("Requests in progress", self.parts.home.leave),
        ]

    async def _wait_until_quiet(self) -> None:
        """Relays until the fabric has stopped sending packets here."""
        name = "datagrams_received_total"
        seen = self.parts.counts.sum(name)
        quiet_since = trio.current_time()
        while trio.current_time() - quiet_since < _QUIET_S:
            await trio.sleep(_QUIET_CHECK_S)
            now = self.parts.counts.sum(name)
            if now != seen:
                seen = now
                quiet_since = trio.current_time()

    def is_ready(self) -> bool:
        """Tells whether this host knows what it needs to take roles."""
        keys = self.parts.keys
        return self.parts.control.ready() and keys.ring.current() is not None

    async def _follow_drains(self) -> None:
        """Takes roles once it is ready, unless the operators drain it.

        Guards against a host that is home or keeper before it knows any
        contract: callers that the others relay to it would be refused, or
        told that an outcome is unknown, although the service runs. It is a
        member that takes no roles until it has synchronized.
        """
        while not self.is_ready():
            await trio.sleep(_READY_CHECK_S)
        drained = True
        while True:
            version = self.parts.drains.changed.version
            wanted = self.parts.drains.is_drained(self.parts.view.me)
            if wanted and not drained:
                logger.info("Operators drain this host.")
                await self.parts.membership.leave()
            if drained and not wanted:
                logger.info("Takes roles.")
                await self.parts.membership.rejoin()
            drained = wanted
            await self.parts.drains.changed.wait_beyond(version)


async def _run_logged(name: str, leave: Leave) -> None:
    began = trio.current_time()
    await leave()
    logger.info("%s: done after %.1f s.", name, trio.current_time() - began)
