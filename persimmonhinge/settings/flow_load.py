"""Settings of `persimmonhinge-load` for packet flows."""

from __future__ import annotations

import pydantic

from persimmonhinge.contracts import contract as contracts
from persimmonhinge.settings import entry

Name = contracts.Name


class FlowKind(entry.Part):
    """Users of one kind, who come at random times of a mean rate.

    Attributes:
        kind: Name in the report.
        service: Name of the service.
        address: Where callers reach it.
        rate: Mean of users that come, 1/s.
        requests: Requests of a user, all in one flow as long as it lasts.
        pause_s: Mean time between two requests of a user, seconds.
        repeatable: Whether a request may run twice.
        aim_s: Time within which an answer is in time, seconds.
        limit_s: Time after which a user gives up, seconds.
        retries: Most further tries of a request.
    """

    kind: Name
    service: Name
    address: contracts.Address
    rate: float = pydantic.Field(gt=0, le=10_000)
    requests: int = pydantic.Field(default=1, ge=1, le=100_000)
    pause_s: float = pydantic.Field(default=0.5, ge=0, le=3600)
    repeatable: bool = True
    aim_s: float = pydantic.Field(default=0.3, gt=0, le=3600)
    limit_s: float = pydantic.Field(default=2.0, gt=0, le=3600)
    retries: int = pydantic.Field(default=2, ge=0, le=100)


class FlowLoadSettings(entry.Part):
    """All settings of a run of packet flows.

    Attributes:
        seed: Seed of arrivals and pauses.
        duration_s: Time in which users come, seconds.
        caller: IPv4 address of the callers.
        hosts: Where hosts take packets; the same port at all of them, which
            is also the callers'.
        ready_port: TCP port of the readiness page of each host.
        ready_path: Path of that page.
        kinds: The users.
        upstreams: Ids of upstreams by service, so that idle ones count for
            the imbalance.
        log_level: Name of the lowest level that is logged.
    """

    seed: int = 1
    duration_s: float = pydantic.Field(default=15.0, gt=0, le=86_400)
    caller: str
    hosts: tuple[contracts.Address, ...] = pydantic.Field(min_length=1)
    ready_port: int = pydantic.Field(ge=1, le=65_535)
    ready_path: str = pydantic.Field(default="/ready", pattern=r"^/")
    kinds: tuple[FlowKind, ...] = pydantic.Field(min_length=1)
    upstreams: dict[Name, tuple[Name, ...]] = {}
    log_level: str = pydantic.Field(
        default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$"
    )

    @pydantic.model_validator(mode="after")
    def check_ports(self) -> FlowLoadSettings:
        """Checks that hosts share a port.

        Raises:
            ValueError: They do not.
        """
        if len({host.port for host in self.hosts}) > 1:
            raise ValueError("all hosts take packets at the same port")
        return self
