"""Lifecycle of the forwarding program, from its start to a planned stop."""

from __future__ import annotations

import logging
import socket
import time

import trio

from persimmonhinge import ids
from persimmonhinge.forwarding import auto_reset_event
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import follower
from persimmonhinge.forwarding import free_ports
from persimmonhinge.forwarding import gauges
from persimmonhinge.forwarding import page_requests
from persimmonhinge.forwarding import room_page
from persimmonhinge.forwarding import settings
from persimmonhinge.forwarding.peers import follower_role
from persimmonhinge.forwarding.peers import service
from persimmonhinge.metrics import host_pages
from persimmonhinge.metrics import page
from persimmonhinge.store import port

logger = logging.getLogger(__name__)

# A planned stop ends at least this long before the platform sends SIGKILL,
# seconds.
_STOP_MARGIN_S = 1.0
# A planned stop ends once no packet has arrived for this long, seconds.
_STOP_IDLE_S = 0.7
_STOP_IDLE_CHECK_INTERVAL_S = 0.1
_SWEEP_INTERVAL_S = 1.0
# Time between two batches while all reads of the packet socket fail, seconds.
_RECEIVE_RETRY_INTERVAL_S = 0.1
_READINESS_PATH = "/ready"
_READINESS_CHECK_INTERVAL_S = 0.01
# Time between two releases of waiting flows, seconds. At most 20 ms are
# allowed; half of it leaves time for other tasks.
_RELEASE_INTERVAL_S = 0.01


