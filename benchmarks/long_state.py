"""How soon a long desired state and a drain reach all hosts of a domain.

    python -m benchmarks.long_state [--hosts N] [--mbit-s R] [--octets N]
        [--at-a-time N] [--seeds N]

Plays hosts with the real parts that report, ask and answer, on a clock of its
own; what carries octets between them is one link of the rate for each host and
direction. Host 0 follows the store. It is told of a desired state of so many
octets that can't be compressed, and 0.3 s later that an upstream leaves; it
tells the others by news, of which one in fifty is lost. Processor time is not
played. Prints one JSON object: after how many seconds half of the hosts, nine
of ten and all of them know, means over the seeds.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterable
import functools
import json
import logging
import random
import statistics
from typing import NamedTuple
from unittest import mock

import msgspec
import trio
import trio.testing

from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.forwarding.peers import channel as channels
from persimmonhinge.forwarding.peers import entry_updates as news_packs
from persimmonhinge.forwarding.peers import follower_role
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import pulls
from persimmonhinge.forwarding.peers import reporter
from persimmonhinge.forwarding.peers import snapshot_server
from persimmonhinge.store import port
from tests.support import trios
from tests.test_forwarding import test_forwarding_entry_replica as readers
from tests.test_forwarding import test_forwarding_peers_early_pull as hosts

_PORT = 7721
_PACKET_OCTETS = 1_400
_OCTETS_PER_MBIT = 125_000
_LOST = 0.02
_DRAIN_AFTER_S = 0.3
_SETTLE_S = 5.0
_LONGEST_S = 60.0
_POLL_S = 0.01
_SHARES = (0.5, 0.9, 1.0)
_KEY = readers.make_key("1")


class Link:
    """One direction of a host's link; what comes first goes first."""

    def __init__(self, octets_per_s: float) -> None:
        self._octets_per_s = octets_per_s
        self._free_at = 0.0

    async def carry(self, octets: int) -> None:
        """Returns once so many octets have passed."""
        for start in range(0, octets, _PACKET_OCTETS):
            packet = min(_PACKET_OCTETS, octets - start)
            begins_at = max(self._free_at, trio.current_time())
            self._free_at = begins_at + packet / self._octets_per_s
            await trio.sleep_until(self._free_at)


class LinkStream(trio.abc.Stream):
    """One end of a connection over the links of two hosts."""

    def __init__(
        self, inner: trio.abc.Stream, out: Link, into: Link, peer: str
    ) -> None:
        self._inner = inner
        self._out = out
        self._into = into
        self.peer = peer

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Sends octets as the links let them pass."""
        for start in range(0, len(data), _PACKET_OCTETS):
            packet = data[start : start + _PACKET_OCTETS]
            await self._out.carry(len(packet))
            await self._into.carry(len(packet))
            await self._inner.send_all(packet)

    async def wait_send_all_might_not_block(self) -> None:
        """See `trio.abc.SendStream`."""

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Returns octets that came."""
        return bytes(await self._inner.receive_some(max_bytes))

    async def aclose(self) -> None:
        """Closes this end."""
        await self._inner.aclose()


class Host:
    """One host: what it knows, and the parts that tell it others."""

    def __init__(self, number: int, octets_per_s: float) -> None:
        self.address = f"10.0.{number // 250}.{number % 250 + 1}"
        self.core = hosts.make_core(_PORT, self.address)
        self.out = Link(octets_per_s)
        self.into = Link(octets_per_s)
        self.server = snapshot_server.SnapshotServer(self.core)
        self.knew_at: dict[str, float] = {}

    @property
    def endpoint(self) -> flows.Endpoint:
        """Where it receives reports."""
        return flows.Endpoint(self.address, self.core.settings.report_port)

    def look(self) -> None:
        """Notes what it has come to know."""
        state = self.core.knowledge.state
        if state is not None and state.version > 1:
            self.knew_at.setdefault("state", trio.current_time())
        for upstream in self.core.knowledge.directory.list_all():
            if upstream.state is upstreams.UpstreamState.DRAINING:
                self.knew_at.setdefault("drain", trio.current_time())


class Channel(channels.PeerChannel):
    """Carries datagrams of one host."""

    def __init__(self, play: Play, host: Host) -> None:
        self._play = play
        self._host = host

    async def send_all(
        self, octets: bytes, addresses: Iterable[flows.Endpoint]
    ) -> None:
        """See `channel.PeerChannel`."""
        for address in addresses:
            await self._host.out.carry(len(octets))
            self._play.deliver(self._host, address, octets)


