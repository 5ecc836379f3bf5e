"""Changes of the desired state, and probes of what is in force where."""

from __future__ import annotations

import dataclasses
import random
import time

import trio

from persimmonhinge.forwarding import flow as flows
from persimmonhinge.load.flows import caller_socket as sockets
from persimmonhinge.load.flows import segment as segments
from tests.standins import forwarding_deployment as deployments

# Each version has a route of its own, at this port and its number.
FIRST_PORT = 20_000
_CHANGE_S = (0.2, 1.0, 5.0)
_PROBE_S = 0.25
ANSWER_S = 1.0


@dataclasses.dataclass(slots=True)
class Probe:
    """An opening packet of a route that one version has.

    Attributes:
        host: Name of the host that got it.
        version: The version.
        sent_at: When, seconds of the monotonic clock.
        flow: Its flow.
        refused: True if the host reset it.
    """

    host: str
    version: int
    sent_at: float
    flow: flows.FlowId
    refused: bool = False


class Operator:
    """Writes versions of the desired state, and probes all hosts.

    Attributes:
        written_at: When the writing of a version began: it may be in force
            from then on.
        applied_at: When the store had taken a version in.
        probes: All probes.
    """

    def __init__(
        self,
        deployment: deployments.ForwardingDeployment,
        socket: sockets.CallerSocket,
        routes: dict[int, str],
        seed: int,
    ) -> None:
        """Makes an operator.

        Args:
            deployment: The deployment.
            socket: A socket of callers, for the probes.
            routes: Service by port, in each version.
            seed: Seed of the times of changes.
        """
        self._deployment = deployment
        self._socket = socket
        self._routes = routes
        self._random = random.Random(f"operator/{seed}")
        self.written_at: dict[int, float] = {}
        self.applied_at: dict[int, float] = {}
        self.probes: list[Probe] = []

    async def write_version(self) -> None:
        """Writes the next version; it drops the route of the last."""
        version = max(self.applied_at, default=0) + 1
        routes = {**self._routes, FIRST_PORT + version: deployments.SERVICE}
        self.written_at[version] = time.monotonic()
        await self._deployment.put_routes(version, routes)
        self.applied_at[version] = time.monotonic()

    async def run(self) -> None:
        """Changes the desired state again and again until cancelled."""
        while True:
            await trio.sleep(self._random.choice(_CHANGE_S))
            await self.write_version()

    async def probe(self) -> None:
        """Probes all hosts again and again until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                newest = max(self.applied_at)
                for host in self._deployment.hosts:
                    for version in (newest, newest - 1):
                        nursery.start_soon(self._probe, host, version)
                await trio.sleep(_PROBE_S)

    async def _probe(self, host: deployments.ForwardHost, version: int) -> None:
        service = flows.Endpoint(deployments.ADDRESS, FIRST_PORT + version)
        flow, inbox = self._socket.open_port(service)
        probe = Probe(host.name, version, time.monotonic(), flow)
        self.probes.append(probe)
        segment = segments.Segment(flow=flow, to_caller=False, opens=True)
        address = flows.Endpoint(host.address, self._deployment.packet_port)
        await self._socket.send(segment, address)
        with trio.move_on_after(ANSWER_S):
            answer = await inbox.receive()
            probe.refused = answer.aborts and answer.by_host
        self._socket.close_port(flow)
