"""Hosts that run membership on an in-memory network or on loopback."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math
import random
from typing import Any

import trio
import trio.testing

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import member as member_module
from persimmonhinge.membership import service
from persimmonhinge.membership import view as view_module
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.settings import entry
from tests.test_membership import lossy_network

DOMAINS = ("dom-a", "dom-b", "dom-c")
_PORT = 7000


@dataclasses.dataclass
class Host:
    """One running host.

    Attributes:
        name: Name of the host.
        settings: Settings of the host.
        view: The host's view of all hosts.
        counts: Counters of the host.
        membership: The membership service under test.
        scope: Cancel scope that stops the host.
        error: Error that stopped the host; None if there was none.
    """

    name: ids.HostId
    settings: entry.EntrySettings
    view: view_module.View
    counts: counts_module.Counts
    membership: service.Membership
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    error: errors.PersimmonhingeError | None = None

    def states(self) -> dict[str, str]:
        """Returns the state of each host in the view, by host name."""
        return {m.host: m.state.value for m in self.view.all()}

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the host until its scope is cancelled."""
        try:
            with self.scope:
                await self.membership.run(task_status=task_status)
        except* errors.PersimmonhingeError as group:
            error = group.exceptions[0]
            while isinstance(error, BaseExceptionGroup):
                error = error.exceptions[0]
            self.error = error


def make_settings(
    name: str,
    number: int,
    seeds: list[dict[str, Any]],
    **peers: Any,
) -> entry.EntrySettings:
    """Returns settings of a host; domains are assigned round-robin."""
    defaults = {
        "address": f"10.0.0.{number + 1}",
        "port": _PORT,
        "heartbeat_port": _PORT,
    }
    return entry.EntrySettings.model_validate(
        {
            "host": name,
            "domain": DOMAINS[number % len(DOMAINS)],
            "peers": defaults | peers,
            "seeds": seeds,
            "platform": {"endpoints": ["http://127.0.0.1:1"]},
        }
    )


def make_seed(number: int, name: str = "", **fields: Any) -> dict[str, Any]:
    """Returns the seed entry of the host with the given number."""
    defaults = {
        "host": name or f"host-{number}",
        "domain": DOMAINS[number % len(DOMAINS)],
        "address": f"10.0.0.{number + 1}",
        "port": _PORT,
        "heartbeat_port": _PORT,
    }
    return defaults | fields


def make_host(
    settings: entry.EntrySettings,
    incarnation: int,
    randomness: random.Random,
    **options: Any,
) -> Host:
    """Returns a host that is not yet running."""
    me = member_module.Member(
        host=ids.HostId(settings.host),
        domain=ids.DomainId(settings.domain),
        address=settings.peers.address,
        peer_port=settings.peers.port,
        heartbeat_port=settings.peers.heartbeat_port,
        incarnation=ids.Incarnation(incarnation),
    )
    view = view_module.View(me)
    counts = counts_module.Counts()
    membership = service.Membership(
        settings, view, counts, randomness=randomness, **options
    )
    return Host(ids.HostId(settings.host), settings, view, counts, membership)


