"""Addresses of a deployment, and the settings files made of them."""

from __future__ import annotations

import dataclasses
import pathlib

import yaml

from persimmonhinge.contracts import contract as contracts
from persimmonhinge.settings import entry
from tests.standins import credentials as credential_files
from tests.standins import plan as plans
from tests.standins import ports

FABRIC_ADDRESS = "127.0.0.1"
_UPSTREAM_ADDRESSES = "127.2.0."
_STOP_LIMIT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class HostPorts:
    """Ports of an entry host.

    Attributes:
        peer: TCP port of peer streams.
        heartbeat: UDP port of heartbeats.
        metrics: TCP port of the HTTP page.
    """

    peer: int
    heartbeat: int
    metrics: int


class Layout:
    """Where everything of a deployment listens."""

    def __init__(self, plan: plans.DeploymentPlan) -> None:
        self.plan = plan
        addresses = [FABRIC_ADDRESS, *(host.address for host in plan.hosts)]
        self._service_ports = {
            service.name: ports.find_udp_port(addresses)
            for service in plan.services
        }
        self.hosts = {host.name: _find_ports(host) for host in plan.hosts}
        self._upstreams: dict[str, contracts.Address] = {}

    def service_address(self, service: str) -> tuple[str, int]:
        """Returns where callers reach a service."""
        return (FABRIC_ADDRESS, self._service_ports[service])

    def add_host(self, host: plans.HostPlan) -> None:
        """Finds ports for a host that was not planned at the start."""
        self.hosts[host.name] = _find_ports(host)

    def upstream_address(self, upstream: str) -> contracts.Address:
        """Returns where an upstream listens; it stays the same."""
        if upstream not in self._upstreams:
            host = f"{_UPSTREAM_ADDRESSES}{len(self._upstreams) + 1}"
            port = ports.find_udp_port([host])
            self._upstreams[upstream] = contracts.Address(host=host, port=port)
        return self._upstreams[upstream]

    def make_contract(self, service: plans.ServicePlan) -> contracts.Contract:
        """Returns the contract of a service."""
        host, port = self.service_address(service.name)
        return contracts.Contract(
            service=service.name,
            address=contracts.Address(host=host, port=port),
            upstreams=tuple(
                self.make_upstream(upstream) for upstream in service.upstreams
            ),
            call_classes=service.call_classes,
            limits=service.limits,
        )

    def make_upstream(self, upstream: plans.UpstreamPlan) -> contracts.Upstream:
        """Returns an upstream as a contract names it."""
        return contracts.Upstream(
            id=upstream.id,
            address=self.upstream_address(upstream.id),
            domain=upstream.domain,
            slots=upstream.slots,
            connections=upstream.connections,
        )

    def make_settings(
        self,
        host: plans.HostPlan,
        platform: entry.PlatformSettings,
        credentials: credential_files.Credentials | None = None,
    ) -> entry.EntrySettings:
        """Returns the settings of an entry host.

        Args:
            host: The host.
            platform: How it reaches the platform.
            credentials: Credential of the deployment; None leaves peer
                streams and heartbeats open.
        """
        found = self.hosts[host.name]
        return entry.EntrySettings(
            host=host.name,
            domain=host.domain,
            data_address=host.address,
            upstream_address=host.address,
            peers=entry.PeerSettings(
                address=host.address,
                port=found.peer,
                heartbeat_port=found.heartbeat,
                tls=credentials.issue(host.name) if credentials else None,
                heartbeat_secret_file=(
                    credentials.heartbeat_secret_file if credentials else None
                ),
            ),
            seeds=tuple(
                self._make_seed(seed)
                for seed in self.plan.hosts
                if seed.name != host.name
            ),
            platform=platform,
            metrics=entry.MetricsSettings(
                address=host.address, port=found.metrics
            ),
            flows=self.plan.flows,
            stop_limit_s=_STOP_LIMIT_S,
        )

    def _make_seed(self, host: plans.HostPlan) -> entry.SeedHost:
        found = self.hosts[host.name]
        return entry.SeedHost(
            host=host.name,
            domain=host.domain,
            address=host.address,
            port=found.peer,
            heartbeat_port=found.heartbeat,
        )


def _find_ports(host: plans.HostPlan) -> HostPorts:
    return HostPorts(
        ports.find_tcp_port(host.address),
        ports.find_udp_port([host.address]),
        ports.find_tcp_port(host.address),
    )


def write_settings(path: pathlib.Path, settings: entry.EntrySettings) -> None:
    """Writes a settings file."""
    document = settings.model_dump(mode="json", exclude_none=True)
    path.write_text(yaml.safe_dump(document), encoding="utf-8")
