"""The hosts, upstreams and caller of one test of feeds."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING

import trio

from persimmonhinge import ids
from persimmonhinge.peers.messages import control
from tests.test_flows import feeds_caller
from tests.test_flows import feeds_upstreams
from tests.test_flows import feeds_values

if TYPE_CHECKING:
    from tests.test_flows import feeds_hosts


class World:
    """The hosts, upstreams and caller of one test.

    Attributes:
        random: Source of the random choices of the test.
        upstreams: Upstreams by name.
        hosts: Hosts by name.
        down_hosts: Names of the hosts that have crashed.
        caller: The caller.
        revision: Revision of the newest contract.
    """

    def __init__(self, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.upstreams = {
            u: feeds_upstreams.FakeUpstream(f"k-{u}")
            for u in feeds_values.UPSTREAMS
        }
        self.hosts: dict[str, feeds_hosts.Host] = {}
        self.down_hosts: set[str] = set()
        self.caller = feeds_caller.FakeCaller(self)
        self.revision = 0

    def publish(self, tick: int) -> None:
        """Publishes a new state at all upstreams at once."""
        for upstream in self.upstreams.values():
            upstream.publish(tick)

    async def publish_with_lags(self, tick: int) -> None:
        """Publishes a new state at each upstream after its lag."""
        async with trio.open_nursery() as nursery:
            for upstream in self.upstreams.values():
                upstream.unpublished.append(tick)
                nursery.start_soon(upstream.publish_late)

    async def spread_member(self, host: str, state: feeds_values.State) -> None:
        """Updates the state of a host in all views, after random delays."""
        for other in self.list_live_hosts():
            other.view.put(feeds_values.make_member(host, state))
            await trio.sleep(self.random.uniform(0, 0.2))

    def set_contract(self, *draining: str) -> None:
        """Puts a contract in force in which the named upstreams drain."""
        self.revision += 1
        body = json.dumps(
            feeds_values.make_contract(frozenset(draining))
        ).encode()
        self._offer(body)

    def delete_contract(self) -> None:
        """Deletes the contract."""
        self.revision += 1
        self._offer(b"")

    def _offer(self, body: bytes) -> None:
        revision = ids.Revision(self.revision)
        for host in self.hosts.values():
            record = control.ContractRecord(
                feeds_values.SERVICE, revision, body
            )
            host.contracts.offer(record)

    def count_feeds(self) -> int:
        """Returns the number of feeds in the tables of all live hosts."""
        return sum(host.feeds.count() for host in self.list_live_hosts())

    def list_live_hosts(self) -> list[feeds_hosts.Host]:
        """Returns the hosts that have not crashed."""
        return [h for h in self.hosts.values() if h.name not in self.down_hosts]

    def count_streams(self) -> int:
        """Returns the number of streams open at all upstreams."""
        return sum(len(u.open_streams()) for u in self.upstreams.values())

    def is_unreachable(self, host: str) -> bool:
        """Returns whether a host is unknown or has crashed."""
        keepers = {u.keeper for u in self.upstreams.values()}
        return host in self.down_hosts or host not in {*self.hosts, *keepers}

    def find_home(self) -> feeds_hosts.Host:
        """Returns the host that is home of the flow in its own view."""
        for host in self.list_live_hosts():
            if host.is_home():
                return host
        raise AssertionError("no host is home")
