"""The keeper of upstreams: all of its parts, and the messages they serve."""

from __future__ import annotations

import functools
import logging
import random

import msgspec
import trio

from persimmonhinge import changes
from persimmonhinge import ids
from persimmonhinge.coap import transmission as transmissions
from persimmonhinge.contracts import store as stores
from persimmonhinge.membership import member as members
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import feeds
from persimmonhinge.peers.messages import handover
from persimmonhinge.peers.messages import work
from persimmonhinge.settings import entry as settings_entry
from persimmonhinge.upstreams import context as contexts
from persimmonhinge.upstreams import dispatching as dispatching_parts
from persimmonhinge.upstreams import event_budget
from persimmonhinge.upstreams import executed as executed_tables
from persimmonhinge.upstreams import feed_server as feeding_parts
from persimmonhinge.upstreams import handing as handing_parts
from persimmonhinge.upstreams import inheritance as inheritances
from persimmonhinge.upstreams import orphaned_feeds as orphan_parts
from persimmonhinge.upstreams import recovering as recovering_parts
from persimmonhinge.upstreams import roles as role_parts
from persimmonhinge.upstreams import taking as taking_parts
from persimmonhinge.upstreams import udp
from persimmonhinge.upstreams import upstream_socket
from persimmonhinge.upstreams import upstreams as upstream_sets
from persimmonhinge.upstreams import uptimes as home_uptimes

logger = logging.getLogger(__name__)

# Views and contracts change in bursts; one look at all upstreams serves
# the whole burst.
_BURST_S = 0.05
_FORGET_INTERVAL_S = 1.0
_TIDY_INTERVAL_S = 0.05


