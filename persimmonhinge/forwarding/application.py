"""The forwarding program: runs its parts from start to stop."""

from __future__ import annotations

import logging
import random
import socket

import trio

from persimmonhinge import ids
from persimmonhinge import policies  # noqa: F401
from persimmonhinge.forwarding import chooser as choosers
from persimmonhinge.forwarding import flow_table as flow_tables
from persimmonhinge.forwarding import follower as followers
from persimmonhinge.forwarding import forwarder as forwarders
from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.forwarding import loads as load_books
from persimmonhinge.forwarding import openings as opening_lists
from persimmonhinge.forwarding import pages as forward_pages
from persimmonhinge.forwarding import settings as forward_settings
from persimmonhinge.forwarding import sockets
from persimmonhinge.forwarding import suspicions as suspicion_lists
from persimmonhinge.forwarding import tracker as trackers
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.metrics import page
from persimmonhinge.policies import choice
from persimmonhinge.store import port

logger = logging.getLogger(__name__)

_MOST_FLOWS = 50_000
# How much earlier than the platform's limit a planned stop ends, seconds.
_STOP_MARGIN_S = 1.0
# A planned stop ends once no packet has come for so long, seconds.
_QUIET_S = 0.7
_QUIET_CHECK_S = 0.1
_SWEEP_S = 1.0


class ForwardApplication:
    """One host that forwards packets."""

    def __init__(
        self,
        settings: forward_settings.ForwardSettings,
        bound: socket.socket,
        codec: forwarders.PacketCodec,
        reader: followers.EntryReader,
        store: port.Platform,
    ) -> None:
        """Makes the parts of the host.

        Args:
            settings: Settings of the host.
            bound: Socket of packets.
            codec: Format of packets.
            reader: Format of the store's entries.
            store: The store.
        """
        self._settings = settings
        self._stopping = trio.Event()
        self._ready = False
        self.counts = host_counts.Counts()
        self._knowledge = knowledge_parts.Knowledge(settings.flow_life_s)
        self._openings = opening_lists.Openings()
        self._socket = sockets.PacketSocket(bound, self.counts)
        loads = load_books.LoadBook()
        self._tracker = trackers.FlowTracker(
            flow_tables.FlowTable(_MOST_FLOWS), loads
        )
        suspicions = suspicion_lists.Suspicions()
        policy = choice.choices.get(settings.choice)(random.Random())
        chooser = choosers.UpstreamChooser(
            ids.DomainId(settings.domain),
            self._knowledge,
            loads,
            suspicions,
            policy,
        )
        self._forwarder = forwarders.Forwarder(
            codec,
            self._socket,
            self._knowledge,
            chooser,
            self._tracker,
            self._openings,
            suspicions,
            self.counts,
        )
        self._follower = followers.Follower(
            store, reader, self._knowledge, self.counts
        )
        self._pages = page.PageServer(
            *forward_settings.parse_endpoint(settings.pages)
        )
        forward_pages.ForwardPages(self._pages, self.counts, self.is_ready)

    def stop(self) -> None:
        """Begins a planned stop; a second call changes nothing."""
        self._stopping.set()

    def is_ready(self) -> bool:
        """Tells whether the fabric should send packets here."""
        return self._knowledge.is_complete() and not self._stopping.is_set()

    async def run(self) -> None:
        """Runs until a planned stop has ended."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follower.run)
            await nursery.start(self._pages.run)
            nursery.start_soon(self._sweep)
            nursery.start_soon(
                self._openings.run, self._forwarder.open_elsewhere
            )
            await self._wait_until_complete()
            nursery.start_soon(self._socket.run, self._receive)
            logger.info("Started.", extra={"domain": self._settings.domain})
            await self._stopping.wait()
            await self._leave()
            nursery.cancel_scope.cancel()
        logger.info("Stopped.")

    def _receive(self, octets: bytes) -> None:
        self._received_at = trio.current_time()
        self._forwarder.receive(octets)

    async def _wait_until_complete(self) -> None:
        """Leaves packets in their socket until this host knows where to."""
        while not self._knowledge.is_complete():
            await trio.sleep(0.002)

    async def _leave(self) -> None:
        """Forwards until the fabric has stopped sending packets here."""
        logger.info("Planned stop begins.")
        limit_s = self._settings.stop_limit_s - _STOP_MARGIN_S
        self._received_at = trio.current_time()
        with trio.move_on_after(limit_s):
            while trio.current_time() - self._received_at < _QUIET_S:
                await trio.sleep(_QUIET_CHECK_S)

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(_SWEEP_S)
            state = self._knowledge.state
            idle_s = self._settings.flow_life_s
            if state is not None:
                idle_s = state.idle_timeout_s
            self._tracker.sweep(idle_s)
