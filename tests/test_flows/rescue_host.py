"""A fake host with real feeds and keepers on a fake network."""

from __future__ import annotations

import dataclasses
from typing import Any

import trio

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.coap import transmission
from persimmonhinge.contracts import contract
from persimmonhinge.contracts import store
from persimmonhinge.flows import feeds
from persimmonhinge.flows import port
from persimmonhinge.membership import member as member_module
from persimmonhinge.membership import placement as placement_module
from persimmonhinge.membership import view
from persimmonhinge.metrics import counts
from persimmonhinge.upstreams import keeper as keeper_module
from tests.test_flows import feeds_values
from tests.test_flows import rescue_links
from tests.test_flows import rescue_network
from tests.test_flows import rescue_world

_TIMERS = transmission.Transmission(ack_timeout_s=0.2)


class RescueHost:
    """A host that runs the real feeds and keepers on a fake network.

    Attributes:
        wire: Wire from this host to the caller.
    """

    def __init__(
        self, world: rescue_world.RescueWorld, me: member_module.Member
    ) -> None:
        self.name = me.host
        self.is_up = True
        self.wire = rescue_links.Wire()
        self.view = view.View(me)
        self.contracts = store.ContractStore(trio.current_time)
        self.counts = counts.Counts()
        self.network = rescue_network.WorldNetwork(world, me.host)
        self.nursery: trio.Nursery
        self._world = world
        settings = feeds_values.make_settings(me.host)
        placement = placement_module.Placement(self.view)
        self.placement = placement
        self.feeds = feeds.Feeds(
            settings,
            self.view,
            placement,
            self.contracts,
            self.network,
            self,
            _FirstChooser(self),
            self.counts,
            world.random,
        )
        self.keepers = keeper_module.Keeper(
            settings,
            self.view,
            placement,
            self.contracts,
            self.network,
            self.counts,
            open_socket=world.open_socket,
            timers=_TIMERS,
        )

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Runs feeds and keepers until the host is killed."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await nursery.start(self.keepers.run)
            await nursery.start(self.feeds.run)
            task_status.started()
            await trio.sleep_forever()

    def register(self, message: codec.Message | None = None) -> None:
        """Registers the caller's feed, by a new request by default."""
        entry = self.contracts.get(feeds_values.SERVICE)
        assert entry is not None
        self.feeds.open(
            self._world.caller.flow,
            message or self._world.caller.make_get(),
            entry,
            entry.contract.call_classes[0],
        )

    def next_message_id(self, flow: port.Flow) -> int:
        """Returns a new message id."""
        return self._world.caller.next_id()

    def send(self, flow: port.Flow, message: codec.Message) -> None:
        """Sends a datagram to the caller."""
        data = codec.encode(message)
        if self.is_up:
            self.wire.send(lambda: self._world.caller.receive(self, data))

    def update_member(self, member: member_module.Member) -> None:
        """Updates a host in the view; breaks the links to a dead host."""
        self.view.put(member)
        if not member.is_alive and member.host != self.name:
            self.network.break_links(member.host)

    def start_new_incarnation(self) -> member_module.Member:
        """Starts a new incarnation, as a host that was declared dead does."""
        former = self.view.self_member
        present = dataclasses.replace(
            former, incarnation=ids.Incarnation(former.incarnation + 1)
        )
        self.keepers.record_incarnation(former, present)
        self.view.put(present)
        return present


class _FirstChooser:
    """Chooses the first active upstream that is not excluded."""

    def __init__(self, host: RescueHost) -> None:
        self._host = host

    def choose(
        self,
        entry: store.ContractEntry,
        kind: contract.CallKind,
        *,
        exclude: frozenset[ids.UpstreamId] = frozenset(),
        keeper_refs: frozenset[ids.HostRef] | None = None,
    ) -> port.Choice | None:
        """Chooses the first active upstream that has a keeper in the view."""
        for upstream in entry.contract.upstreams:
            if upstream.state is not contract.UpstreamState.ACTIVE:
                continue
            if upstream.id in exclude:
                continue
            key = ids.UpstreamId(f"{feeds_values.SERVICE}/{upstream.id}")
            keeper = self._host.placement.find_keeper(key, upstream.domain)
            if keeper is not None:
                return port.Choice(upstream, keeper.host, keeper.ref)
        return None

    def pick_keepers(
        self, entry: store.ContractEntry, count: int
    ) -> tuple[ids.HostRef, ...]:
        """Is not used by feeds."""
        return ()

    def record_load(self, *args: Any) -> None:
        """Ignores loads."""

    def record_start(self, *args: Any) -> None:
        """Ignores loads."""

    def record_end(self, *args: Any) -> None:
        """Ignores loads."""
