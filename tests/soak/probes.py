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
# With more hosts than this each is probed more seldom, so that the soak's own
# process keeps up.
_HOSTS_AT_ONCE = 8
# A host that was told to stop is sent a packet so much later, seconds: the
# fabric may send it some for a second.
_STOPPING_S = 0.3
ANSWER_S = 1.0


@dataclasses.dataclass(slots=True)
class Probe:
    """An opening packet of a route that one version has.

    Attributes:
        host: Name of the host that got it.
        version: The version.
        sent_at: When, seconds of the monotonic clock.
        flow: Its flow.
        inbox: What comes back.
        refused: True if the host reset it.
    """

    host: str
    version: int
    sent_at: float
    flow: flows.FlowId
    inbox: sockets.Inbox
    refused: bool = False


class Operator:
    """Writes versions of the desired state, and probes all hosts.

    Attributes:
        written_at: When the writing of a version began: it may be in force
            from then on.
        applied_at: When the store had taken a version in.
        probes: All probes.
        stop_probes: Those sent to a host that had been told to stop.
        further_routes: Routes that each version has beside its own.
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
        self.stop_probes: list[Probe] = []
        self.further_routes: dict[int, str] = {}

    async def write_version(self) -> None:
        """Writes the next version; it drops the route of the last."""
        version = max(self.applied_at, default=0) + 1
        routes = {**self._routes, FIRST_PORT + version: deployments.SERVICE}
        routes.update(self.further_routes)
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
                hosts = self._deployment.hosts
                for host in hosts:
                    for version in (newest, newest - 1):
                        nursery.start_soon(self._probe, host, version)
                await trio.sleep(_PROBE_S * max(1, len(hosts) / _HOSTS_AT_ONCE))

    async def probe_stopping(self, host: deployments.ForwardHost) -> None:
        """Sends a host that was just told to stop an opening packet.

        The fabric goes on sending to it until it has seen twice that the host
        is not ready.
        """
        await trio.sleep(_STOPPING_S)
        port = next(iter(self._routes))
        probe = await self._send(host, port, 0, self.stop_probes)
        self._socket.close_port(probe.flow)

    async def _probe(self, host: deployments.ForwardHost, version: int) -> None:
        port = FIRST_PORT + version
        probe = await self._send(host, port, version, self.probes)
        with trio.move_on_after(ANSWER_S):
            answer = await probe.inbox.receive()
            probe.refused = answer.aborts and answer.by_host
        self._socket.close_port(probe.flow)

    async def _send(
        self,
        host: deployments.ForwardHost,
        port: int,
        version: int,
        probes: list[Probe],
    ) -> Probe:
        service = flows.Endpoint(deployments.ADDRESS, port)
        flow, inbox = self._socket.open_port(service)
        probe = Probe(host.name, version, time.monotonic(), flow, inbox)
        probes.append(probe)
        segment = segments.Segment(flow=flow, to_caller=False, opens=True)
        address = flows.Endpoint(host.address, self._deployment.packet_port)
        await self._socket.send(segment, address)
        return probe
