"""Feeds (CoAP observe) between a home and the keeper of the upstream."""

from __future__ import annotations

import enum

from persimmonhinge import ids
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import work

# Distance between the numbers of two events. A home answers registrations with
# the numbers between, and events keep theirs at whichever home sends them.
SEQUENCE_STRIDE = 16


class FeedEndCause(enum.Enum):
    """Why a keeper ended a feed.

    REFUSED: The upstream or its connection limit refused it; nothing opened.
    DRAINING: The upstream leaves; events go on until the home closes it.
    MOVED: The keeper role moved to another host.
    SILENT: The upstream stopped sending while new work is answered.
    LOST: The upstream reset or ended the observation.
    """

    REFUSED = "refused"
    DRAINING = "draining"
    MOVED = "moved"
    SILENT = "silent"
    LOST = "lost"


@base.message_kind("feed-open")
class FeedOpen(base.Message, array_like=True, frozen=True):
    """Opens a feed at an upstream.

    `FeedEvent`, `FeedEnd` and `FeedTaken` are pushed back.

    The stream lives as long as this call: a home that closes its side
    cancels the observation at the upstream.

    Attributes:
        service: The service that the caller addressed.
        revision: Revision of the contract that the home routed by.
        upstream: Where to observe.
        request: CoAP GET with code and options; Observe is removed.
        caller_host: IP address of the caller, to find the next home.
        caller_port: Port of the caller.
        token: The caller's token.
        last_sequence: Highest observe number that the caller was sent.
        recent: Digests of the last answers sent, newest last.
        confirmed: Number of the newest event that a home sent to the caller
            or passed over as known.
        floor: Numbers up to this one may be in use. A keeper that opens the
            feed anew counts from here.
        resumes: True if the feed was last open at this keeper, so that it is
            to go on after `confirmed`.
    """

    service: ids.ServiceName
    revision: ids.Revision
    upstream: ids.UpstreamId
    request: bytes
    caller_host: str
    caller_port: int
    token: bytes
    last_sequence: int = 0
    recent: tuple[bytes, ...] = ()
    confirmed: int = 0
    floor: int = 0
    resumes: bool = False


@base.message_kind("feed-event")
class FeedEvent(base.Message, array_like=True, frozen=True):
    """One notification of an upstream.

    Attributes:
        sequence: Observe number, above all earlier ones of this feed.
        answer: CoAP message with code, options and whole body.
        resumed: True if it was given to a home before, under this number,
            and the home may not have sent it to the caller.
    """

    sequence: int
    answer: bytes
    resumed: bool = False


@base.message_kind("feed-end")
class FeedEnd(base.Message, array_like=True, frozen=True):
    """The keeper asks the home to move or end the feed.

    Attributes:
        cause: Why.
        answer: CoAP answer of the upstream for REFUSED or LOST, if it gave
            one.
        retry_after_s: When to come back, for REFUSED.
        load: State of the upstream; None if unknown.
    """

    cause: FeedEndCause
    answer: bytes = b""
    retry_after_s: int = 0
    load: work.UpstreamLoad | None = None


@base.message_kind("feed-taken")
class FeedTaken(base.Message, array_like=True, frozen=True):
    """The keeper gave the feed to another home, which carries it on."""


@base.message_kind("feed-left")
class FeedLeft(base.Message, array_like=True, frozen=True):
    """A home whose link broke has opened the feed elsewhere since.

    Attributes:
        feed: The feed as it stands; `upstream` says where it is held.
    """

    feed: FeedOpen


@base.message_kind("feed-adopt")
class FeedAdopt(base.Message, array_like=True, frozen=True):
    """Hands a feed to the home that is to carry it on.

    Sent by the former home when its place moves, and by the keeper when the
    home died. The new home opens the feed as if the caller had asked, with
    the numbers going on from `last_sequence`. Answered by `Adopted`.

    A home that lives sends it twice. The first one `prepares`: the new home
    opens the feed and holds back what it would send. The second one tells
    what the caller was sent meanwhile; from then on the new home sends.

    Attributes:
        feed: What the former home had asked the keeper for.
        prepares: True if the sender still serves the caller.
    """

    feed: FeedOpen
    prepares: bool = False


@base.message_kind("adopted")
class Adopted(base.Message, array_like=True, frozen=True):
    """The new home carries the feed.

    Attributes:
        accepted: False if it could not; the sender keeps the feed.
    """

    accepted: bool


@base.message_kind("feed-ack")
class FeedAck(base.Message, array_like=True, frozen=True):
    """The home tells the keeper what the caller has been sent.

    Attributes:
        sequence: Highest observe number sent.
        recent: Digests of the last answers sent, newest last.
        confirmed: Number of the newest event of this stream that was sent or
            passed over as known.
    """

    sequence: int
    recent: tuple[bytes, ...]
    confirmed: int = 0
