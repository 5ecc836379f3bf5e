"""Assembles a host's keeper and registers its message handlers."""

from __future__ import annotations

import functools
import logging
import random

import msgspec
import trio

from persimmonhinge import changes
from persimmonhinge import ids
from persimmonhinge.coap import transmission
from persimmonhinge.contracts import store
from persimmonhinge.membership import member
from persimmonhinge.membership import placement as placement_module
from persimmonhinge.membership import view as view_module
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.peers import network as network_module
from persimmonhinge.peers.messages import feeds
from persimmonhinge.peers.messages import handover
from persimmonhinge.peers.messages import work
from persimmonhinge.settings import entry
from persimmonhinge.upstreams import context as context_module
from persimmonhinge.upstreams import dispatch_handler as dispatch_handler_module
from persimmonhinge.upstreams import event_budget
from persimmonhinge.upstreams import executed_table
from persimmonhinge.upstreams import feed_server
from persimmonhinge.upstreams import former_keepers
from persimmonhinge.upstreams import (
    handover_receiver as handover_receiver_module,
)
from persimmonhinge.upstreams import handover_sender as handover_sender_module
from persimmonhinge.upstreams import orphaned_feeds
from persimmonhinge.upstreams import recover_handler as recover_handler_module
from persimmonhinge.upstreams import roles
from persimmonhinge.upstreams import udp
from persimmonhinge.upstreams import upstream_socket
from persimmonhinge.upstreams import upstreams as upstreams_module
from persimmonhinge.upstreams import uptimes

logger = logging.getLogger(__name__)

# Minimum time between two refreshes of all upstreams. Views and contracts
# change in bursts, and one refresh covers a whole burst.
_REFRESH_INTERVAL_S = 0.05
_EXPIRY_INTERVAL_S = 1.0
_SWEEP_INTERVAL_S = 0.05