class ForwardApplication:
    """The tasks and servers of one host that forwards packets."""

    def __init__(
        self, core: core_module.ForwardCore, store: port.PlatformReader
    ) -> None:
        """Creates the application.

        Args:
            core: The parts of the host that need no event loop.
            store: Client of the store.
        """
        self._core = core
        self._settings = core.settings
        self._stopping = trio.Event()
        self._last_received_at = 0.0
        self._packets_received = auto_reset_event.AutoResetEvent()
        self._flows_wait = auto_reset_event.AutoResetEvent()
        self._following = follower_role.FollowerRole(
            self._settings.host,
            self._settings.domain,
            core.peers,
            core.knowledge,
            self._settings.max_current_age_s,
            time.monotonic(),
        )
        self._peer_service = service.PeerService(core, self._following)
        self._follower = follower.Follower(
            store,
            core.entries,
            self._following,
            self._settings.coalesce_s,
            core.refusals,
        )
        requests = page_requests.PageRequests(core.refusals)
        self._page_server = page.PageServer(
            *settings.parse_endpoint(self._settings.pages), requests
        )
        self._metrics_server = page.PageServer(
            self._settings.own_address, self._settings.metrics_port, requests
        )
        gauges.register_gauges(core, self._following)
        for server in (self._page_server, self._metrics_server):
            host_pages.HostPages(
                server, core.counts, self.is_ready, _READINESS_PATH
            )
            room_page.RoomPage(
                server,
                ids.HostId(self._settings.host),
                ids.DomainId(self._settings.domain),
                core.overload,
            )

    def stop(self) -> None:
        """Starts a planned stop; further calls have no effect."""
        self._stopping.set()

    def is_ready(self) -> bool:
        """Returns whether the fabric should send packets to this host."""
        complete = self._core.knowledge.is_complete()
        return complete and not self._stopping.is_set()

    async def run(self) -> None:
        """Runs all tasks of the host until a planned stop is complete."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._receive_packets)
            nursery.start_soon(self._handle_openings)
            nursery.start_soon(self._release_waiting_flows)
            nursery.start_soon(self._sweep_periodically)
            await self._wait_for_ports()
            await nursery.start(self._page_server.run)
            await nursery.start(self._peer_service.run)
            if self._settings.metrics_port:
                nursery.start_soon(self._serve_metrics)
            logger.info("Started.", extra={"domain": self._settings.domain})
            await self._stopping.wait()
            await self._forward_until_idle()
            nursery.cancel_scope.cancel()
        logger.info("Stopped.")

    async def _wait_for_ports(self) -> None:
        """Waits for the ports that a host can't do without.

        Raises:
            OSError: Another process holds one of them.
        """
        address = self._settings.own_address
        pages = settings.parse_endpoint(self._settings.pages)
        reports = flow.Endpoint(address, self._settings.report_port)
        snapshots = flow.Endpoint(address, self._settings.snapshot_port)
        for use, endpoint, kind in (
            ("pages", pages, socket.SOCK_STREAM),
            ("reports", reports, socket.SOCK_DGRAM),
            ("snapshots", snapshots, socket.SOCK_STREAM),
        ):
            await free_ports.wait_until_free(use, endpoint, kind)

    async def _serve_metrics(self) -> None:
        endpoint = flow.Endpoint(
            self._settings.own_address, self._settings.metrics_port
        )
        try:
            async with trio.open_nursery() as nursery:
                await free_ports.wait_until_free(
                    "metrics", endpoint, socket.SOCK_STREAM
                )
                await nursery.start(self._metrics_server.run)
        except* OSError as group:
            logger.error(
                "Can't serve the metrics page.",
                extra={"error": str(group.exceptions[0])},
            )

    async def _receive_packets(self) -> None:
        # Packets stay in the socket buffer until the host has a desired state
        # and at least one upstream.
        while not self._core.knowledge.is_complete():
            await trio.sleep(_READINESS_CHECK_INTERVAL_S)
        while True:
            await trio.lowlevel.wait_readable(self._core.socket.socket)
            count = self._core.receive_batch()
            if self._core.socket.is_failing:
                # A socket with an error is ready to be read at any time.
                await trio.sleep(_RECEIVE_RETRY_INTERVAL_S)
            elif count:
                self._last_received_at = trio.current_time()
                self._packets_received.set()
                self._wake_release()

    async def _handle_openings(self) -> None:
        while True:
            due_at = self._core.openings.get_next_due_at()
            if due_at is None:
                await self._packets_received.wait()
                continue
            wait_s = due_at - time.monotonic()
            if wait_s > 0:
                await trio.sleep(wait_s)
                continue
            # It reads packets, too, and new flows among them may have to wait.
            self._core.handle_due_openings()
            self._wake_release()
            await trio.lowlevel.checkpoint()

    def _wake_release(self) -> None:
        if self._core.forwarder.has_waiting_flows:
            self._flows_wait.set()

    async def _release_waiting_flows(self) -> None:
        while True:
            while self._core.forwarder.has_waiting_flows:
                self._core.forwarder.release_waiting_flows()
                await trio.sleep(_RELEASE_INTERVAL_S)
            await self._flows_wait.wait()

    async def _forward_until_idle(self) -> None:
        """Keeps forwarding until packets stop arriving or the stop limit nears.

        The host is no longer ready, so the fabric stops sending packets to it.
        """
        self._following.leaving = True
        logger.info("Planned stop started.")
        self._core.forwarder.place_waiting_flows()
        limit_s = max(self._settings.stop_limit_s - _STOP_MARGIN_S, 0.0)
        self._last_received_at = trio.current_time()
        with trio.move_on_after(limit_s):
            while trio.current_time() - self._last_received_at < _STOP_IDLE_S:
                await trio.sleep(_STOP_IDLE_CHECK_INTERVAL_S)

    async def _sweep_periodically(self) -> None:
        while True:
            await trio.sleep(_SWEEP_INTERVAL_S)
            self._core.knowledge.end_missing_upstreams(time.monotonic())
            state = self._core.knowledge.state
            idle_s = self._settings.flow_life_s
            if state is not None:
                idle_s = state.idle_timeout_s
            for _ in self._core.tracker.remove_expired_in_slices(idle_s):
                await trio.lowlevel.checkpoint()
            self._core.counts.limit_series()
