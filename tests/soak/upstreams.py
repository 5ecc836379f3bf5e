"""Upstreams at fixed addresses, which start, leave and crash."""

from __future__ import annotations

import time

import trio

from tests.standins import flow_upstream
from tests.standins import forwarding_deployment as deployments


class UpstreamPlace:
    """An address at which one upstream after the other runs.

    Attributes:
        name: Its name, also that of its mapping in the proxy.
        address: Where hosts reach it: the proxy.
        current: The upstream that runs there now.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        own_address: tuple[str, int],
        board: UpstreamBoard,
    ) -> None:
        self.name = name
        self.address = address
        self.service = service
        self._own_address = own_address
        self._board = board
        self._scope = trio.CancelScope()
        self.current: flow_upstream.FlowUpstream
        self.lock = trio.Lock()

    async def start(self, nursery: trio.Nursery, service: str) -> None:
        """Starts an upstream there, and writes its entry."""
        self.service = service
        self.current = self._board.make(service, self._own_address)
        await self._start_current(nursery)
        await self.write()

    async def start_again(self, nursery: trio.Nursery) -> None:
        """Starts the upstream that has ended under its name; writes nothing."""
        self.current = self._board.make_again(self.current, self._own_address)
        await self._start_current(nursery)

    async def write(self, state: str = "ready") -> None:
        """Writes the entry of the upstream."""
        await self._board.deployment.put_upstream(
            self.current, state, self.service, self.address
        )

    async def remove(self) -> None:
        """Removes the entry of the upstream."""
        key = f"servers/{self.current.name}"
        await self._board.deployment.store.put(key, None)

    async def drain(self) -> None:
        """Has the upstream leave: it says so, and closes its flows."""
        self.current.state = flow_upstream.UpstreamState.DRAINING
        await self.write("draining")
        self._board.drained_at[self.current.id] = time.monotonic()

    def end(self) -> None:
        """Ends the upstream; its address is free."""
        self._board.ended_at[self.current.id] = time.monotonic()
        self.current.crash()
        self._scope.cancel()

    async def _start_current(self, nursery: trio.Nursery) -> None:
        self._scope = trio.CancelScope()
        await nursery.start(self._run)

    async def _run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        with self._scope:
            await self.current.run(task_status)


class UpstreamBoard:
    """All upstreams that ever ran.

    Attributes:
        all: By id.
        drained_at: When the store had taken in that one leaves.
        ended_at: When one ended.
        late_ids: Those whose entries came back too late after an outage.
    """

    def __init__(self, deployment: deployments.ForwardingDeployment) -> None:
        self.deployment = deployment
        self.all: dict[str, flow_upstream.FlowUpstream] = {}
        self.drained_at: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}
        self.late_ids: set[str] = set()

    def make(
        self, service: str, address: tuple[str, int]
    ) -> flow_upstream.FlowUpstream:
        """Makes an upstream with a number that none had before."""
        upstream = flow_upstream.FlowUpstream(
            len(self.all) + 1, service, address, self.deployment.packet_port
        )
        self.all[upstream.id] = upstream
        return upstream

    def make_again(
        self, former: flow_upstream.FlowUpstream, address: tuple[str, int]
    ) -> flow_upstream.FlowUpstream:
        """Makes an upstream with the number of one that has ended."""
        upstream = flow_upstream.FlowUpstream(
            former.number,
            former.service,
            address,
            self.deployment.packet_port,
            start=len(self.all),
        )
        self.all[upstream.id] = upstream
        return upstream