class Keeper:
    """Runs requests and feeds at the upstreams that this host keeps."""

    def __init__(
        self,
        settings: entry.EntrySettings,
        view: view_module.View,
        placement: placement_module.Placement,
        contracts: store.ContractStore,
        network: network_module.PeerNetwork,
        counts: counts_module.Counts,
        open_socket: upstream_socket.SocketOpener | None = None,
        timers: transmission.Transmission | None = None,
    ) -> None:
        """Initializes the keeper of a host.

        Args:
            settings: Settings of the host.
            view: The host's view of the members.
            placement: Assigns the role of keeper to hosts.
            contracts: Contracts that the host has received.
            network: Carries calls from and to other hosts.
            counts: Metrics of the host.
            open_socket: Opens a socket to an upstream; a UDP socket if None.
            timers: Retransmission timers; those of RFC 7252 if None.
        """
        self._view = view
        self._placement = placement
        self._contracts = contracts
        self._network = network
        self._counts = counts
        self._open_socket = open_socket or functools.partial(
            udp.UdpSocket, settings.upstream_address, counts=counts
        )
        self._timers = timers or transmission.Transmission()
        self._roles = roles.Roles(view, placement, contracts)
        self._executed = executed_table.ExecutedTable(
            uptimes.Uptimes(trio.current_time)
        )
        self._former_keepers = former_keepers.FormerKeepers(trio.current_time)
        self._upstreams: upstreams_module.KeptUpstreams | None = None
        self._handover_sender: handover_sender_module.HandoverSender | None = (
            None
        )
        counts.watch("keeper_executed_rows", lambda: len(self._executed))
        for name in ("busy", "queued", "feeds"):
            counts.watch(
                f"keeper_{name}", functools.partial(self._sum_loads, name)
            )

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves requests of homes and other hosts until it is cancelled."""
        async with trio.open_nursery() as nursery:
            context = self._make_context(nursery)
            upstreams = upstreams_module.KeptUpstreams(context, self._roles)
            handover_sender = self._make_handover_sender(upstreams)
            self._upstreams = upstreams
            self._handover_sender = handover_sender
            self._register_handlers(context, upstreams)
            for changed in (self._view.changed, self._contracts.changed):
                # The version is read before the first refresh. Otherwise a
                # change between that refresh and the start of the task would
                # be missed.
                version = changed.version
                nursery.start_soon(
                    _follow_changes,
                    changed,
                    version,
                    upstreams,
                    handover_sender,
                    nursery,
                )
            upstreams.refresh()
            nursery.start_soon(self._sweep, upstreams)
            task_status.started()

    def record_incarnation(
        self, former: member.Member, present: member.Member
    ) -> None:
        """Records that this host has changed to a new incarnation.

        The process and its table of executed requests are still the same,
        so the host continues to answer recovery queries for the former
        incarnation.
        """
        logger.info(
            "Answering recovery queries for former incarnation %08x of this "
            "host.",
            former.ref,
        )
        self._former_keepers.add_own_incarnation(former.ref)

    async def leave(self) -> None:
        """Hands over the table of executed requests and waits for running ones.

        Must be called after this host's own view shows it as leaving, so
        that no new request starts. Returns only after all running requests
        have finished and all feeds are closed.
        """
        if self._handover_sender is not None:
            await self._handover_sender.hand_over()

    def list_loads(self) -> list[work.UpstreamLoad]:
        """Returns the loads of kept upstreams, named `service/upstream`."""
        if self._upstreams is None:
            return []
        return [
            _qualify_upstream(kept.target.key, kept.read_load())
            for kept in self._upstreams.list_kept()
        ]

    def _sum_loads(self, field: str) -> int:
        return sum(getattr(load, field) for load in self.list_loads())

    def _make_context(
        self, nursery: trio.Nursery
    ) -> context_module.KeeperContext:
        me = self._view.self_member
        return context_module.KeeperContext(
            self._contracts,
            self._counts,
            random.Random(f"{me.host}/{me.incarnation}"),
            self._open_socket,
            self._timers,
            nursery,
            event_budget.EventBudget(self._counts),
        )

    def _register_handlers(
        self,
        context: context_module.KeeperContext,
        upstreams: upstreams_module.KeptUpstreams,
    ) -> None:
        dispatch_handler = dispatch_handler_module.DispatchHandler(
            self._roles, upstreams, self._executed, self._counts
        )
        recover_handler = recover_handler_module.RecoverHandler(
            self._view, self._executed, self._former_keepers, self._counts
        )
        handover_receiver = handover_receiver_module.HandoverReceiver(
            self._roles,
            upstreams,
            self._executed,
            self._former_keepers,
            self._counts,
        )
        orphans = orphaned_feeds.OrphanedFeeds(
            context, self._view, self._placement, self._network
        )
        feeding = feed_server.FeedServer(
            context, self._view, self._roles, upstreams, orphans
        )
        self._network.handle(work.Dispatch, dispatch_handler.handle)
        self._network.handle(work.Recover, recover_handler.handle)
        self._network.handle(work.LoadQuery, self._report_loads)
        self._network.handle(handover.KeeperHandover, handover_receiver.handle)
        self._network.handle(feeds.FeedOpen, feeding.handle)
        self._network.handle(feeds.FeedLeft, orphans.handle_feed_left)

    def _make_handover_sender(
        self, upstreams: upstreams_module.KeptUpstreams
    ) -> handover_sender_module.HandoverSender:
        return handover_sender_module.HandoverSender(
            self._view,
            self._roles,
            upstreams,
            self._executed,
            self._former_keepers,
            self._network,
        )

    async def _report_loads(
        self, caller: network_module.Caller, query: work.LoadQuery
    ) -> work.LoadReport:
        return work.LoadReport(tuple(self.list_loads()))

    async def _sweep(self, upstreams: upstreams_module.KeptUpstreams) -> None:
        """Periodically fills slots and removes idle and expired entries."""
        next_expiry_at = trio.current_time()
        while True:
            await trio.sleep(_SWEEP_INTERVAL_S)
            upstreams.run_periodic_tasks()
            if trio.current_time() >= next_expiry_at:
                self._executed.remove_all_expired()
                self._former_keepers.remove_expired()
                next_expiry_at = trio.current_time() + _EXPIRY_INTERVAL_S


async def _follow_changes(
    changed: changes.ChangeSignal,
    version: int,
    upstreams: upstreams_module.KeptUpstreams,
    handover_sender: handover_sender_module.HandoverSender,
    nursery: trio.Nursery,
) -> None:
    while True:
        version = await changed.wait_beyond(version)
        upstreams.refresh()
        handover_sender.start_reports(nursery)
        await trio.sleep(_REFRESH_INTERVAL_S)


def _qualify_upstream(
    key: ids.UpstreamId, load: work.UpstreamLoad
) -> work.UpstreamLoad:
    return msgspec.structs.replace(load, upstream=key)
