"""The parts of a forwarding host that need no event loop."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge import random_sampling
from persimmonhinge.forwarding import binding
from persimmonhinge.forwarding import entry_replica
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import flow_table
from persimmonhinge.forwarding import forwarder
from persimmonhinge.forwarding import knowledge
from persimmonhinge.forwarding import refusals
from persimmonhinge.forwarding import sockets
from persimmonhinge.forwarding import tracker
from persimmonhinge.forwarding.decisions.placement import (
    chooser as chooser_module,
)
from persimmonhinge.forwarding.decisions.placement import eligibility
from persimmonhinge.forwarding.decisions.placement import loads
from persimmonhinge.forwarding.decisions.placement import warm_up_shares
from persimmonhinge.forwarding.decisions.upstream_health import openings
from persimmonhinge.forwarding.decisions.upstream_health import overdue_openings
from persimmonhinge.forwarding.decisions.upstream_health import suspicions
from persimmonhinge.forwarding.peers import peer_table
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.metrics import counts
from persimmonhinge.policies import choice
from persimmonhinge.policies import choice_near_first  # noqa: F401

if TYPE_CHECKING:
    import _socket
    import random

    from persimmonhinge.forwarding import entry_reader
    from persimmonhinge.forwarding import overload as overload_module
    from persimmonhinge.forwarding import packet_codec
    from persimmonhinge.forwarding import settings as settings_module
    from persimmonhinge.forwarding.decisions.admission import demand_sources

_MAX_FLOWS = 50_000


class ForwardCore:
    """State of one host and the parts that decide where its packets go.

    Attributes:
        settings: Settings of the host.
        counts: Counters of the host.
        refusals: Inputs from outside that the host did not use.
        knowledge: The host's view of the desired state and the upstreams.
        entries: Reads entries of the store into `knowledge`.
        overload: The parts of overload control; None if it is switched off or
            not started yet.
        loads: Requests in flight at each upstream, as counted by this host and
            as reported by other hosts.
        suspicions: Opening packets that each upstream left unanswered.
        quality: Upstreams that are slow or fail requests; None if the settings
            do not switch their detection on.
        tracker: Flows and their requests.
        openings: Opening packets that wait for an answer.
        overdue_openings: When those without an answer may be judged.
        socket: The packet socket.
        eligibility: Conditions for upstreams of new flows.
        chooser: Chooses the upstream of each new flow.
        forwarder: Decides where each packet goes.
        peers: The other hosts and their newest reports.
    """

    def __init__(
        self,
        settings: settings_module.ForwardSettings,
        packet_socket: _socket.socket,
        codec: packet_codec.PacketCodec,
        reader: entry_reader.EntryReader,
    ) -> None:
        """Creates the parts.

        Args:
            settings: Settings of the host.
            packet_socket: Bound, non-blocking UDP socket for packets.
            codec: Decodes and encodes packets.
            reader: Decodes entries of the store.
        """
        self.settings = settings
        self.counts = counts.Counts()
        self.refusals = refusals.Refusals(self.counts)
        self.knowledge = knowledge.Knowledge(
            settings.flow_life_s, settings.max_current_age_s
        )
        self.entries = entry_replica.EntryReplica(
            reader, self.knowledge, self.counts, self.refusals
        )
        self.openings = openings.Openings()
        self.overdue_openings = overdue_openings.OverdueOpenings(
            self.openings, binding.MAX_UNREAD_DATAGRAMS
        )
        self.socket = sockets.PacketSocket(packet_socket, self.counts)
        # Only the method `random` is called, which `draws.source` has, too.
        self._random: random.Random = random_sampling.generator  # type: ignore[assignment]
        self.loads = loads.LoadTable()
        self.overload: overload_module.OverloadControl | None = None
        self.suspicions = suspicions.Suspicions()
        self.tracker = tracker.FlowTracker(
            flow_table.FlowTable(_MAX_FLOWS),
            self.loads,
            self.counts,
            refusals=self.refusals,
        )
        self.peers = peer_table.PeerTable(
            flow.Endpoint(settings.own_address, settings.report_port),
            self.loads,
            self.suspicions,
        )
        self.eligibility = eligibility.Eligibility(
            self.knowledge,
            self.suspicions,
            warm_up_shares.WarmUpShares(
                settings.host, self.peers.list_host_names
            ),
            settings.domain_regions(),
        )
        self.chooser = chooser_module.UpstreamChooser(
            ids.DomainId(settings.domain),
            self.knowledge,
            self.loads,
            eligibility.Eligibility(
                self.knowledge,
                self.suspicions,
                warm_up_shares.WarmUpShares(
                    settings.host, self.peers.list_host_names
                ),
                settings.domain_regions(),
            ),
            choice.choice_policies.get(settings.choice)(self._random),
            self._random,
        )
        self.forwarder = forwarder.Forwarder(
            codec,
            self.socket,
            self.knowledge,
            self.chooser,
            self.tracker,
            self.openings,
            self.suspicions,
            self.counts,
            refusals=self.refusals,
        )

    def knows_entries(self) -> bool:
        """Returns whether any entry of the store is known, also a deleted one.

        It is asked only if an item of the store can't be read.
        """
        return bool(self.entries.make_snapshot(0, ()).entries)

    def receive_batch(self) -> int:
        """Forwards one batch of received packets; returns their number."""
        count = self.socket.receive_batch(self.forwarder.handle_datagram)
        self.overdue_openings.record_read(
            count, is_emptied=count < sockets.MAX_BATCH_DATAGRAMS
        )
        return count

    def handle_due_openings(self) -> bool:
        """Takes one turn at retrying overdue openings at other upstreams.

        The packets that had been received when they were overdue are read
        first, a batch in each turn. Otherwise the host would suspect live
        upstreams after its own process was suspended: their answers may still
        be unread in the socket.

        Returns:
            Whether another turn is needed for the openings that are overdue.
        """
        self.overdue_openings.begin_turn()
        self.receive_batch()
        self.forwarder.retry_openings(self.overdue_openings.pop())
        return self.overdue_openings.is_in_round

    def start_overload_control(
        self, sources: demand_sources.DemandSources | None = None
    ) -> None:
        """Starts overload control, if the settings ask for it.

        Its modules are imported only here, so that the first packets after a
        start do not wait for them. Until then, all new flows are placed.

        Args:
            sources: Demand, capacity and work for the admission of new flows;
                None to use those that the host measures.
        """
        settings = self.settings.overload_control
        if not settings.is_enabled:
            return
        from persimmonhinge.forwarding import overload

        self.overload = overload.OverloadControl(
            settings,
            ids.DomainId(self.settings.domain),
            self.knowledge,
            self.loads,
            self.counts,
            self._random,
            sources=sources,
        )
        self.tracker.observers = self.overload.observers
        self.tracker.flow_observer = self.overload.quality
        self.peers.picture = self.overload.picture
        self.peers.quality = self.overload.quality
        self.eligibility.quality = self.overload.quality
        self.chooser.placement = self.overload.placement
        self.forwarder.set_overload_control(self.overload)
