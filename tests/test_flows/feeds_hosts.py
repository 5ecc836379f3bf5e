"""A fake host with real feeds and fakes of its other components."""

from __future__ import annotations

import trio

from persimmonhinge.coap import codec
from persimmonhinge.contracts import store
from persimmonhinge.flows import feeds
from persimmonhinge.flows import port
from persimmonhinge.membership import placement
from persimmonhinge.membership import view
from persimmonhinge.metrics import counts
from tests.test_flows import feeds_chooser
from tests.test_flows import feeds_network
from tests.test_flows import feeds_values
from tests.test_flows import feeds_world


class Host:
    """A host with real feeds and fakes of its other components."""

    def __init__(
        self, world: feeds_world.World, name: str, names: tuple[str, ...]
    ) -> None:
        self.world = world
        self.name = name
        self.view = view.View(feeds_values.make_member(name))
        for other in names:
            if other != name:
                self.view.put(feeds_values.make_member(other))
        self.placement = placement.Placement(self.view)
        self.contracts = store.ContractStore()
        self.counts = counts.Counts()
        self.scope = trio.CancelScope()
        self.network = feeds_network.FakeNetwork(self)
        self.chooser = feeds_chooser.FakeChooser(world)
        self.feeds = feeds.Feeds(
            feeds_values.make_settings(name),
            self.view,
            self.placement,
            self.contracts,
            self.network,
            FakeAnswers(self),
            self.chooser,
            self.counts,
            world.random,
        )
        world.hosts[name] = self

    def is_home(self) -> bool:
        """Returns whether this host is home of the flow in its own view."""
        ranked = self.placement.rank_homes(
            feeds_values.FLOW.service, feeds_values.FLOW.caller
        )
        return bool(ranked) and ranked[0].host == self.name

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Runs the feeds of this host."""
        with self.scope:
            await self.feeds.run(task_status)

    def crash(self) -> None:
        """Crashes the host: its streams close and it sends no more."""
        self.world.down_hosts.add(self.name)
        self.scope.cancel()

    def register(self, message: codec.Message | None = None) -> None:
        """Registers the feed by a request, a new one by default."""
        entry = self.contracts.get(feeds_values.SERVICE)
        assert entry is not None
        message = message or self.world.caller.make_get()
        self.feeds.open(
            feeds_values.FLOW, message, entry, entry.contract.call_classes[0]
        )


class FakeAnswers:
    """Sends the answers of a host to the fake caller."""

    def __init__(self, host: Host) -> None:
        self._host = host

    def next_message_id(self, flow: port.Flow) -> int:
        """Returns a new message id."""
        return self._host.world.caller.next_id()

    def send(self, flow: port.Flow, message: codec.Message) -> None:
        """Delivers a message to the caller unless the host has crashed."""
        if self._host.name not in self._host.world.down_hosts:
            self._host.world.caller.receive(self._host, message)
