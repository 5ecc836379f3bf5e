"""Exchanges reports, entry updates and snapshots with other hosts."""

from __future__ import annotations

from collections.abc import Callable
import logging
import time

import trio

from persimmonhinge import errors
from persimmonhinge.forwarding import auto_reset_event
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import input_source
from persimmonhinge.forwarding import store_entry
from persimmonhinge.forwarding.peers import channel as channel_module
from persimmonhinge.forwarding.peers import codec
from persimmonhinge.forwarding.peers import entry_updates
from persimmonhinge.forwarding.peers import (
    follower_role as follower_role_module,
)
from persimmonhinge.forwarding.peers import message_checks
from persimmonhinge.forwarding.peers import message_limits
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import pulls
from persimmonhinge.forwarding.peers import reporter
from persimmonhinge.forwarding.peers import snapshot_server

logger = logging.getLogger(__name__)

# Maximum size of a received datagram, octets.
_MAX_DATAGRAM_OCTETS = 65_535
# Maximum size of an update datagram, octets.
_MAX_UPDATE_OCTETS = 8192
_SOURCE = input_source.InputSource.PEER_MESSAGE
# Time after an error of the socket until the next attempt, seconds.
_RECEIVE_RETRY_S = 0.05
# Minimum time between two checks for silent hosts, seconds.
_MIN_SILENCE_CHECK_S = 0.1


