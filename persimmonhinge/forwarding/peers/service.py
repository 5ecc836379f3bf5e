"""Tells other hosts what this one sees, and hears them."""

from __future__ import annotations

from collections.abc import Callable
import logging
import time

import msgspec
import trio

from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding import entry_line
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import wake_up
from persimmonhinge.forwarding.peers import channel as channel_module
from persimmonhinge.forwarding.peers import codec
from persimmonhinge.forwarding.peers import entry_updates
from persimmonhinge.forwarding.peers import (
    follower_role as follower_role_module,
)
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import pulls
from persimmonhinge.forwarding.peers import reporter
from persimmonhinge.forwarding.peers import snapshot_server

logger = logging.getLogger(__name__)

_MAX_DATAGRAM_OCTETS = 65_535
# Largest datagram of news, octets.
_MAX_UPDATE_OCTETS = 8192
# Least time between two looks for silent hosts, seconds.
_MIN_SILENCE_CHECK_S = 0.1


class PeerService:
    """Reports by datagrams; snapshots by streams for hosts that are behind."""

    def __init__(
        self,
        core: core_module.ForwardCore,
        follower_role: follower_role_module.FollowerRole,
    ) -> None:
        """Makes the part; nothing is sent before `run`.

        Args:
            core: The parts of the host that need no event loop.
            following: Whether this host follows the store.
        """
        self._core = core
        self._peers = core.peers
        self._reporter = reporter.Reporter(core, follower_role)
        self._puller = pulls.SnapshotPuller(core)
        self._server = snapshot_server.SnapshotServer(core)
        self._codec: codec.MessageCodec[
            messages.Report | messages.EntryUpdate
        ] = codec.MessageCodec(messages.Report | messages.EntryUpdate)
        self._pending_updates: list[messages.EntryUpdate] = []
        self._updates_queued = wake_up.WakeUp()
        core.entries.tell = self._queue_updates

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Tells and hears until cancelled.

        Raises:
            OSError: A port can't be had.
        """
        settings = self._core.settings
        now = time.monotonic()
        for seed in settings.seed_addresses():
            self._peers.add(flow.Endpoint(seed, settings.report_port), now)
        bound = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await bound.bind((settings.own_address, settings.report_port))
        channel = channel_module.PeerChannel(bound, self._core.counts)
        async with trio.open_nursery() as nursery:
            await nursery.start(self._server.run)
            nursery.start_soon(self._receive, bound)
            nursery.start_soon(self._reporter.send_local_reports, channel)
            nursery.start_soon(self._reporter.send_remote_reports, channel)
            nursery.start_soon(self.send_updates, channel)
            nursery.start_soon(self.expire_silent_hosts, _log_silent_host)
            nursery.start_soon(self._puller.run)
            task_status.started()

    def _queue_updates(
        self, base_revision: int, entries: list[entry_line.EntryLine]
    ) -> None:
        settled = self._core.entries.is_settled()
        self._pending_updates.extend(
            entry_updates.split_into_updates(base_revision, settled, entries)
        )
        self._updates_queued.set()

    async def send_updates(self, channel: channel_module.PeerChannel) -> None:
        """Tells the hosts of the own failure domain what is new, at once.

        News that are lost, and a desired state too long for a datagram, are
        pulled by those that see from a report that they are behind.
        """
        state_key = self._core.entries.state_key
        while True:
            await self._updates_queued.wait()
            untold, self._pending_updates = self._pending_updates, []
            near = self._peers.list_local(self._core.settings.domain)
            for news in untold:
                octets = self._codec.encode(news)
                if len(octets) > _MAX_UPDATE_OCTETS:
                    news = entry_updates.omit_desired_state(news, state_key)
                    octets = self._codec.encode(news)
                if len(octets) <= _MAX_UPDATE_OCTETS:
                    await channel.send_all(octets, near)

    async def expire_silent_hosts(
        self, on_silent: Callable[[flow.Endpoint], None]
    ) -> None:
        """Drops what hosts told that fell silent, until cancelled.

        Args:
            tell: Called with each of them.
        """
        while True:
            now = time.monotonic()
            due_s = self._peers.find_next_silent_at(now) - now
            await trio.sleep(max(due_s, _MIN_SILENCE_CHECK_S))
            for silent in self._peers.expire_silent(time.monotonic()):
                on_silent(silent)

    async def _receive(self, socket: trio.socket.SocketType) -> None:
        while True:
            try:
                octets, source = await socket.recvfrom(_MAX_DATAGRAM_OCTETS)
            except OSError as error:
                self._core.counts.add("report_errors_total")
                logger.debug("Can't receive reports: %s.", error)
                continue
            self.handle_datagram(octets, flow.Endpoint(*source[:2]))

    def handle_datagram(self, octets: bytes, source: flow.Endpoint) -> None:
        """Takes in a datagram of another host."""
        try:
            message = self._codec.decode(octets)
        except msgspec.MsgspecError as error:
            self._core.counts.add("malformed_reports_total")
            logger.warning("Dropped a report: %s.", error)
            return
        if isinstance(message, messages.EntryUpdate):
            self._core.entries.take_news(message, source.host)
        else:
            self.handle_report(message, source)

    def handle_report(
        self, report: messages.Report, address: flow.Endpoint
    ) -> None:
        """Takes in a report of another host."""
        now = time.monotonic()
        reached_store = self._peers.reaches_store(address)
        if not self._peers.apply_report(address, report, now):
            return
        if reached_store and not report.reaches_store:
            self._core.entries.doubt()
        for named in report.peers:
            self._peers.add(named, now)
        entries = self._core.entries
        if (
            report.age_ms >= 0
            and report.revision <= entries.revision
            and report.compute_upstreams_revision()
            <= entries.completeness.upstreams_revision
        ):
            self._core.knowledge.confirm(now - report.age_ms / 1000)


def _log_silent_host(silent: flow.Endpoint) -> None:
    logger.info("Host is silent.", extra={"peer": str(silent)})
