"""What a host tells of itself over HTTP."""

from __future__ import annotations

import pydantic


class _Part(pydantic.BaseModel):
    """Base of all parts; what a newer host adds is passed over."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class MemberStatus(_Part):
    """Another host, as the one that tells believes."""

    host: str
    domain: str
    state: str
    incarnation: int


class UpstreamStatus(_Part):
    """An upstream, as its keeper last reported; None for no report."""

    service: str
    upstream: str
    domain: str
    keeper: str | None = None
    slots: int | None = None
    busy: int | None = None
    queued: int | None = None
    feeds: int | None = None
    accepting: bool | None = None
    trust: float | None = None


class ControlStatus(_Part):
    """What it knows of what operators ask.

    Attributes:
        evacuated: Failure domains whose upstreams get no new work.
    """

    evacuated: tuple[str, ...] = ()


class HostStatus(_Part):
    """The page `/status`.

    Attributes:
        host: Its name.
        domain: Its failure domain.
        incarnation: Which process of that name.
        state: What it believes of itself: `alive` or `leaving`.
        ready: True if it serves what its contracts name.
        contracts: Revision of each contract it holds, deleted ones too.
        contract_digests: Hash of each contract that it holds; none from an
            older host.
        key_revision: Revision of the ticket keys it holds.
        key_age_s: Seconds since it took them in; None if it does not tell.
        members: The hosts that it knows.
        upstreams: The upstreams of its contracts.
        control: What it knows of what operators ask.
        counts: Its counters.
    """

    host: str
    domain: str
    incarnation: int
    state: str
    ready: bool
    contracts: dict[str, int] = {}
    contract_digests: dict[str, str] = {}
    key_revision: int = 0
    key_age_s: float | None = None
    members: tuple[MemberStatus, ...] = ()
    upstreams: tuple[UpstreamStatus, ...] = ()
    control: ControlStatus = ControlStatus()
    counts: dict[str, float] = {}


class UpstreamRoute(_Part):
    """Why an upstream is or is not chosen."""

    upstream: str
    keeper: str | None = None
    why: str = ""


class RouteExplanation(_Part):
    """The page `/explain`.

    Attributes:
        home: Home host of the flow, None if there is none.
        home_domain: Its failure domain.
        ranked: Hosts in the order in which they would be home.
        upstreams: The upstreams of the service.
    """

    home: str | None = None
    home_domain: str | None = None
    ranked: tuple[str, ...] = ()
    upstreams: tuple[UpstreamRoute, ...] = ()
