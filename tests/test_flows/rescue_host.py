"""One host with the product's feeds and keepers between fakes."""

from __future__ import annotations

import dataclasses
from typing import Any

import trio

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.coap import transmission
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import store
from persimmonhinge.flows import feeds
from persimmonhinge.flows import port
from persimmonhinge.membership import member as members
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.upstreams import keeper as keepers
from tests.test_flows import feeds_values
from tests.test_flows import rescue_links
from tests.test_flows import rescue_network
from tests.test_flows import rescue_world

_TIMERS = transmission.Transmission(ack_timeout_s=0.2)


class RescueHost:
    """One host with the product's feeds and keepers between fakes.

    Attributes:
        wire: What it sends to the caller.
    """

    def __init__(
        self, world: rescue_world.RescueWorld, me: members.Member
    ) -> None:
        self.name = me.host
        self.is_up = True
        self.wire = rescue_links.Wire()
        self.view = views.View(me)
        self.contracts = store.ContractStore(trio.current_time)
        self.counts = host_counts.Counts()
        self.network = rescue_network.WorldNetwork(world, me.host)
        self.nursery: trio.Nursery
        self._world = world
        settings = feeds_values.make_settings(me.host)
        placement = placements.Placement(self.view)
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
        self.keepers = keepers.Keepers(
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
        """Runs the parts until the host dies."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await nursery.start(self.keepers.run)
            await nursery.start(self.feeds.run)
            task_status.started()
            await trio.sleep_forever()

    def register(self, message: codec.Message | None = None) -> None:
        """Takes a registration of the caller."""
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
            self.wire.carry(lambda: self._world.caller.take(self, data))

    def put(self, member: members.Member) -> None:
        """Takes in what is believed of a host; links to a dead one break."""
        self.view.put(member)
        if not member.is_alive and member.host != self.name:
            self.network.lose(member.host)

    def become_new(self) -> members.Member:
        """Becomes a new incarnation, as a host that was given up does."""
        former = self.view.self_member
        present = dataclasses.replace(
            former, incarnation=ids.Incarnation(former.incarnation + 1)
        )
        self.keepers.note_incarnation(former, present)
        self.view.put(present)
        return present


class _FirstChooser:
    """Chooses the first active upstream that is not excluded."""

    def __init__(self, host: RescueHost) -> None:
        self._host = host

    def choose(
        self,
        entry: store.ContractEntry,
        kind: contracts.CallKind,
        *,
        exclude: frozenset[ids.UpstreamId] = frozenset(),
        keeper_refs: frozenset[ids.HostRef] | None = None,
    ) -> port.Choice | None:
        """Chooses among the active upstreams whose keeper answers."""
        for upstream in entry.contract.upstreams:
            if upstream.state is not contracts.UpstreamState.ACTIVE:
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
        """Takes no account of loads."""

    def record_start(self, *args: Any) -> None:
        """Takes no account of loads."""

    def record_end(self, *args: Any) -> None:
        """Takes no account of loads."""