class Play:
    """One run."""

    def __init__(self, arguments: argparse.Namespace, seed: int) -> None:
        rate = arguments.mbit_s * _OCTETS_PER_MBIT
        self._random = random.Random(seed)
        self._octets = arguments.octets
        self._hosts = [Host(number, rate) for number in range(arguments.hosts)]
        self._by_address = {host.address: host for host in self._hosts}
        self._nursery: trio.Nursery | None = None

    def deliver(
        self, sender: Host, address: flows.Endpoint, octets: bytes
    ) -> None:
        """Has a datagram come at a host, unless it is lost."""
        if self._random.random() < _LOST:
            return
        core = self._by_address[address.host].core
        message = msgspec.msgpack.decode(
            octets, type=messages.Report | messages.EntryUpdate
        )
        if isinstance(message, messages.EntryUpdate):
            core.entries.apply_update(message, sender.address)
        else:
            core.peers.apply_report(
                sender.endpoint, message, trio.current_time()
            )

    async def connect(self, address: str, port: int) -> LinkStream:
        """Opens a connection to a host, in place of one over TCP."""
        assert self._nursery is not None
        asked = self._by_address[address]
        ours, theirs = trio.testing.memory_stream_pair()
        # Requests are a packet; what an answer takes is on the asked host's
        # link, as it gives to several at a time.
        free = Link(float("inf"))
        self._nursery.start_soon(
            self._serve, asked, LinkStream(theirs, asked.out, free, address)
        )
        return LinkStream(ours, free, free, address)

    async def _serve(self, asked: Host, stream: LinkStream) -> None:
        await asked.server.answer(stream, stream.peer)
        await stream.aclose()

    async def run(self) -> dict[str, list[float]]:
        """Plays; returns when each host knew, by what it knew."""
        first, *_ = self._hosts
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for host in self._hosts:
                self._start(host, nursery)
            await trio.sleep(_SETTLE_S)
            state_at = trio.current_time()
            await self._tell(first, "op/config", self._make_state(), 30)
            await trio.sleep(_DRAIN_AFTER_S)
            drain_at = trio.current_time()
            await self._tell(first, _KEY, readers.make_entry("draining"), 40)
            with trio.move_on_after(_LONGEST_S):
                await self._wait_until_known()
            nursery.cancel_scope.cancel()
        began_at = {"state": state_at, "drain": drain_at}
        return {
            what: sorted(
                host.knew_at.get(what, state_at + _LONGEST_S) - at
                for host in self._hosts
            )
            for what, at in began_at.items()
        }

    def _start(self, host: Host, nursery: trio.Nursery) -> None:
        core = host.core
        for other in self._hosts:
            if other is not host:
                core.peers.add(other.endpoint, 0.0)
        for event in (
            port.WatchEvent("op/config", readers.make_state(1), 10),
            port.WatchEvent(_KEY, readers.make_entry(), 20),
        ):
            core.entries.apply_batch([event])
        role = follower_role.FollowerRole(
            core.settings.host, "north", core.peers, core.knowledge, 3.2, 0.0
        )
        tell = reporter.Reporter(core, role)
        nursery.start_soon(tell.send_local_reports, Channel(self, host))
        nursery.start_soon(tell.send_remote_reports, Channel(self, host))
        nursery.start_soon(pulls.SnapshotPuller(core).run)

    async def _tell(
        self, first: Host, key: str, value: bytes, revision: int
    ) -> None:
        entries = first.core.entries
        before = entries.revision
        entries.apply_batch([port.WatchEvent(key, value, revision)])
        first.look()
        lines = [line for line in entries.make_snapshot(before, ()).entries]
        for news in news_packs.split_into_updates(before, True, lines):
            if key == entries.state_key:
                news = news_packs.omit_desired_state(news, key)
            octets = msgspec.msgpack.encode(news)
            others = [host.endpoint for host in self._hosts[1:]]
            await Channel(self, first).send_all(octets, others)

    async def _wait_until_known(self) -> None:
        while any(len(host.knew_at) < 2 for host in self._hosts):
            await trio.sleep(_POLL_S)
            for host in self._hosts:
                host.look()

    def _make_state(self) -> bytes:
        # Four bits a digit: half of the digits are left once compressed.
        digits = f"{self._random.getrandbits(8 * self._octets):x}"
        return json.dumps(
            {"Version": 2, "Routes": [], "Notes": digits}
        ).encode()


class Figures(NamedTuple):
    """When hosts knew, seconds after it was told.

    Attributes:
        half: Half of them.
        most: Nine of ten.
        all: All of them.
    """

    half: float
    most: float
    all: float


def summarize(runs: list[list[float]]) -> Figures:
    """Returns the means over runs of when shares of the hosts knew."""
    means = []
    for share in _SHARES:
        at = [times[max(int(share * len(times)) - 1, 0)] for times in runs]
        means.append(round(statistics.mean(at), 2))
    return Figures(*means)


def main() -> None:
    """Reads the command line, plays and prints."""
    logging.disable()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=24)
    parser.add_argument("--mbit-s", type=float, default=10.0)
    parser.add_argument("--octets", type=int, default=100_000)
    parser.add_argument("--at-a-time", type=int, default=4)
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    runs: list[dict[str, list[float]]] = []

    async def play(seed: int) -> None:
        run = Play(arguments, seed)
        with mock.patch.object(trio, "open_tcp_stream", run.connect):
            runs.append(await run.run())

    limit = arguments.at_a_time
    with mock.patch.object(snapshot_server, "_MAX_LONG_ANSWERS", limit):
        for seed in range(1, arguments.seeds + 1):
            trios.run_in_order(seed, functools.partial(play, seed))
    figures = {
        what: summarize([run[what] for run in runs])._asdict()
        for what in ("state", "drain")
    }
    print(json.dumps({**vars(arguments), **figures}))


if __name__ == "__main__":
    main()