class Fleet:
    """Hosts on an in-memory network; one seed determines all random choices.

    Attributes:
        network: The network.
        hosts: Running hosts by number.
        peers: Heartbeat settings of the hosts that are started.
    """

    def __init__(
        self, nursery: trio.Nursery, seed: int, loss: float = 0.0, **peers: Any
    ) -> None:
        self.network = lossy_network.LossyNetwork(random.Random(seed), loss)
        self.hosts: dict[int, Host] = {}
        self._nursery = nursery
        self._seed = seed
        self.peers = peers
        self._start_count = 0
        _seed_scheduler(seed)

    async def start(self, count: int) -> None:
        """Starts the network and hosts 0 to `count` - 1."""
        await self._nursery.start(self.network.run)
        for number in range(count):
            await self.start_host(number)

    async def start_host(
        self,
        number: int,
        name: str = "",
        incarnation: int = 0,
        seeds: list[dict[str, Any]] | None = None,
        platform_hosts: Sequence[dict[str, Any]] = (),
    ) -> Host:
        """Starts a host; by default, its seeds are hosts 0 and 1."""
        self._start_count += 1
        if seeds is None:
            seeds = [make_seed(0), make_seed(1)]
        settings = make_settings(
            name or f"host-{number}", number, seeds, **self.peers
        )
        listed = [
            entry.SeedHost.model_validate(fields) for fields in platform_hosts
        ]
        port = self.network.open((settings.peers.address, _PORT))
        host = make_host(
            settings,
            incarnation or 1000 + self._start_count,
            random.Random(self._seed * 1000 + self._start_count),
            datagrams=port,
            platform_hosts=lambda: listed,
        )
        self.hosts[number] = host
        await self._nursery.start(host.run)
        return host

    def kill(self, number: int) -> None:
        """Stops a host abruptly, without a farewell."""
        host = self.hosts.pop(number)
        self.network.close((host.settings.peers.address, _PORT))
        host.scope.cancel()

    def pause_all_hosts(self, duration_s: float) -> None:
        """Advances the clock without running any host."""
        clock = trio.lowlevel.current_clock()
        assert isinstance(clock, trio.testing.MockClock)
        clock.jump(duration_s)

    def partition(self, is_blocked: Callable[[int, int], bool]) -> None:
        """Drops datagrams between hosts for which the predicate is true.

        Args:
            is_blocked: Returns whether datagrams are dropped, given the numbers
                of the sending and the receiving host.
        """

        def is_address_blocked(
            source: lossy_network.Address, target: lossy_network.Address
        ) -> bool:
            return is_blocked(_get_number(source), _get_number(target))

        self.network.is_blocked = is_address_blocked

    def heal(self) -> None:
        """Ends all partitions."""
        self.network.is_blocked = lambda a, b: False

    def agrees(self, **states: str) -> bool:
        """Returns whether the views of all running hosts are as expected.

        Args:
            **states: Expected states other than alive, by host name with an
                underscore (`host_1`).
        """
        expected = {host.name: "alive" for host in self.hosts.values()}
        for name, state in states.items():
            expected[ids.HostId(name.replace("_", "-"))] = state
        return all(host.states() == expected for host in self.hosts.values())

    def sum_counter(self, name: str) -> int:
        """Returns the sum of a counter over the running hosts."""
        return sum(host.counts.sum(name) for host in self.hosts.values())

    async def watch_views(
        self, duration_s: float
    ) -> AsyncIterator[tuple[Host, member_module.Member]]:
        """Yields each change in the views of the running hosts.

        Args:
            duration_s: How long changes are yielded, seconds.

        Yields:
            The host whose view changed, and the new or changed member.
        """
        send, receive = trio.open_memory_channel[
            tuple[Host, member_module.Member]
        ](math.inf)

        async def follow(host: Host) -> None:
            before = set(host.view.all())
            while True:
                await host.view.changed.wait_beyond(host.view.changed.version)
                after = set(host.view.all())
                for member in after - before:
                    send.send_nowait((host, member))
                before = after

        async with trio.open_nursery() as nursery:
            for host in self.hosts.values():
                nursery.start_soon(follow, host)
            with trio.move_on_after(duration_s):
                async for change in receive:
                    yield change
            nursery.cancel_scope.cancel()

    async def wait_until(
        self, condition: Callable[[], bool], limit_s: float
    ) -> float:
        """Waits until a condition holds and returns how long it took, seconds.

        Raises:
            AssertionError: The condition did not hold within the limit.
        """
        start = trio.current_time()
        while not condition():
            if trio.current_time() - start > limit_s:
                states = {n: h.states() for n, h in self.hosts.items()}
                raise AssertionError(f"condition not met in time: {states}")
            await trio.sleep(0.05)
        return trio.current_time() - start


def _seed_scheduler(seed: int) -> None:
    """Makes trio schedule simultaneously ready tasks deterministically."""
    scheduler: Any = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)


def _get_number(address: lossy_network.Address) -> int:
    return int(address[0].rsplit(".", 1)[1]) - 1
