"""Settings of `persimmonhinge-load`."""

from __future__ import annotations

import pydantic

from persimmonhinge.client import settings as client_settings
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.settings import entry

Name = contracts.Name


class FeedLoad(entry.Part):
    """Feeds of one path that are held open.

    Attributes:
        path: Path with leading slash.
        count: Feeds, each of a caller of its own.
        stall_s: Time without a tick after which a feed counts as broken,
            seconds.
    """

    path: str = pydantic.Field(default="/board", pattern=r"^/")
    count: int = pydantic.Field(ge=1, le=100_000)
    stall_s: float = pydantic.Field(default=5.0, gt=0, le=3600)


class RequestLoad(entry.Part):
    """Requests of one kind, sent at random times of a mean rate.

    Attributes:
        kind: Name in the report.
        method: CoAP method.
        path: Path; `{number}` is replaced by a number below `numbers`.
        numbers: How many resources there are.
        rate: Mean of arrivals, 1/s.
        callers: Callers that the requests are spread over.
        body_octets: Size to which the body is filled up, octets.
        deadline_s: Deadline of a request, seconds.
    """

    kind: Name
    method: contracts.Method = contracts.Method.POST
    path: str = pydantic.Field(pattern=r"^/")
    numbers: int = pydantic.Field(default=1000, ge=1)
    rate: float = pydantic.Field(gt=0, le=100_000)
    callers: int = pydantic.Field(default=20, ge=1, le=10_000)
    body_octets: int = pydantic.Field(default=0, ge=0, le=1_048_576)
    deadline_s: float = pydantic.Field(default=5.0, gt=0, le=3600)


class ServiceLoad(entry.Part):
    """The load on one service.

    Attributes:
        service: Its name.
        address: Where callers reach it.
        upstreams: Ids of its upstreams, so that idle ones count for the
            imbalance; others count once they ran something.
        feeds: Feeds that are held open.
        requests: Requests that are sent.
    """

    service: Name
    address: contracts.Address
    upstreams: tuple[Name, ...] = ()
    feeds: tuple[FeedLoad, ...] = ()
    requests: tuple[RequestLoad, ...] = ()

    def make_client(
        self, settings: client_settings.ClientSettings
    ) -> client_settings.ClientSettings:
        """Returns settings of callers that name the service in Uri-Host.

        An upstream can then tell a request that was meant for another
        service, also one without a body.
        """
        return settings.model_copy(update={"host": self.service})


class LoadSettings(entry.Part):
    """All settings of a run.

    Attributes:
        seed: Seed of arrivals, tokens and jitter.
        duration_s: Time in which requests arrive, seconds.
        ramp_s: Time over which feeds are opened, before that, seconds.
        settle_s: Time after the last answer in which late second runs would
            show, seconds.
        progress_s: Time between lines of progress, seconds.
        client: Timing of the callers.
        services: The load.
        log_level: Name of the lowest level that is logged.
    """

    seed: int = 1
    duration_s: float = pydantic.Field(default=15.0, gt=0, le=86_400)
    ramp_s: float = pydantic.Field(default=2.0, ge=0, le=3600)
    settle_s: float = pydantic.Field(default=1.0, ge=0, le=600)
    progress_s: float = pydantic.Field(default=1.0, gt=0, le=3600)
    client: client_settings.ClientSettings = client_settings.ClientSettings()
    services: tuple[ServiceLoad, ...] = pydantic.Field(min_length=1)
    log_level: str = pydantic.Field(
        default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$"
    )