class PeerService:
    """Runs the tasks that exchange messages with other hosts.

    Reports and updates are sent as datagrams; snapshots are sent over TCP to
    hosts that are behind.
    """

    def __init__(
        self,
        core: core_module.ForwardCore,
        follower_role: follower_role_module.FollowerRole,
    ) -> None:
        """Initializes the service; nothing is sent before `run`.

        Args:
            core: The components of the host that need no event loop.
            follower_role: Whether this host follows the store.
        """
        self._core = core
        self._peers = core.peers
        self._reporter = reporter.Reporter(core, follower_role)
        self._puller = pulls.SnapshotPuller(core)
        self._server = snapshot_server.SnapshotServer(core)
        self._codec: codec.MessageCodec[
            messages.Report | messages.EntryUpdate
        ] = codec.MessageCodec(
            messages.Report | messages.EntryUpdate,
            message_limits.MAX_DATAGRAM_MESSAGE_OCTETS,
        )
        self._pending_updates: list[messages.EntryUpdate] = []
        self._updates_queued = auto_reset_event.AutoResetEvent()
        core.entries.on_changes = self._queue_updates

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Exchanges messages with other hosts until cancelled.

        Raises:
            OSError: A port can't be bound.
        """
        settings = self._core.settings
        now = time.monotonic()
        for seed in settings.seed_addresses():
            self._peers.add(flow.Endpoint(seed, settings.report_port), now)
        bound = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        try:
            await bound.bind((settings.own_address, settings.report_port))
        except OSError as error:
            bound.close()
            logger.error(
                "Can't bind the port of reports.",
                extra={"port": settings.report_port, "error": str(error)},
            )
            raise
        channel = channel_module.PeerChannel(bound, self._core.counts)
        async with trio.open_nursery() as nursery:
            await nursery.start(self._server.run)
            nursery.start_soon(self.receive, bound)
            nursery.start_soon(self._reporter.send_local_reports, channel)
            nursery.start_soon(self._reporter.send_remote_reports, channel)
            nursery.start_soon(self.send_updates, channel)
            nursery.start_soon(self.expire_silent_hosts, _log_silent_host)
            nursery.start_soon(self._puller.run)
            task_status.started()

    def _queue_updates(
        self, base_revision: int, entries: list[store_entry.StoreEntry]
    ) -> None:
        """Queues updates with changes; leaves out entries that can't be sent.

        No upstream has the key of such an entry.
        """
        is_absence_final = self._core.entries.is_absence_final()
        sendable = [e for e in entries if message_checks.is_sendable(e)]
        if entries and not sendable:
            return
        self._pending_updates.extend(
            entry_updates.split_into_updates(
                base_revision, is_absence_final, sendable
            )
        )
        self._updates_queued.set()

    async def send_updates(self, channel: channel_module.PeerChannel) -> None:
        """Sends new updates to the own failure domain until cancelled.

        A host that misses an update, or a desired state that is too long for a
        datagram, sees from a report that it is behind and pulls a snapshot.
        """
        while True:
            await self._updates_queued.wait()
            updates, self._pending_updates = self._pending_updates, []
            local_hosts = self._peers.list_local(self._core.settings.domain)
            for update in updates:
                try:
                    octets = self._encode_update(update)
                except Exception as error:
                    self._core.refusals.record_failure(
                        input_source.InputSource.ENTRY,
                        f"revision {update.revision}",
                        error,
                    )
                    continue
                if len(octets) <= _MAX_UPDATE_OCTETS:
                    await channel.send_all(octets, local_hosts)

    def _encode_update(self, update: messages.EntryUpdate) -> bytes:
        octets = self._codec.encode(update)
        if len(octets) <= _MAX_UPDATE_OCTETS:
            return octets
        state_key = self._core.entries.state_key
        shortened = entry_updates.omit_desired_state(update, state_key)
        return self._codec.encode(shortened)

    async def expire_silent_hosts(
        self, on_silent: Callable[[flow.Endpoint], None]
    ) -> None:
        """Discards the reports of hosts that fall silent, until cancelled.

        Args:
            on_silent: Called with the address of each host that falls silent.
        """
        while True:
            now = time.monotonic()
            due_s = self._peers.find_next_silent_at(now) - now
            await trio.sleep(max(due_s, _MIN_SILENCE_CHECK_S))
            for address in self._peers.expire_silent(time.monotonic()):
                on_silent(address)

    async def receive(self, socket: trio.socket.SocketType) -> None:
        """Handles datagrams of other hosts until cancelled."""
        while True:
            try:
                octets, source = await socket.recvfrom(_MAX_DATAGRAM_OCTETS)
            except OSError as error:
                self._core.counts.add("report_errors_total")
                logger.debug(
                    "Can't receive datagrams from other hosts: %s.", error
                )
                await trio.sleep(_RECEIVE_RETRY_S)
                continue
            self.handle_datagram(octets, flow.Endpoint(*source[:2]))

    def handle_datagram(self, octets: bytes, source: flow.Endpoint) -> None:
        """Handles a datagram from another host.

        Guards against a process that one datagram ends: a datagram that can't
        be decoded, or whose handling fails, is recorded and dropped.
        """
        refusals = self._core.refusals
        try:
            self._handle_message(self._codec.decode(octets), source)
        except errors.MalformedMessageError as error:
            self._core.counts.add("malformed_reports_total")
            refusals.record_refusal(_SOURCE, str(source), error)
        except Exception as error:
            refusals.record_failure(_SOURCE, str(source), error)

    def _handle_message(
        self,
        message: messages.Report | messages.EntryUpdate,
        source: flow.Endpoint,
    ) -> None:
        if isinstance(message, messages.EntryUpdate):
            self._core.entries.apply_update(message, source.host)
        else:
            self._handle_decoded_report(message, source)

    def _handle_decoded_report(
        self, report: messages.Report, source: flow.Endpoint
    ) -> None:
        usable, error = message_checks.omit_unusable_items(report)
        if error is not None:
            self._core.counts.add("malformed_reports_total")
            self._core.refusals.record_refusal(_SOURCE, str(source), error)
        self.handle_report(usable, source)

    def handle_report(
        self, report: messages.Report, address: flow.Endpoint
    ) -> None:
        """Handles a report from another host."""
        now = time.monotonic()
        reached_store = self._peers.reaches_store(address)
        if not self._peers.apply_report(address, report, now):
            return
        if reached_store and not report.reaches_store:
            self._core.entries.record_reported_outage()
        for peer_address in report.peers:
            self._peers.add(peer_address, now)
        entries = self._core.entries
        if (
            report.age_ms >= 0
            and report.revision <= entries.revision
            and report.compute_upstreams_revision()
            <= entries.completeness.upstreams_revision
        ):
            self._core.knowledge.confirm(now - report.age_ms / 1000)


def _log_silent_host(address: flow.Endpoint) -> None:
    logger.info("Peer fell silent.", extra={"peer": str(address)})
