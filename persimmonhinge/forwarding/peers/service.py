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
from persimmonhinge.forwarding.peers import messages

logger = logging.getLogger(__name__)

# Shortest time between two reports, seconds. Requests of the users' shortest
# kind take 15 ms, so what is told is some requests old; a shorter time costs
# more processor time than it gains.
_INTERVAL_S = 0.1
# Reports that a host sends and receives a second. One takes about 0.1 ms of
# processor time on both sides together, so this is 1% of a core.
_REPORTS_PER_S = 100.0
_NAMED_PEERS = 3
_MOST_OCTETS = 65_535
_PULL_LIMIT_S = 1.0
# How far behind a host may be before it pulls from one that is ahead: its own
# watch brings the same news within some milliseconds, seconds.
_BEHIND_S = 0.25
_AHEAD_CHECK_S = 0.05


class PeerService:
    """Reports by datagrams; snapshots by streams for hosts that are behind."""

    def __init__(self, core: cores.ForwardCore) -> None:
        self._core = core
        self._book = core.peers
        settings = core.settings
        host = settings.own_address
        self._report_at = flows.Endpoint(host, settings.report_port)
        self._snapshot_port = settings.snapshot_port
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(messages.Report)
        self._incarnation = random.getrandbits(63)
        self._sequence = 0
        self._behind_since: float | None = None
        self.leaving = False

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
            nursery.start_soon(self._pull_when_behind)
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            task_status.started()

    async def _tell(self, socket: trio.socket.SocketType) -> None:
        while True:
            addresses = self._book.addresses()
            if addresses:
                octets = self._encoder.encode(self._make_report())
                for address in addresses:
                    await self._send(socket, octets, address)
            interval_s = max(_INTERVAL_S, len(addresses) / _REPORTS_PER_S)
            await trio.sleep(interval_s * random.uniform(0.9, 1.1))
            for silent in self._book.drop_silent(time.monotonic()):
                logger.info("Host is silent.", extra={"peer": str(silent)})

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
            leaving=self.leaving,
            loads=tuple(core.list_load_lines()),
            peers=self._book.pick_addresses(_NAMED_PEERS),
        )

    async def _hear(self, socket: trio.socket.SocketType) -> None:
        while True:
            try:
                octets, source = await socket.recvfrom(_MOST_OCTETS)
                report = self._decoder.decode(octets)
            except msgspec.MsgspecError as error:
                self._core.counts.add("malformed_reports_total")
                logger.warning("Dropped a report: %s.", error)
                continue
            except OSError as error:
                self._core.counts.add("report_errors_total")
                logger.debug("Can't receive reports: %s.", error)
                continue
            address = flows.Endpoint(source[0], source[1])
            now = time.monotonic()
            self._book.take(address, report, now)
            for named in report.peers:
                self._book.add(named, now)

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
        heard = (peer.address for peer in self._book.heard())
        snapshot = self._core.entries.make_snapshot(tuple(heard))
        try:
            with trio.fail_after(_PULL_LIMIT_S):
                await stream.send_all(self._encoder.encode(snapshot))
        except (trio.BrokenResourceError, trio.TooSlowError) as error:
            logger.debug("A peer did not take its snapshot: %s.", error)
        await trio.aclose_forcefully(stream)
