"""A deployment of hosts that forward packets, for tests with processes."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
from typing import Any

import trio

from tests.standins import forwarding_deployment as deployments
from tests.standins import packet_upstream

# The limit for an upstream that leaves, seconds: a new flow must not go there
# later.
DRAIN_LIMIT_S = 3.0


class Scene:
    """A deployment with two upstreams and a caller."""

    def __init__(
        self,
        deployment: deployments.ForwardingDeployment,
        upstreams: list[packet_upstream.PacketUpstream],
        caller: packet_upstream.PacketCaller,
    ) -> None:
        self.deployment = deployment
        self.hosts = deployment.hosts
        self.store = deployment.store
        self.upstreams = upstreams
        self.caller = caller
        self._next_flow = 2000

    async def start(self, *numbers: int) -> None:
        """Starts hosts and waits until they are ready."""
        for number in numbers:
            await self.hosts[number].start()
        for number in numbers:
            await self.deployment.wait_ready(self.hosts[number])

    async def open_flows(self, number: int, count: int) -> None:
        """Sends opening packets to a host, of a new flow each."""
        for _ in range(count):
            self._next_flow += 1
            await self.caller.send(
                self.hosts[number].address,
                self._next_flow,
                packet_upstream.SYN,
            )
            await trio.sleep(0.005)

    async def check_drained(
        self,
        leaving: packet_upstream.PacketUpstream,
        staying: packet_upstream.PacketUpstream,
    ) -> None:
        """Checks that no host opens flows at an upstream that drains."""
        await trio.sleep(DRAIN_LIMIT_S)
        before = leaving.count_openings()
        seen = staying.count_openings()
        for number in range(len(self.hosts)):
            await self.open_flows(number, 20)
        expected = seen + 20 * len(self.hosts)
        await deployments.wait_until(
            lambda: staying.count_openings() >= expected, 5.0
        )
        assert leaving.count_openings() == before

    async def wait_for_watches(self, count: int) -> None:
        """Waits until the store has had so many watches."""
        with trio.fail_after(5.0):
            while (await self.store.get_counts()).get("watch", 0) < count:
                await trio.sleep(0.02)

    def takes_packets(self) -> bool:
        """Tells whether the packet sockets of all hosts are bound."""
        return all(host.is_bound() for host in self.hosts)

    def count_openings(self) -> list[int]:
        """Returns the opening packets at each upstream."""
        return [upstream.count_openings() for upstream in self.upstreams]


@contextlib.asynccontextmanager
async def run_scene(count: int) -> AsyncIterator[Scene]:
    """Runs the store, two upstreams and a caller; hosts are not started."""
    async with contextlib.AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(
            deployments.run_deployment(count)
        )
        upstreams = await stack.enter_async_context(
            packet_upstream.run_upstreams(2)
        )
        caller = await stack.enter_async_context(
            packet_upstream.run_caller(deployment.packet_port)
        )
        await deployment.put_state(1)
        for upstream in upstreams:
            await deployment.put_upstream(upstream)
        yield Scene(deployment, upstreams, caller)


async def wait_openings(scene: Scene, count: int) -> None:
    """Waits until the upstreams have so many opening packets together."""
    await deployments.wait_until(
        lambda: sum(scene.count_openings()) >= count, 5.0
    )


async def wait_event(host: deployments.ForwardHost, event: str) -> None:
    """Waits until the log of a host tells of an event."""
    await deployments.wait_until(lambda: _has_event(host, event), 6.0)


async def wait_longer(kept: list[Any], length: int) -> None:
    """Waits until a list is longer than a length."""
    await deployments.wait_until(lambda: len(kept) > length, 5.0)


def _has_event(host: deployments.ForwardHost, event: str) -> bool:
    return any(line["event"].startswith(event) for line in host.read_log())
