"""Requests that a home hands to the keeper of an upstream."""

from __future__ import annotations

import enum

from persimmonhinge import ids
from persimmonhinge.peers.messages import base


class Outcome(enum.Enum):
    """What became of a dispatched request.

    ANSWERED: The upstream ran it; the answer is there.
    NOT_RUN: It surely did not run and never will.
    UNKNOWN: It may have run.
    NOT_KEEPER: This host does not keep the upstream; it did not run here.
    STALE: Contract revisions differ; it did not run here.
    BUSY: No slot was free and it was not to wait; it did not run here.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    NOT_KEEPER = "not-keeper"
    STALE = "stale"
    BUSY = "busy"


class UpstreamLoad(base.Message, array_like=True, frozen=True):
    """What a keeper sees first-hand of one upstream.

    Attributes:
        upstream: The upstream.
        slots: Slots of the contract, less what slow start withholds.
        busy: Requests running at the upstream.
        queued: Requests waiting at the keeper.
        feeds: Open feeds.
        service_ms: Moving average of a request's run time, milliseconds.
        trust: 0 (given nothing) to 1, from what the keeper has seen.
        accepting: False once the upstream drains.
    """

    upstream: ids.UpstreamId
    slots: int
    busy: int
    queued: int
    feeds: int
    service_ms: float = 0.0
    trust: float = 1.0
    accepting: bool = True


@base.message_kind("dispatch")
class Dispatch(base.Message, array_like=True, frozen=True):
    """A whole request for one upstream; answered by `Dispatched`.

    Attributes:
        service: The service that the caller addressed.
        revision: Revision of the contract that the home routed by.
        upstream: Where it is to run.
        call_class: Name of the call class in the contract.
        request: CoAP message: code, options, whole body. Its token and
            message id mean nothing; Echo, Block and Observe are removed.
        deadline_ms: What is left until the caller's deadline.
        idempotent: False if it may run at most once.
        ticket: Id of the caller's ticket; empty for idempotent work.
        token: The caller's token.
        digest: Hash of code, options and body as the caller sent them.
        home: The home incarnation that minted the ticket.
        home_uptime_ms: Monotonic age of the home's process when it sent
            this, so that the keeper can tell when the ticket expires.
        ticket_expiry_ms: Uptime of the home at which the ticket expires.
        waits: False if it is to be answered BUSY rather than wait for a slot.
    """

    service: ids.ServiceName
    revision: ids.Revision
    upstream: ids.UpstreamId
    call_class: ids.CallClassName
    request: bytes
    deadline_ms: int
    idempotent: bool = True
    ticket: ids.TicketId = ids.TicketId(b"")
    token: bytes = b""
    digest: bytes = b""
    home: ids.HostRef = ids.HostRef(0)
    home_uptime_ms: int = 0
    ticket_expiry_ms: int = 0
    waits: bool = True


@base.message_kind("dispatched")
class Dispatched(base.Message, array_like=True, frozen=True):
    """The outcome of a `Dispatch`.

    Attributes:
        outcome: What became of it.
        answer: CoAP message with code, options and whole body; empty unless
            the outcome is ANSWERED.
        retry_after_s: When to come back, for NOT_RUN; 0 if at once.
        reason: Cause of an outcome other than ANSWERED, for people.
        keeper: Host that keeps the upstream, for NOT_KEEPER, if known.
        load: State of the upstream after it; None if unknown.
    """

    outcome: Outcome
    answer: bytes = b""
    retry_after_s: int = 0
    reason: str = ""
    keeper: ids.HostId = ids.HostId("")
    load: UpstreamLoad | None = None


@base.message_kind("cancel-dispatch")
class CancelDispatch(base.Message, array_like=True, frozen=True):
    """The caller no longer wants the answer; sent on the same link.

    Attributes:
        ticket: Id of the ticket; empty for idempotent work.
        token: The caller's token.
        digest: Hash of the request.
    """

    ticket: ids.TicketId
    token: bytes
    digest: bytes


@base.message_kind("recover")
class Recover(base.Message, array_like=True, frozen=True):
    """Asks a keeper what became of a dead home's request.

    By answering NOT_RUN the keeper promises to refuse that dispatch from now
    on, in case the home is only paused or cut off. Answered by `Dispatched`.

    Attributes:
        service: The service that the caller addressed.
        ticket: Id of the ticket.
        token: The caller's token.
        digest: Hash of the request; empty when the caller asks for a later
            block of the answer and so can't show the request again.
        home: The incarnation that minted the ticket.
        ticket_expiry_ms: Uptime of that home at which the ticket expires.
        keeper: The incarnation that the ticket names and that is asked. A
            host that is another incarnation, and has not taken over what
            that one knew, answers NOT_KEEPER: its own empty table says
            nothing about what the asked one ran. 0 asks whoever reads it.
    """

    service: ids.ServiceName
    ticket: ids.TicketId
    token: bytes
    digest: bytes
    home: ids.HostRef
    ticket_expiry_ms: int
    keeper: ids.HostRef = ids.HostRef(0)


@base.message_kind("load-query")
class LoadQuery(base.Message, array_like=True, frozen=True):
    """Asks a keeper for the load of all upstreams that it keeps."""


@base.message_kind("load-report")
class LoadReport(base.Message, array_like=True, frozen=True):
    """What a keeper knows of its upstreams.

    Attributes:
        loads: One entry for each upstream kept.
    """

    loads: tuple[UpstreamLoad, ...]
