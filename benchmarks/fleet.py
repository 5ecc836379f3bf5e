"""Hosts of a fleet that report to each other, on a clock of its own.

No links and no processor time are played; one datagram in fifty is lost. Hosts
start within 0.3 s of each other and know three of them.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Iterable
import contextlib
import functools
import random
import socket
import time
from unittest import mock

import msgspec
import trio
import trio.testing

from benchmarks import fleet_store
from persimmonhinge import errors
from persimmonhinge.forwarding import core as cores
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import follower as followers
from persimmonhinge.forwarding import settings as forward_settings
from persimmonhinge.forwarding.peers import channel as channels
from persimmonhinge.forwarding.peers import follower_role
from persimmonhinge.forwarding.peers import pulls
from persimmonhinge.forwarding.peers import reporter
from persimmonhinge.forwarding.peers import service as services
from persimmonhinge.forwarding.peers import snapshot_server
from persimmonhinge.platform import adapter

_PORT = 7720
_SEEDS = 3
_LOST = 0.02
_START_S = 0.3
# Limit of a drain and of a change at the large sites, milliseconds.
_LIMIT_MS = 6_000


class Host:
    """One host: what it knows, and the parts that report and hear."""

    def __init__(
        self, number: int, domain: str, seeds: list[str], bound: socket.socket
    ) -> None:
        self.address = f"10.0.{number // 250}.{number % 250 + 1}"
        self.domain = domain
        settings = forward_settings.parse(
            msgspec.json.encode(
                {
                    "host": f"host-{domain}-{number}",
                    "domain": domain,
                    "packets": f"{self.address}:1",
                    "pages": f"{self.address}:2",
                    "peer_ports": [_PORT, _PORT + 15],
                    "seeds": [f"{seed}:9" for seed in seeds],
                    "store": {"address": "10.9.9.9:9"},
                    "drain_limit_ms": _LIMIT_MS,
                    "change_limit_ms": _LIMIT_MS,
                }
            )
        )
        self.core = cores.ForwardCore(
            settings,
            bound,
            adapter.PacketFormat(),
            adapter.EntryFormat(),
        )
        self.role = follower_role.FollowerRole(
            settings.host,
            domain,
            self.core.peers,
            self.core.knowledge,
            settings.max_current_age_s,
            0.0,
        )
        self.service = services.PeerService(self.core, self.role)
        self.reporter = reporter.Reporter(self.core, self.role)
        self.server = snapshot_server.SnapshotServer(self.core)
        self.scope = trio.CancelScope()

    @property
    def endpoint(self) -> flows.Endpoint:
        """Where it receives reports."""
        return flows.Endpoint(self.address, _PORT)

    def prepare(self) -> None:
        """Has it know its seeds."""
        now = trio.current_time()
        for seed in self.core.settings.seed_addresses():
            self.core.peers.add(flows.Endpoint(seed, _PORT), now)

    def give_work(self) -> None:
        """Has it have a request at each upstream."""
        for upstream in self.core.knowledge.directory.list_all():
            self.core.loads.record_request_start(upstream.id)

    async def follow(self, store: fleet_store.StoreWay) -> None:
        """Reads the store, and follows it while that is its turn."""
        follower = followers.Follower(
            store,  # type: ignore[arg-type]
            self.core.entries,
            self.role,
            self.core.settings.coalesce_s,
        )
        await follower.run()

    def count_heard(self) -> int:
        """Returns the hosts of its domain that it hears."""
        heard = self.core.peers.list_reporting()
        return sum(peer.domain == self.domain for peer in heard)


class Channel(channels.PeerChannel):
    """Carries datagrams of one host."""

    def __init__(self, fleet: Fleet, host: Host) -> None:
        self._fleet = fleet
        self._host = host

    async def send_all(
        self, octets: bytes, addresses: Iterable[flows.Endpoint]
    ) -> None:
        """See `channel.PeerChannel`."""
        for address in addresses:
            self._fleet.deliver(self._host, address, octets)


class Fleet:
    """Hosts that report to each other.

    Attributes:
        hosts: The hosts.
        store: The platform's store.
        cut_domain: Failure domain that is cut off from others and from the
            store; empty for none.
        refused: Addresses of hosts that the store refuses.
        octets_near: Octets of reports within domains.
        octets_far: Octets of reports between domains.
        silent: How often a host took another one for silent, by whether both
            are of one domain.
    """

    def __init__(self, count: int, domains: int, seed: int) -> None:
        """Makes the hosts; nothing runs before `run`.

        Args:
            count: Number of hosts.
            domains: Number of failure domains.
            seed: Seed of starts and losses.
        """
        self._random = random.Random(seed)
        seeds = [f"10.0.0.{number + 1}" for number in range(_SEEDS)]
        # No packet of flows comes here, so all hosts may have the same socket.
        bound = socket.socket(type=socket.SOCK_DGRAM)
        bound.bind(("127.0.0.1", 0))
        self.hosts = [
            Host(number, f"domain-{number % domains}", seeds, bound)
            for number in range(count)
        ]
        self._by_address = {host.address: host for host in self.hosts}
        self._bound = bound
        self._seeds = seeds
        self.store = fleet_store.Store()
        self.cut_domain = ""
        self.refused: set[str] = set()
        self._started: set[str] = set()
        self._nursery: trio.Nursery | None = None
        self.octets_near = 0
        self.octets_far = 0
        self.silent = {True: 0, False: 0}

    def deliver(
        self, sender: Host, address: flows.Endpoint, octets: bytes
    ) -> None:
        """Has a report come at a host, unless it is lost."""
        receiver = self._by_address[address.host]
        if receiver.domain == sender.domain:
            self.octets_near += len(octets)
        else:
            self.octets_far += len(octets)
        if address.host not in self._started or self._random.random() < _LOST:
            return
        if self._is_cut(sender, receiver):
            return
        receiver.service.handle_datagram(octets, sender.endpoint)

    async def run(self) -> None:
        """Runs all hosts until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for host in self.hosts:
                nursery.start_soon(self._run_host, host)

    def stop(self, host: Host) -> None:
        """Takes the power from a host."""
        self._started.discard(host.address)
        host.scope.cancel()

    def list_running(self) -> list[Host]:
        """Returns the hosts that have power."""
        return [host for host in self.hosts if not host.scope.cancel_called]

    def restart(self, host: Host) -> Host:
        """Starts a host that lost power anew; returns its new process."""
        number = self.hosts.index(host)
        new = Host(number, host.domain, self._seeds, self._bound)
        self.hosts[number] = self._by_address[new.address] = new
        assert self._nursery is not None
        self._nursery.start_soon(self._run_host, new)
        return new

    def _is_cut(self, one: Host, other: Host) -> bool:
        ends = {one.domain, other.domain}
        return len(ends) > 1 and self.cut_domain in ends

    async def connect(self, address: str, port: int) -> trio.abc.Stream:
        """Opens a connection to a host, in place of one over TCP.

        Who asks is not told, so cuts do not stop it.
        """
        asked = self._by_address[address]
        if address not in self._started:
            await trio.sleep_forever()
        assert self._nursery is not None
        ours, theirs = trio.testing.memory_stream_pair()
        self._nursery.start_soon(self._serve, asked, theirs)
        return ours

    async def _serve(self, asked: Host, stream: trio.abc.Stream) -> None:
        await asked.server.answer(stream, asked.address)
        await stream.aclose()

    async def _run_host(self, host: Host) -> None:
        await trio.sleep(self._random.uniform(0.0, _START_S))
        self._started.add(host.address)
        channel = Channel(self, host)
        store = fleet_store.StoreWay(
            self.store,
            host.core.settings.watch_wait_s,
            lambda: host.domain == self.cut_domain,
            lambda: host.address in self.refused,
        )
        with host.scope:
            with contextlib.suppress(errors.PlatformError):
                await host.core.entries.read_all(store)  # type: ignore[arg-type]
            host.prepare()
            host.give_work()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(host.reporter.send_local_reports, channel)
                nursery.start_soon(host.reporter.send_remote_reports, channel)
                nursery.start_soon(host.service.send_updates, channel)
                nursery.start_soon(host.follow, store)
                nursery.start_soon(pulls.SnapshotPuller(host.core).run)
                nursery.start_soon(
                    host.service.expire_silent_hosts,
                    functools.partial(self._count_silent, host),
                )

    def _count_silent(self, host: Host, address: flows.Endpoint) -> None:
        is_near = self._by_address[address.host].domain == host.domain
        self.silent[is_near] += 1


@contextlib.asynccontextmanager
async def run_fleet(fleet: Fleet) -> AsyncIterator[trio.Nursery]:
    """Runs a fleet meanwhile, by the clock of the event loop.

    Yields:
        The nursery of the hosts, which is cancelled in the end.
    """
    with (
        mock.patch.object(time, "monotonic", trio.current_time),
        mock.patch.object(trio, "open_tcp_stream", fleet.connect),
    ):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.run)
            yield nursery
            nursery.cancel_scope.cancel()
