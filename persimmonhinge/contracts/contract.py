"""The contract of one service: what operators write, checked."""

from __future__ import annotations

import enum
import fnmatch
import ipaddress
from typing import Annotated
from typing import Self

import pydantic

from persimmonhinge import ids

_NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
Name = Annotated[str, pydantic.StringConstraints(pattern=_NAME_PATTERN)]
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 1_000_000
MAX_PRIORITY = 9


class _Part(pydantic.BaseModel):
    """Base of all parts: unknown keys are refused, values are final."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Method(enum.Enum):
    """A CoAP method."""

    GET = "GET"
    POST = "POST"
    PUT = "PUT"
    DELETE = "DELETE"
    FETCH = "FETCH"
    PATCH = "PATCH"
    IPATCH = "iPATCH"

    @property
    def is_idempotent(self) -> bool:
        """True if a second run does no harm: RFC 7252, 5.1; RFC 8132.

        RFC 8132 calls iPATCH idempotent too; here a contract has to say so.
        """
        return self in (Method.GET, Method.PUT, Method.DELETE, Method.FETCH)


class CallKind(enum.Enum):
    """The shape of a call: one answer, or a feed of notifications."""

    REQUEST = "request"
    FEED = "feed"


class UpstreamState(enum.Enum):
    """What the contract wants of an upstream."""

    ACTIVE = "active"
    DRAINING = "draining"


class Address(_Part):
    """An IP address and a UDP port, written `address:port`."""

    host: str
    port: int

    @pydantic.model_validator(mode="before")
    @classmethod
    def _read_text(cls, value: object) -> object:
        if not isinstance(value, str):
            return value
        host, separator, port = value.rpartition(":")
        if not separator or not port.isdigit():
            raise ValueError("is to be written as address:port")
        return {"host": host.strip("[]"), "port": int(port)}

    @pydantic.model_validator(mode="after")
    def _check(self) -> Self:
        ipaddress.ip_address(self.host)
        if not 0 < self.port < 65536:
            raise ValueError("port is to be 1 to 65535")
        return self

    @pydantic.model_serializer
    def _write_text(self) -> str:
        return str(self)

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    def as_pair(self) -> tuple[str, int]:
        """Returns address and port as sockets take them."""
        return (self.host, self.port)


class Upstream(_Part):
    """One target of a service.

    Attributes:
        id: Name, unique in the contract.
        address: Where it takes CoAP over UDP.
        domain: Failure domain that it stands in.
        slots: Requests that it may run at a time.
        connections: Feeds that it may have open.
        state: ACTIVE, or DRAINING for no new work.
    """

    id: Name
    address: Address
    domain: Name
    slots: int = pydantic.Field(ge=1, le=MAX_SLOTS)
    connections: int = pydantic.Field(default=2000, ge=0, le=MAX_CONNECTIONS)
    state: UpstreamState = UpstreamState.ACTIVE


class CallClass(_Part):
    """Calls that are treated alike; the first class that matches counts.

    Attributes:
        name: Name, unique in the contract.
        method: CoAP method.
        path: Pattern of the path, `*` for any characters.
        kind: FEED matches requests with Observe 0, REQUEST all others.
        priority: 0 goes first, 9 last.
        idempotent: False if it may run at most once; GET, PUT, DELETE and
            FETCH are idempotent unless the contract says otherwise.
        deadline_s: Limit for a caller that sends none, seconds.
        share: Part of the slots, 0 to 1, that is kept for this class while
            it has work; what it leaves idle goes to others.
    """

    name: Name
    method: Method
    path: str = pydantic.Field(pattern=r"^/")
    kind: CallKind = CallKind.REQUEST
    priority: int = pydantic.Field(default=5, ge=0, le=MAX_PRIORITY)
    idempotent: bool | None = None
    deadline_s: float = pydantic.Field(default=10.0, gt=0, le=3600)
    share: float = pydantic.Field(default=0.0, ge=0, le=1)

    @property
    def runs_at_most_once(self) -> bool:
        """True if a request of this class needs a ticket."""
        if self.idempotent is not None:
            return not self.idempotent
        return not self.method.is_idempotent

    def matches(self, method: Method, path: str, *, observes: bool) -> bool:
        """Tells whether a request is of this class."""
        if method is not self.method:
            return False
        if observes is not (self.kind is CallKind.FEED):
            return False
        return fnmatch.fnmatchcase(path, self.path)


class Policies(_Part):
    """Names of registered policies.

    Attributes:
        choice: How an upstream is chosen.
        order: In which order a keeper's queue is served.
        admission: Which requests are refused at once.
    """

    choice: str = "free-slot"
    order: str = "priority"
    admission: str = "deadline"


class Limits(_Part):
    """Limits of a service.

    Attributes:
        queue: Requests that may wait for one upstream.
        body_octets: Size of a request's body.
        retry_budget: Retries as a part of requests, 0 to 1.
        slow_start_s: Time in which a cold upstream gets its full slots.
        silent_feed_s: Time without a sign of life after which a feed is
            checked by asking for the resource on the feed's own token.
        upstream_timeout_s: Time after which a request without any sign from
            the upstream has an unknown outcome.
    """

    queue: int = pydantic.Field(default=64, ge=0, le=100_000)
    body_octets: int = pydantic.Field(default=262_144, ge=1, le=4_194_304)
    retry_budget: float = pydantic.Field(default=0.1, ge=0, le=1)
    slow_start_s: float = pydantic.Field(default=5.0, ge=0, le=3600)
    silent_feed_s: float = pydantic.Field(default=10.0, gt=0, le=3600)
    upstream_timeout_s: float = pydantic.Field(default=10.0, gt=0, le=3600)


class Contract(_Part):
    """All that operators say about one service.

    Attributes:
        service: Name of the service.
        address: Where callers reach it.
        upstreams: Its targets.
        call_classes: How calls are treated, in order of match; a call that
            no class matches is refused with 4.04.
        policies: Named policies.
        limits: Limits.
    """

    service: Name
    address: Address
    upstreams: tuple[Upstream, ...]
    call_classes: tuple[CallClass, ...] = pydantic.Field(min_length=1)
    policies: Policies = Policies()
    limits: Limits = Limits()

    @pydantic.model_validator(mode="after")
    def _check(self) -> Self:
        _check_unique("upstream id", [u.id for u in self.upstreams])
        addresses = [str(upstream.address) for upstream in self.upstreams]
        _check_unique("upstream address", addresses)
        _check_unique("call class", [c.name for c in self.call_classes])
        return self

    def get_upstream(self, upstream: ids.UpstreamId) -> Upstream | None:
        """Returns an upstream by its id, None if there is none."""
        for candidate in self.upstreams:
            if candidate.id == upstream:
                return candidate
        return None

    def get_class(self, name: ids.CallClassName) -> CallClass | None:
        """Returns a call class by its name, None if there is none."""
        for candidate in self.call_classes:
            if candidate.name == name:
                return candidate
        return None

    def classify(
        self, method: Method, path: str, *, observes: bool
    ) -> CallClass | None:
        """Returns the first call class that matches, None if none does."""
        for candidate in self.call_classes:
            if candidate.matches(method, path, observes=observes):
                return candidate
        return None


def _check_unique(what: str, values: list[str]) -> None:
    for value in values:
        if values.count(value) > 1:
            raise ValueError(f"{what} {value!r} stands twice")
