"""A deployment whose hosts reach each other through the faulty proxy.

Each host binds an address of its own and is known by another one, at which
the proxy listens. So the proxy stands between each pair of hosts, for streams
and heartbeats, and it knows both of them. Each failure domain reaches the
platform through a port of its own. Callers, the fabric and upstreams are not
behind the proxy: a host that is cut off from the others still gets packets.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Iterable
import contextlib
import pathlib

import trio
import yaml

from persimmonhinge.settings import entry
from tests.standins import child as children
from tests.standins import credentials as credential_files
from tests.standins import faults_client
from tests.standins import faults_rules as rules
from tests.standins import layout as layouts
from tests.standins import plan as plans
from tests.standins import processes
from tests.support import kept_folders

_POLL_S = 0.05
_PROXY_LIMIT_S = 30.0
# How long a command may look for what became of its change.
_CHANGE_LIMIT_S = 5.0
# Second octet of the addresses that hosts are known by, and that they bind.
_KNOWN = "127.1."
_BOUND = "127.4."
_CUT = rules.Fault(cut=True)
_LOOPBACK = "127.0.0.1"
# As hosts have it unless their settings say otherwise.
_RETRY_S = entry.PlatformSettings.model_fields["retry_interval_s"].default


class CutLayout(layouts.Layout):
    """Settings with the proxy between hosts, and before the platform.

    Attributes:
        platform_ports: Port at which a failure domain reaches the platform.
        other_credentials: Credentials of hosts that have not those of the
            deployment.
        seedless: Hosts whose settings name no other host.
    """

    def __init__(self, plan: plans.DeploymentPlan) -> None:
        super().__init__(plan)
        self.platform_ports: dict[str, int] = {}
        self.other_credentials: dict[str, credential_files.Credentials] = {}
        self.seedless: set[str] = set()

    def make_settings(
        self,
        host: plans.HostPlan,
        platform: entry.PlatformSettings,
        credentials: credential_files.Credentials | None = None,
    ) -> entry.EntrySettings:
        """See `Layout`."""
        credentials = self.other_credentials.get(host.name, credentials)
        settings = super().make_settings(host, platform, credentials)
        url = f"http://{_LOOPBACK}:{self.platform_ports[host.domain]}"
        own = {"bind_address": bound_address(host)}
        reached = {"endpoints": (url,), "retry_interval_s": _RETRY_S}
        return settings.model_copy(
            update={
                "seeds": () if host.name in self.seedless else settings.seeds,
                "peers": settings.peers.model_copy(update=own),
                "platform": platform.model_copy(update=reached),
            }
        )


class CutDeployment(processes.Deployment):
    """A deployment with a proxy between its parts.

    Attributes:
        proxy: Commands to the proxy.
        ctl_ticket_life_s: Life of tickets as the operators have it, seconds.
    """

    layout: CutLayout

    def __init__(
        self, plan: plans.DeploymentPlan, folder: pathlib.Path
    ) -> None:
        super().__init__(plan, folder)
        self.layout = CutLayout(plan)
        self.ctl_ticket_life_s = plan.flows.ticket_life_s
        self.proxy: faults_client.FaultClient

    async def cut_hosts(
        self, senders: Iterable[str], receivers: Iterable[str]
    ) -> None:
        """Lets nothing pass from hosts to other hosts; answers neither."""
        await self._set_between(_CUT, senders, receivers)

    async def cut_both_ways(
        self, some: Iterable[str], others: Iterable[str]
    ) -> None:
        """Lets nothing pass between two sets of hosts."""
        some, others = list(some), list(others)
        await self.cut_hosts(some, others)
        await self.cut_hosts(others, some)

    async def cut_platform(self, domain: str) -> None:
        """Cuts a failure domain off from the platform."""
        await self.proxy.set(_CUT, name=f"platform {domain}")

    async def delay_streams(self, sender: str, delay_s: float) -> None:
        """Delays what a host sends on links that it dialed."""
        await self.proxy.set(
            rules.Fault(delay_s=delay_s),
            source=bound_address(self._plans[sender]),
            direction=rules.Direction.FORWARD,
        )

    async def lose_datagrams(self, part: float) -> None:
        """Loses heartbeats; streams get late by retransmissions."""
        await self.proxy.set(rules.Fault(drop=part))

    async def heal(self) -> None:
        """Ends all faults of the proxy."""
        await self.proxy.clear()

    def names(self, *domains: str) -> list[str]:
        """Returns the hosts of domains, of all if none is named."""
        return [
            host.name
            for host in self.plan.hosts
            if not domains or host.domain in domains
        ]

    async def add_host(self, host: plans.HostPlan) -> None:
        """See `Deployment`."""
        await self.plan_host(host)
        await self.start_host(host.name)

    async def plan_host(self, host: plans.HostPlan) -> None:
        """Makes way for a host that was not planned at the start."""
        self._plans[host.name] = host
        self.layout.add_host(host)
        await self._add_host_mappings(host)

    async def start_unlisted(self, name: str, *, wait: bool = True) -> None:
        """Starts a host that the platform's list does not show.

        Args:
            name: Its name.
            wait: True to wait until it is ready, and to give it packets.
        """
        host = self._plans[name]
        await self._start_entry(host)
        if wait:
            await self.wait_ready(name)
            await self.fabric.add_host(name, host.address)

    async def _set_between(
        self,
        fault: rules.Fault,
        senders: Iterable[str],
        receivers: Iterable[str],
    ) -> None:
        """Sets a fault on all that goes one way.

        What a host sends goes forward through the mapping of the receiver,
        and back through its own as answers to what the receiver sent.
        """
        receivers = list(receivers)
        for sender in senders:
            for receiver in receivers:
                for kind in ("tcp", "udp"):
                    await self.proxy.set(
                        fault,
                        name=f"{kind} {receiver}",
                        source=bound_address(self._plans[sender]),
                        direction=rules.Direction.FORWARD,
                    )
                    await self.proxy.set(
                        fault,
                        name=f"{kind} {sender}",
                        source=bound_address(self._plans[receiver]),
                        direction=rules.Direction.BACK,
                    )

    async def _start_platform(self) -> None:
        await super()._start_platform()
        await self._start_proxy()
        address = self.platform.url.removeprefix("http://")
        host, _, port = address.rpartition(":")
        for domain in {host.domain for host in self.plan.hosts}:
            name = f"platform {domain}"
            mapped = await self.proxy.add_tcp(name, (host, int(port)))
            self.layout.platform_ports[domain] = mapped
        for planned in self.plan.hosts:
            await self._add_host_mappings(planned)

    async def _start_proxy(self) -> None:
        process = await children.start_child(
            "proxy",
            "tests.standins.faults",
            ["--seed", str(self.plan.seed)],
            self.folder,
        )
        self._others.append(process)
        with trio.fail_after(_PROXY_LIMIT_S):
            while not process.read_log().endswith("\n"):
                process.check_running()
                await trio.sleep(_POLL_S)
        port = int(process.read_log())
        self.proxy = await faults_client.FaultClient.connect(port)

    async def _add_host_mappings(self, host: plans.HostPlan) -> None:
        found = self.layout.hosts[host.name]
        bound = bound_address(host)
        await self.proxy.add_tcp(
            f"tcp {host.name}", (bound, found.peer), (host.address, found.peer)
        )
        await self.proxy.add_udp(
            f"udp {host.name}",
            (bound, found.heartbeat),
            (host.address, found.heartbeat),
        )

    def _write_ctl_settings(self) -> pathlib.Path:
        path = self.folder / "ctl.yaml"
        document = {
            "platform": self.platform.settings().model_dump(mode="json"),
            "ticket_life_s": self.ctl_ticket_life_s,
            "change_limit_s": _CHANGE_LIMIT_S,
        }
        path.write_text(yaml.safe_dump(document), encoding="utf-8")
        return path


def bound_address(host: plans.HostPlan) -> str:
    """Returns the address that a host itself binds for its peers."""
    return host.address.replace(_KNOWN, _BOUND, 1)


@contextlib.asynccontextmanager
async def run_cut_deployment(
    plan: plans.DeploymentPlan,
) -> AsyncIterator[CutDeployment]:
    """Runs a deployment; ends all its processes on the way out."""
    with kept_folders.FOLDERS.open_folder() as folder:
        deployment = CutDeployment(plan, folder)
        try:
            await deployment.start()
            yield deployment
        finally:
            with trio.CancelScope(shield=True):
                await deployment.stop()
