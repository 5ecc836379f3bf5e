"""The forwarding program: runs its parts from start to stop."""

from __future__ import annotations

import logging
import time

import trio

from persimmonhinge.forwarding import core as cores
from persimmonhinge.forwarding import follower as followers
from persimmonhinge.forwarding import gauges
from persimmonhinge.forwarding import settings as forward_settings
from persimmonhinge.forwarding import wake_up
from persimmonhinge.forwarding.peers import follower_role as following_parts
from persimmonhinge.forwarding.peers import service as peer_services
from persimmonhinge.metrics import host_pages
from persimmonhinge.metrics import page
from persimmonhinge.store import port

logger = logging.getLogger(__name__)

# How much earlier than the platform's limit a planned stop ends, seconds.
_STOP_MARGIN_S = 1.0
# A planned stop ends once no packet has come for so long, seconds.
_QUIET_S = 0.7
_QUIET_CHECK_S = 0.1
_SWEEP_S = 1.0
_READINESS_PATH = "/ready"
_START_CHECK_S = 0.01


class ForwardApplication:
    """One host that forwards packets."""

    def __init__(
        self, core: cores.ForwardCore, store: port.PlatformReader
    ) -> None:
        """Makes the application.

        Args:
            core: The parts that need no event loop.
            store: Client of the store.
        """
        self._core = core
        self._settings = core.settings
        self._stopping = trio.Event()
        self._received_at = 0.0
        self._packets_came = wake_up.WakeUp()
        self._following = following_parts.FollowerRole(
            self._settings.host,
            self._settings.domain,
            core.peers,
            core.knowledge,
            self._settings.current_s,
            time.monotonic(),
        )
        self._peers = peer_services.PeerService(core, self._following)
        self._follower = followers.Follower(
            store,
            core.entries,
            self._following,
            self._settings.gather_s,
        )
        self._pages = page.PageServer(
            *forward_settings.parse_endpoint(self._settings.pages)
        )
        self._metrics = page.PageServer(
            self._settings.own_address, self._settings.metrics_port
        )
        gauges.watch_gauges(core, self._following)
        for server in (self._pages, self._metrics):
            host_pages.HostPages(
                server, core.counts, self.is_ready, _READINESS_PATH
            )

    def stop(self) -> None:
        """Begins a planned stop; a second call changes nothing."""
        self._stopping.set()

    def is_ready(self) -> bool:
        """Tells whether the fabric should send packets here."""
        complete = self._core.knowledge.is_complete()
        return complete and not self._stopping.is_set()

    async def run(self) -> None:
        """Runs until a planned stop has ended."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._receive)
            nursery.start_soon(self._handle_openings)
            nursery.start_soon(self._sweep)
            await nursery.start(self._pages.run)
            await nursery.start(self._peers.run)
            if self._settings.metrics_port:
                nursery.start_soon(self._serve_metrics)
            logger.info("Started.", extra={"domain": self._settings.domain})
            await self._stopping.wait()
            await self._leave()
            nursery.cancel_scope.cancel()
        logger.info("Stopped.")

    async def _serve_metrics(self) -> None:
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self._metrics.run)
        except* OSError as group:
            logger.error(
                "No metrics page.", extra={"error": str(group.exceptions[0])}
            )

    async def _receive(self) -> None:
        # Until this host knows where to, packets stay in their socket.
        while not self._core.knowledge.is_complete():
            await trio.sleep(_START_CHECK_S)
        while True:
            await trio.lowlevel.wait_readable(self._core.socket.socket)
            if self._core.receive_batch():
                self._received_at = trio.current_time()
                self._packets_came.set()

    async def _handle_openings(self) -> None:
        while True:
            due_at = self._core.openings.next_due()
            if due_at is None:
                await self._packets_came.wait()
                continue
            wait_s = due_at - time.monotonic()
            if wait_s > 0:
                await trio.sleep(wait_s)
                continue
            self._core.handle_due_openings()

    async def _leave(self) -> None:
        """Forwards until the fabric has stopped sending packets here."""
        self._following.leaving = True
        logger.info("Planned stop begins.")
        limit_s = self._settings.stop_limit_s - _STOP_MARGIN_S
        self._received_at = trio.current_time()
        with trio.move_on_after(limit_s):
            while trio.current_time() - self._received_at < _QUIET_S:
                await trio.sleep(_QUIET_CHECK_S)

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(_SWEEP_S)
            self._core.knowledge.settle(time.monotonic())
            state = self._core.knowledge.state
            idle_s = self._settings.flow_life_s
            if state is not None:
                idle_s = state.idle_timeout_s
            self._core.tracker.sweep(idle_s)
