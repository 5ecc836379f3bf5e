"""Tells other hosts what this one sees, and hears them."""

from __future__ import annotations

from collections.abc import Callable
import logging
import time

import msgspec
import trio

from persimmonhinge.forwarding import auto_reset_event
from persimmonhinge.forwarding import core as cores
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import store_entry as entry_lines
from persimmonhinge.forwarding.peers import channel as channels
from persimmonhinge.forwarding.peers import codec as codecs
from persimmonhinge.forwarding.peers import following as following_parts
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import news as news_packs
from persimmonhinge.forwarding.peers import pulls
from persimmonhinge.forwarding.peers import reporter as reporters
from persimmonhinge.forwarding.peers import snapshot_server

logger = logging.getLogger(__name__)

_MOST_OCTETS = 65_535
# Largest datagram of news, octets.
_MOST_NEWS_OCTETS = 8192
# Least time between two looks for silent hosts, seconds.
_LEAST_SILENCE_CHECK_S = 0.1


class PeerService:
    """Reports by datagrams; snapshots by streams for hosts that are behind."""

    def __init__(
        self, core: cores.ForwardCore, following: following_parts.Following
    ) -> None:
        """Makes the part; nothing is sent before `run`.

        Args:
            core: The parts of the host that need no event loop.
            following: Whether this host follows the store.
        """
        self._core = core
        self._book = core.peers
        self._reporter = reporters.Reporter(core, following)
        self._puller = pulls.SnapshotPuller(core)
        self._server = snapshot_server.SnapshotServer(core)
        self._codec: codecs.MessageCodec[messages.Report | messages.News] = (
            codecs.MessageCodec(messages.Report | messages.News)
        )
        self._untold: list[messages.News] = []
        self._news = auto_reset_event.AutoResetEvent()
        core.entries.on_changes = self._note_news

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
            self._book.add(flows.Endpoint(seed, settings.report_port), now)
        bound = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await bound.bind((settings.own_address, settings.report_port))
        channel = channels.PeerChannel(bound, self._core.counts)
        async with trio.open_nursery() as nursery:
            await nursery.start(self._server.run)
            nursery.start_soon(self._hear, bound)
            nursery.start_soon(self._reporter.tell_near, channel)
            nursery.start_soon(self._reporter.tell_far, channel)
            nursery.start_soon(self.tell_news, channel)
            nursery.start_soon(self.watch_silence, _log_silence)
            nursery.start_soon(self._puller.run)
            task_status.started()

    def _note_news(
        self, after: int, entries: list[entry_lines.StoreEntry]
    ) -> None:
        settled = self._core.entries.is_absence_final()
        self._untold.extend(news_packs.split_news(after, settled, entries))
        self._news.set()

    async def tell_news(self, channel: channels.PeerChannel) -> None:
        """Tells the hosts of the own failure domain what is new, at once.

        News that are lost, and a desired state too long for a datagram, are
        pulled by those that see from a report that they are behind.
        """
        state_key = self._core.entries.state_key
        while True:
            await self._news.wait()
            untold, self._untold = self._untold, []
            near = self._book.list_near(self._core.settings.domain)
            for news in untold:
                octets = self._codec.encode(news)
                if len(octets) > _MOST_NEWS_OCTETS:
                    news = news_packs.leave_state_out(news, state_key)
                    octets = self._codec.encode(news)
                if len(octets) <= _MOST_NEWS_OCTETS:
                    await channel.send_all(octets, near)

    async def watch_silence(
        self, tell: Callable[[flows.Endpoint], None]
    ) -> None:
        """Drops what hosts told that fell silent, until cancelled.

        Args:
            tell: Called with each of them.
        """
        while True:
            now = time.monotonic()
            due_s = self._book.find_next_silence(now) - now
            await trio.sleep(max(due_s, _LEAST_SILENCE_CHECK_S))
            for silent in self._book.drop_silent(time.monotonic()):
                tell(silent)

    async def _hear(self, socket: trio.socket.SocketType) -> None:
        while True:
            try:
                octets, source = await socket.recvfrom(_MOST_OCTETS)
            except OSError as error:
                self._core.counts.add("report_errors_total")
                logger.debug("Can't receive reports: %s.", error)
                continue
            self.take_message(octets, flows.Endpoint(*source[:2]))

    def take_message(self, octets: bytes, source: flows.Endpoint) -> None:
        """Takes in a datagram of another host."""
        try:
            message = self._codec.decode(octets)
        except msgspec.MsgspecError as error:
            self._core.counts.add("malformed_reports_total")
            logger.warning("Dropped a report: %s.", error)
            return
        if isinstance(message, messages.News):
            self._core.entries.apply_update(message, source.host)
        else:
            self.take_report(message, source)

    def take_report(
        self, report: messages.Report, address: flows.Endpoint
    ) -> None:
        """Takes in a report of another host."""
        now = time.monotonic()
        reached_store = self._book.reaches_store(address)
        if not self._book.take(address, report, now):
            return
        if reached_store and not report.reaches_store:
            self._core.entries.record_reported_outage()
        for named in report.peers:
            self._book.add(named, now)
        entries = self._core.entries
        if (
            report.age_ms >= 0
            and report.revision <= entries.revision
            and report.known_upstreams()
            <= entries.completeness.upstreams_revision
        ):
            self._core.knowledge.confirm(now - report.age_ms / 1000)


def _log_silence(silent: flows.Endpoint) -> None:
    logger.info("Host is silent.", extra={"peer": str(silent)})