class Keepers:
    """Runs requests and feeds at the upstreams that this host keeps."""

    def __init__(
        self,
        settings: settings_entry.EntrySettings,
        view: views.View,
        placement: placements.Placement,
        contracts: stores.ContractStore,
        network: networks.PeerNetwork,
        counts: host_counts.Counts,
        open_socket: upstream_socket.SocketOpener | None = None,
        timers: transmissions.Transmission | None = None,
    ) -> None:
        """Makes the keeper of a host.

        Args:
            settings: Settings of the host.
            view: Its view of the members.
            placement: Where roles are placed.
            contracts: The contracts that it knows.
            network: Calls to other hosts.
            counts: Its counters.
            open_socket: Opens a socket towards an upstream; UDP if None.
            timers: Timers of retransmission; those of RFC 7252 if None.
        """
        self._view = view
        self._placement = placement
        self._contracts = contracts
        self._network = network
        self._counts = counts
        self._open_socket = open_socket or functools.partial(
            udp.UdpSocket, settings.upstream_address, counts=counts
        )
        self._timers = timers or transmissions.Transmission()
        self._roles = role_parts.Roles(view, placement, contracts)
        self._executed = executed_tables.ExecutedTable(
            home_uptimes.Uptimes(trio.current_time)
        )
        self._inheritance = inheritances.Inheritance(trio.current_time)
        self._upstreams: upstream_sets.KeptUpstreams | None = None
        self._handing: handing_parts.Handing | None = None
        counts.watch("keeper_executed_rows", lambda: len(self._executed))
        for name in ("busy", "queued", "feeds"):
            counts.watch(f"keeper_{name}", functools.partial(self._sum, name))

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves homes until it is cancelled."""
        async with trio.open_nursery() as nursery:
            context = self._make_context(nursery)
            upstreams = upstream_sets.KeptUpstreams(context, self._roles)
            handing = self._make_handing(upstreams)
            self._upstreams = upstreams
            self._handing = handing
            self._register(context, upstreams)
            for changed in (self._view.changed, self._contracts.changed):
                # Read before the first look, or a change that comes before
                # the task runs would be missed.
                version = changed.version
                nursery.start_soon(
                    _follow_changes,
                    changed,
                    version,
                    upstreams,
                    handing,
                    nursery,
                )
            upstreams.refresh()
            nursery.start_soon(self._sweep, upstreams)
            task_status.started()

    def note_incarnation(
        self, former: members.Member, present: members.Member
    ) -> None:
        """Takes in that this host has become a new incarnation.

        It is the same process with the same table, so it goes on to answer
        for requests that ran through the former one.
        """
        logger.info("Answers for its former incarnation %08x.", former.ref)
        self._inheritance.add_own(former.ref)

    async def leave(self) -> None:
        """Hands over what this host keeps and waits for what runs.

        To be called once this host's own view says that it leaves, so that
        nothing new begins. It takes as long as what runs takes.
        """
        if self._handing is not None:
            await self._handing.leave()

    def loads(self) -> list[work.UpstreamLoad]:
        """Returns the state of all upstreams kept, as `service/upstream`."""
        if self._upstreams is None:
            return []
        return [
            _name_fully(kept.target.key, kept.read_load())
            for kept in self._upstreams.list_kept()
        ]

    def _sum(self, name: str) -> int:
        return sum(getattr(load, name) for load in self.loads())

    def _make_context(self, nursery: trio.Nursery) -> contexts.KeeperContext:
        me = self._view.self_member
        return contexts.KeeperContext(
            self._contracts,
            self._counts,
            random.Random(f"{me.host}/{me.incarnation}"),
            self._open_socket,
            self._timers,
            nursery,
            event_budget.EventBudget(self._counts),
        )

    def _register(
        self,
        context: contexts.KeeperContext,
        upstreams: upstream_sets.KeptUpstreams,
    ) -> None:
        dispatching = dispatching_parts.Dispatching(
            self._roles, upstreams, self._executed, self._counts
        )
        recovering = recovering_parts.Recovering(
            self._view, self._executed, self._inheritance, self._counts
        )
        taking = taking_parts.Taking(
            self._roles,
            upstreams,
            self._executed,
            self._inheritance,
            self._counts,
        )
        orphans = orphan_parts.OrphanedFeeds(
            context, self._view, self._placement, self._network
        )
        feeding = feeding_parts.FeedServer(
            context, self._view, self._roles, upstreams, orphans
        )
        self._network.handle(work.Dispatch, dispatching.handle)
        self._network.handle(work.Recover, recovering.handle)
        self._network.handle(work.LoadQuery, self._report_loads)
        self._network.handle(handover.KeeperHandover, taking.handle)
        self._network.handle(feeds.FeedOpen, feeding.handle)
        self._network.handle(feeds.FeedLeft, orphans.handle_feed_left)

    def _make_handing(
        self, upstreams: upstream_sets.KeptUpstreams
    ) -> handing_parts.Handing:
        return handing_parts.Handing(
            self._view,
            self._roles,
            upstreams,
            self._executed,
            self._inheritance,
            self._network,
        )

    async def _report_loads(
        self, caller: networks.Caller, query: work.LoadQuery
    ) -> work.LoadReport:
        return work.LoadReport(tuple(self.loads()))

    async def _sweep(self, upstreams: upstream_sets.KeptUpstreams) -> None:
        """Does what only time brings about."""
        forget_at = trio.current_time()
        while True:
            await trio.sleep(_TIDY_INTERVAL_S)
            upstreams.tidy()
            if trio.current_time() >= forget_at:
                self._executed.forget_all_expired()
                self._inheritance.forget_old()
                forget_at = trio.current_time() + _FORGET_INTERVAL_S


async def _follow_changes(
    changed: changes.ChangeSignal,
    version: int,
    upstreams: upstream_sets.KeptUpstreams,
    handing: handing_parts.Handing,
    nursery: trio.Nursery,
) -> None:
    while True:
        version = await changed.wait_beyond(version)
        upstreams.refresh()
        handing.follow_moved(nursery)
        await trio.sleep(_BURST_S)


def _name_fully(
    key: ids.UpstreamId, load: work.UpstreamLoad
) -> work.UpstreamLoad:
    return msgspec.structs.replace(load, upstream=key)
