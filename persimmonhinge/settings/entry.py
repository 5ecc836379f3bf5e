"""Settings of `persimmonhinge-entry`."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated

import pydantic

from persimmonhinge.contracts import contract as contracts

Name = contracts.Name
# The store speaks plain HTTP, and connections are opened by address or name.
_ENDPOINT = re.compile(r"http://[^/:\s]+(:\d{1,5})/?")
Port = Annotated[int, pydantic.Field(ge=0, le=65535)]


class Part(pydantic.BaseModel):
    """Base of all parts: unknown keys are refused, values are final."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class IpAddressPart(Part):
    """Base of the parts that name an address of this host."""

    address: str = "127.0.0.1"

    @pydantic.field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        ipaddress.ip_address(value)
        return value


class TlsSettings(Part):
    """The credential of the deployment, as files.

    Attributes:
        certificate: PEM file of this host's certificate chain.
        key: PEM file of its private key.
        authority: PEM file of the authority that peers must show.
    """

    certificate: str
    key: str
    authority: str


class PeerSettings(IpAddressPart):
    """Streams and heartbeats between hosts.

    Attributes:
        address: IP address of both ports, as peers reach them.
        bind_address: IP address to listen on and to dial from, for a host
            behind address translation; None for `address`.
        port: TCP port of streams.
        heartbeat_port: UDP port of heartbeats.
        tls: Credential; None leaves streams open, for tests only.
        heartbeat_interval_s: Time between heartbeats, seconds.
        suspicion_s: Time in which a suspected host can refute, seconds.
        forget_s: How long a dead host is remembered, seconds; longer than
            any process is paused and then runs on.
        connect_timeout_s: Limit for opening a link, seconds.
        retry_interval_s: First wait after a failed link, seconds; it doubles
            to ten times this.
        queue_messages: Messages that may wait for one link.
        heartbeat_secret_file: File whose content authenticates heartbeats;
            None leaves them open, for tests only.
    """

    bind_address: str | None = None
    port: Port
    heartbeat_port: Port
    tls: TlsSettings | None = None
    heartbeat_interval_s: float = pydantic.Field(default=0.3, gt=0, le=60)
    suspicion_s: float = pydantic.Field(default=1.2, gt=0, le=600)
    forget_s: float = pydantic.Field(default=3600.0, gt=0, le=604_800)
    connect_timeout_s: float = pydantic.Field(default=1.0, gt=0, le=60)
    retry_interval_s: float = pydantic.Field(default=0.2, gt=0, le=60)
    queue_messages: int = pydantic.Field(default=10_000, ge=1)
    heartbeat_secret_file: str | None = None

    @property
    def own_address(self) -> str:
        """IP address that this host itself binds."""
        return self.bind_address or self.address

    @pydantic.field_validator("bind_address")
    @classmethod
    def _check_bind_address(cls, value: str | None) -> str | None:
        if value is not None:
            ipaddress.ip_address(value)
        return value


class SeedHost(IpAddressPart):
    """A host that may know the others.

    Attributes:
        host: Its name.
        domain: Its failure domain.
        address: Its peer address.
        port: Its TCP port of streams.
        heartbeat_port: Its UDP port of heartbeats.
    """

    host: Name
    domain: Name
    port: Port
    heartbeat_port: Port


class PlatformSettings(Part):
    """The platform's key-value service.

    Attributes:
        endpoints: Its base URLs, `http://ADDRESS:PORT`, tried in turn.
        timeout_s: Limit for one call, seconds.
        prefix: Beginning of all keys of this deployment.
        retry_interval_s: First wait after a failure, seconds; it doubles to
            four times this, with jitter.
    """

    endpoints: tuple[str, ...] = pydantic.Field(min_length=1)
    timeout_s: float = pydantic.Field(default=2.0, gt=0, le=60)
    prefix: str = "/persimmonhinge/"
    retry_interval_s: float = pydantic.Field(default=0.5, gt=0, le=60)

    @pydantic.field_validator("endpoints")
    @classmethod
    def _check_endpoints(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        for url in value:
            if not _ENDPOINT.fullmatch(url):
                raise ValueError(f"{url!r} is not http://ADDRESS:PORT")
        return value


class MetricsSettings(IpAddressPart):
    """The HTTP page with metrics, `/healthz` and `/readyz`.

    Attributes:
        address: IP address.
        port: TCP port; 0 lets the kernel choose (it is logged).
    """

    port: Port = 0


class FlowSettings(Part):
    """Homes of flows.

    Attributes:
        ticket_life_s: How long a ticket serves, seconds.
        answer_life_s: How long an answer to idempotent work is kept for
            retransmissions and later blocks, seconds.
        most_flows: Table rows that a host may hold.
        feed_confirm_s: Time between confirmable notifications to a caller,
            by which callers that went away are found, seconds.
        recovery: Whether the keepers are asked about requests of a home that
            died; without it their outcome is unknown.
    """

    ticket_life_s: float = pydantic.Field(default=120.0, gt=0, le=3600)
    answer_life_s: float = pydantic.Field(default=30.0, gt=0, le=3600)
    most_flows: int = pydantic.Field(default=400_000, ge=1)
    feed_confirm_s: float = pydantic.Field(default=20.0, gt=0, le=86_400)
    recovery: bool = True


class EntrySettings(Part):
    """All settings of one entry host.

    Attributes:
        host: Name of this host, unique in the deployment.
        domain: Its failure domain.
        data_address: Address on which packets of all services arrive, each
            at the port of its service; None binds each service's own
            address, as behind a fabric that leaves packets unchanged.
        upstream_address: Address from which upstreams are called.
        peers: Streams and heartbeats between hosts.
        seeds: Hosts to ask first; the platform's host list adds to them.
        platform: The platform's key-value service.
        metrics: The HTTP page.
        flows: Homes of flows.
        stop_limit_s: Limit of a planned stop, seconds.
        log_level: Name of the lowest level that is logged.
    """

    host: Name
    domain: Name
    data_address: str | None = None
    upstream_address: str = "127.0.0.1"
    peers: PeerSettings
    seeds: tuple[SeedHost, ...] = ()
    platform: PlatformSettings
    metrics: MetricsSettings = MetricsSettings()
    flows: FlowSettings = FlowSettings()
    stop_limit_s: float = pydantic.Field(default=20.0, gt=0, le=3600)
    log_level: str = pydantic.Field(
        default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$"
    )
