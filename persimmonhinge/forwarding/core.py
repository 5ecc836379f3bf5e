"""The parts of a host that need no event loop."""

from __future__ import annotations

from persimmonhinge import draws
from persimmonhinge import ids
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import flow_table as flow_tables
from persimmonhinge.forwarding import forwarder as forwarders
from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.forwarding import reading
from persimmonhinge.forwarding import sockets
from persimmonhinge.forwarding import tracker as trackers
from persimmonhinge.forwarding.decisions import chooser as choosers
from persimmonhinge.forwarding.decisions import cold_shares
from persimmonhinge.forwarding.decisions import eligibility
from persimmonhinge.forwarding.decisions import loads as load_books
from persimmonhinge.forwarding.decisions import openings as opening_lists
from persimmonhinge.forwarding.decisions import suspicions as suspicion_lists
from persimmonhinge.forwarding.peers import peer_table as peer_books
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.policies import choice
from persimmonhinge.policies import choice_near_first  # noqa: F401

if TYPE_CHECKING:
    import _socket
    import random

    from persimmonhinge.forwarding import entry_reader
    from persimmonhinge.forwarding import packet_codec
    from persimmonhinge.forwarding import settings as forward_settings

_MOST_FLOWS = 50_000


class ForwardCore:
    """Knowledge and decisions of one host.

    Attributes:
        settings: Settings of the host.
        counts: Its counters.
        knowledge: What it believes of the platform.
        entries: Reads the store's entries into the knowledge.
        loads: Work of upstreams, here and as others tell it.
        suspicions: Opening packets that upstreams left unanswered.
        tracker: Flows and their requests.
        openings: Opening packets that wait.
        socket: The socket of packets.
        forwarder: Decides where packets go.
        peers: The other hosts and what they told.
    """

    def __init__(
        self,
        settings: forward_settings.ForwardSettings,
        bound: _socket.socket,
        codec: packet_codec.PacketCodec,
        reader: entry_reader.EntryReader,
    ) -> None:
        """Makes the parts.

        Args:
            settings: Settings of the host.
            bound: Socket of packets.
            codec: Format of packets.
            reader: Format of the store's entries.
        """
        self.settings = settings
        self.counts = host_counts.Counts()
        self.knowledge = knowledge_parts.Knowledge(
            settings.flow_life_s, settings.current_s
        )
        self.entries = reading.Entries(reader, self.knowledge, self.counts)
        self.openings = opening_lists.Openings()
        self.socket = sockets.PacketSocket(bound, self.counts)
        self.loads = load_books.LoadBook()
        self.suspicions = suspicion_lists.Suspicions()
        self.tracker = trackers.FlowTracker(
            flow_tables.FlowTable(_MOST_FLOWS), self.loads, self.counts
        )
        self.peers = peer_books.PeerTable(
            flows.Endpoint(settings.own_address, settings.report_port),
            self.loads,
            self.suspicions,
        )
        # It is asked for `random()` alone, which the plain source has.
        randomness: random.Random = draws.source  # type: ignore[assignment]
        chooser = choosers.UpstreamChooser(
            ids.DomainId(settings.domain),
            self.knowledge,
            self.loads,
            eligibility.Eligibility(
                self.knowledge,
                self.suspicions,
                cold_shares.ColdShares(
                    settings.host, self.peers.list_host_names
                ),
                settings.domain_regions(),
            ),
            choice.choices.get(settings.choice)(randomness),
            randomness,
        )
        self.forwarder = forwarders.Forwarder(
            codec,
            self.socket,
            self.knowledge,
            chooser,
            self.tracker,
            self.openings,
            self.suspicions,
            self.counts,
        )

    def receive_batch(self) -> int:
        """Forwards the packets that have come; returns their number."""
        return self.socket.receive_batch(self.forwarder.receive)

    def handle_due_openings(self) -> None:
        """Sends opening packets that were not answered elsewhere.

        Guards against taking upstreams for dead after this process itself
        stood still: the answers may lie unread in the socket by then. So all
        packets that have come are read first.
        """
        while self.receive_batch() == sockets.MOST_IN_A_ROW:
            pass
        for opening in self.openings.take_due():
            self.forwarder.open_elsewhere(opening)
