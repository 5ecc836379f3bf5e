"""Many control parts in one process, on fakes of platform and network."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import random

import trio

from persimmonhinge import ids
from persimmonhinge.contracts import control as controls
from persimmonhinge.contracts import drains as drain_stores
from persimmonhinge.contracts import store as contract_stores
from persimmonhinge.keys import store as key_stores
from persimmonhinge.membership import member as members
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.settings import entry
from persimmonhinge.store import keys
from tests.test_contracts import fake_network
from tests.test_contracts import fake_platform

DOMAINS = 3
PREFIX = "/test/"


@dataclasses.dataclass
class FleetHost:
    """One host of a fleet."""

    member: members.Member
    view: views.View
    contracts: contract_stores.ContractStore
    keys: key_stores.KeyStore
    drains: drain_stores.DrainStore
    counts: host_counts.Counts
    control: controls.Control
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )

    async def run(self) -> None:
        """Runs the host until it is stopped."""
        with self.scope:
            await self.control.run()

    def stop(self) -> None:
        """Ends the host, as by a crash."""
        self.scope.cancel()


class Fleet:
    """Hosts that all know each other.

    Attributes:
        platform: The platform that they share.
        links: The links between them.
        hosts: The hosts by name.
    """

    def __init__(
        self, nursery: trio.Nursery, count: int, seed: int = 1
    ) -> None:
        self.platform = fake_platform.FakePlatform()
        self.links = fake_network.FakeLinks(nursery, seed)
        self.hosts: dict[str, FleetHost] = {}
        self._nursery = nursery
        self._seed = seed
        self._members = [_make_member(number) for number in range(count)]
        for member in self._members:
            self.hosts[member.host] = self._make_host(member)

    async def start(self, settle_s: float = 5.0) -> None:
        """Runs all hosts and gives them time to synchronize."""
        for host in self.hosts.values():
            self._nursery.start_soon(host.run)
        await trio.sleep(settle_s)

    async def restart(self, name: str) -> FleetHost:
        """Replaces a host by a new one that knows nothing."""
        self.hosts[name].stop()
        self.hosts[name] = self._make_host(self.hosts[name].member)
        self._nursery.start_soon(self.hosts[name].run)
        return self.hosts[name]

    def watchers(self) -> list[FleetHost]:
        """Returns the hosts that hold the watch or try to."""
        return [
            host
            for host in self.hosts.values()
            if host.control.report().platform != "idle"
        ]

    def _make_host(self, member: members.Member) -> FleetHost:
        view = views.View(member)
        for other in self._members:
            view.put(other)
        contracts = contract_stores.ContractStore(trio.current_time)
        key_store = key_stores.KeyStore(trio.current_time)
        drains = drain_stores.DrainStore()
        counts = host_counts.Counts()
        control = controls.Control(
            _make_settings(member),
            view,
            placements.Placement(view),
            contracts,
            key_store,
            drains,
            self.links.add(member.host),
            self.platform.client(member.host),
            counts,
            random.Random(f"{self._seed} {member.host}"),
        )
        return FleetHost(
            member, view, contracts, key_store, drains, counts, control
        )

    def names(self, domain: int) -> set[str]:
        """Returns the hosts of a domain."""
        return {
            h.member.host
            for h in self.hosts.values()
            if h.member.domain == f"d{domain}"
        }

    def apply(self, service: str, *, port: int = 7000) -> int:
        """Writes a contract as operators do; returns its revision."""
        return self.platform.put(
            keys.contract_key(PREFIX, ids.ServiceName(service)),
            make_value(service, port=port),
        )

    def delete(self, service: str) -> int:
        """Deletes a contract; returns the revision of the delete."""
        key = keys.contract_key(PREFIX, ids.ServiceName(service))
        return self.platform.put(key, None)

    def revisions(self, service: str) -> list[int]:
        """Returns the revision of a service at each host."""
        return [
            h.contracts.revisions().get(service, 0) for h in self.hosts.values()
        ]

    def knows(self, service: str, revision: int) -> bool:
        """Tells whether all hosts have a revision in force."""
        return set(self.revisions(service)) == {revision}


@contextlib.asynccontextmanager
async def run_fleet(count: int, seed: int = 1) -> AsyncIterator[Fleet]:
    """Runs a fleet that has settled, until the block ends."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, count, seed)
        await fleet.start()
        yield fleet
        nursery.cancel_scope.cancel()


def make_body(service: str, *, port: int = 7000) -> dict[str, object]:
    """Returns a contract as operators write it."""
    return {
        "service": service,
        "address": f"127.0.0.1:{port}",
        "upstreams": [
            {
                "id": f"u{number}",
                "address": f"127.0.1.{number + 1}:{port}",
                "domain": f"d{number % DOMAINS}",
                "slots": 2,
            }
            for number in range(3)
        ],
        "call_classes": [{"name": "get", "method": "GET", "path": "/*"}],
    }


def make_value(service: str, *, port: int = 7000) -> bytes:
    """Returns the value of a contract's key."""
    stored = {
        "contract": make_body(service, port=port),
        "request_id": "r1",
        "operator": "someone",
        "written_at": "2024-01-01T00:00:00Z",
    }
    return json.dumps(stored).encode()


def _make_member(number: int) -> members.Member:
    return members.Member(
        host=ids.HostId(f"h{number}"),
        domain=ids.DomainId(f"d{number % DOMAINS}"),
        address="127.0.0.1",
        peer_port=1,
        heartbeat_port=1,
        incarnation=ids.Incarnation(1),
    )


def _make_settings(member: members.Member) -> entry.EntrySettings:
    ports = {"port": 1, "heartbeat_port": 1}
    return entry.EntrySettings.model_validate(
        {
            "host": member.host,
            "domain": member.domain,
            "peers": ports,
            "seeds": [{"host": "h0", "domain": "d0", **ports}],
            "platform": {"endpoints": ["http://none:1"], "prefix": PREFIX},
        }
    )
