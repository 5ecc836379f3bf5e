"""Tells other hosts what this one sees, and hears them."""

from __future__ import annotations

import logging
import random
import time

import msgspec
import trio

from persimmonhinge.forwarding import core as cores
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding.peers import book as books
from persimmonhinge.forwarding.peers import following as following_parts
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import news as news_packs

logger = logging.getLogger(__name__)

# Shortest time between two reports, seconds. Requests of the users' shortest
# kind take 15 ms, so what is told is some requests old; a shorter time costs
# more processor time than it gains.
_INTERVAL_S = 0.1
# Reports that a host sends and receives a second. One takes about 0.1 ms of
# processor time on both sides together, so this is 1% of a core.
_REPORTS_PER_S = 100.0
_NAMED_PEERS = 3
_FAR_EACH = 5
_MOST_OCTETS = 65_535
_PULL_LIMIT_S = 1.0
_REQUEST_OCTETS = 64
# Largest datagram of news, octets.
_MOST_NEWS_OCTETS = 8192
# How far behind a host may be before it pulls from one that is ahead: its own
# watch brings the same news within some milliseconds, seconds.
_BEHIND_S = 0.25
_AHEAD_CHECK_S = 0.05


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
        self._following = following
        self._book = core.peers
        settings = core.settings
        host = settings.own_address
        self._report_at = flows.Endpoint(host, settings.report_port)
        self._snapshot_port = settings.snapshot_port
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(messages.Report | messages.News)
        self._untold: list[messages.News] = []
        self._news = trio.Event()
        self._incarnation = random.getrandbits(63)
        self._sequence = 0
        self._behind_since: float | None = None
        core.entries.tell = self._note_news

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Tells and hears until cancelled.

        Raises:
            OSError: A port can't be had.
        """
        now = time.monotonic()
        for seed in self._core.settings.seed_addresses():
            self._book.add(
                flows.Endpoint(seed, self._core.settings.report_port), now
            )
        socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await socket.bind(self._report_at)
        listeners = await trio.open_tcp_listeners(
            self._snapshot_port, host=self._report_at.host
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._hear, socket)
            nursery.start_soon(self._tell, socket)
            nursery.start_soon(self._tell_news, socket)
            nursery.start_soon(self._pull_when_behind)
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            task_status.started()

    async def _tell(self, socket: trio.socket.SocketType) -> None:
        while True:
            addresses = self._book.addresses()
            if addresses:
                octets = self._encoder.encode(self._make_report())
                for address in self._choose_told(addresses):
                    await self._send(socket, octets, address)
            interval_s = max(_INTERVAL_S, len(addresses) / _REPORTS_PER_S)
            await trio.sleep(interval_s * random.uniform(0.9, 1.1))
            for silent in self._book.drop_silent(time.monotonic()):
                logger.info("Host is silent.", extra={"peer": str(silent)})

    def _note_news(self, after: int, entries: list[messages.EntryLine]) -> None:
        settled = self._core.entries.is_settled()
        self._untold.extend(news_packs.split_news(after, settled, entries))
        self._news.set()

    async def _tell_news(self, socket: trio.socket.SocketType) -> None:
        """Tells the hosts of the own failure domain what is new, at once.

        News that are lost, or too long for a datagram, are pulled by those
        that see from a report that they are behind.
        """
        while True:
            await self._news.wait()
            self._news = trio.Event()
            untold, self._untold = self._untold, []
            addresses = [
                peer.address
                for peer in self._book.heard()
                if peer.report is not None
                and peer.report.domain == self._core.settings.domain
            ]
            for news in untold:
                octets = self._encoder.encode(news)
                if len(octets) > _MOST_NEWS_OCTETS:
                    continue
                for address in addresses:
                    await self._send(socket, octets, address)

    def _choose_told(
        self, addresses: list[flows.Endpoint]
    ) -> list[flows.Endpoint]:
        """Returns who gets this report: far hosts get each fifth only.

        Octets between failure domains are priced, and the work of upstreams
        elsewhere matters only where the own ones are full: 0.0024 to 0.0006
        of a day's worth at six hosts.
        """
        if self._sequence % _FAR_EACH == 0:
            return addresses
        domain = self._core.settings.domain
        far = {
            peer.address
            for peer in self._book.heard()
            if peer.report is not None and peer.report.domain != domain
        }
        return [address for address in addresses if address not in far]

    async def _send(
        self,
        socket: trio.socket.SocketType,
        octets: bytes,
        address: flows.Endpoint,
    ) -> None:
        try:
            await socket.sendto(octets, address)
        except OSError as error:
            self._core.counts.add("report_errors_total")
            logger.debug("Can't send a report to %s: %s.", address, error)

    def _make_report(self) -> messages.Report:
        core = self._core
        self._sequence += 1
        return messages.Report(
            host=core.settings.host,
            incarnation=self._incarnation,
            sequence=self._sequence,
            domain=core.settings.domain,
            revision=core.entries.revision,
            age_ms=core.knowledge.compute_age_ms(time.monotonic()),
            leaving=self._following.leaving,
            reaches_store=self._following.reaches_store,
            loads=tuple(core.list_load_lines()),
            peers=self._book.pick_addresses(_NAMED_PEERS),
        )

    async def _hear(self, socket: trio.socket.SocketType) -> None:
        while True:
            try:
                octets, source = await socket.recvfrom(_MOST_OCTETS)
                message = self._decoder.decode(octets)
            except msgspec.MsgspecError as error:
                self._core.counts.add("malformed_reports_total")
                logger.warning("Dropped a report: %s.", error)
                continue
            except OSError as error:
                self._core.counts.add("report_errors_total")
                logger.debug("Can't receive reports: %s.", error)
                continue
            if isinstance(message, messages.News):
                self._take_news(message, source[0])
            else:
                self._take_report(message, flows.Endpoint(*source[:2]))

    def _take_news(self, news: messages.News, source: str) -> None:
        self._core.entries.take_news(news, source)

    def _take_report(
        self, report: messages.Report, address: flows.Endpoint
    ) -> None:
        now = time.monotonic()
        if not self._book.take(address, report, now):
            return
        for named in report.peers:
            self._book.add(named, now)
        known = self._core.entries.revision
        if report.age_ms >= 0 and report.revision <= known:
            self._core.knowledge.confirm(now - report.age_ms / 1000)

    async def _pull_when_behind(self) -> None:
        """Pulls a snapshot when another host has newer entries.

        Guards against a watch that has gone silent, and against a store that
        refuses this host alone: upstreams that have left would go on getting
        flows. A peer that is ahead shows it at its next report.
        """
        while True:
            await trio.sleep(_AHEAD_CHECK_S)
            ahead = self._find_ahead()
            now = time.monotonic()
            if ahead is None:
                self._behind_since = None
            elif self._behind_since is None:
                self._behind_since = now
            if ahead is not None and self._is_due(now):
                await self._pull(ahead)
                self._behind_since = time.monotonic()

    def _is_due(self, now: float) -> bool:
        if not self._core.knowledge.is_complete():
            return True
        behind_since = self._behind_since
        return behind_since is not None and now - behind_since > _BEHIND_S

    def _find_ahead(self) -> books.Peer | None:
        heard = [p for p in self._book.heard() if p.report is not None]
        if not heard:
            return None
        best = max(heard, key=lambda p: p.report.revision if p.report else 0)
        report = best.report
        if report is None or report.revision <= self._core.entries.revision:
            return None
        return best

    async def _pull(self, peer: books.Peer) -> None:
        host = peer.address.host
        octets = bytearray()
        try:
            with trio.fail_after(_PULL_LIMIT_S):
                stream = await trio.open_tcp_stream(host, self._snapshot_port)
                async with stream:
                    request = messages.PullRequest(self._core.entries.revision)
                    await stream.send_all(self._encoder.encode(request))
                    async for data in stream:
                        octets += data
            snapshot = msgspec.msgpack.decode(octets, type=messages.Snapshot)
        except (
            OSError,
            trio.BrokenResourceError,
            trio.TooSlowError,
            msgspec.MsgspecError,
        ) as error:
            self._core.counts.add("snapshot_errors_total")
            logger.warning(
                "Can't pull a snapshot: %s.", error, extra={"peer": host}
            )
            return
        logger.info(
            "Pulled a snapshot.",
            extra={
                "peer": host,
                "revision": snapshot.revision,
                "former": self._core.entries.revision,
            },
        )
        self._core.entries.take_snapshot(snapshot, host)
        now = time.monotonic()
        for named in snapshot.peers:
            self._book.add(named, now)

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            with trio.fail_after(_PULL_LIMIT_S):
                octets = await stream.receive_some(_REQUEST_OCTETS)
                request = msgspec.msgpack.decode(
                    octets, type=messages.PullRequest
                )
                heard = tuple(peer.address for peer in self._book.heard())
                snapshot = self._core.entries.make_snapshot(
                    request.since, heard
                )
                await stream.send_all(self._encoder.encode(snapshot))
        except (
            trio.BrokenResourceError,
            trio.TooSlowError,
            msgspec.MsgspecError,
        ) as error:
            logger.info("A peer did not get its snapshot: %s.", error)
        await trio.aclose_forcefully(stream)
