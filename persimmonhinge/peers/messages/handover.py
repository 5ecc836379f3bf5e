"""What a keeper hands to its successor at a planned change."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import work


class Executed(base.Message, array_like=True, frozen=True):
    """One non-idempotent request that a keeper has dispatched or fenced.

    Attributes:
        ticket: Id of the ticket.
        token: The caller's token.
        digest: Hash of the request.
        home: Incarnation that minted the ticket.
        expires_in_ms: When the entry may be forgotten.
        outcome: ANSWERED with its answer, UNKNOWN, or NOT_RUN for a fence.
        answer: The kept answer.
    """

    ticket: ids.TicketId
    token: bytes
    digest: bytes
    home: ids.HostRef
    expires_in_ms: int
    outcome: work.Outcome
    answer: bytes = b""


class HomeUptime(base.Message, array_like=True, frozen=True):
    """How long a home has been up at least, as the sender reckons.

    Attributes:
        home: Incarnation of the home.
        uptime_ms: Lower bound of its uptime.
    """

    home: ids.HostRef
    uptime_ms: int


@base.message_kind("keeper-handover")
class KeeperHandover(base.Message, array_like=True, frozen=True):
    """A part of what a keeper that leaves knows; answered by `HandoverTaken`.

    Attributes:
        former: Incarnation that leaves; the successor answers `Recover` for
            tickets that name it once `final` has come.
        upstreams: Upstreams whose role moves.
        executed: Table entries of this part.
        busy: Requests still running at each upstream, in order of
            `upstreams`; they count against the slots until they end.
        final: True in the last part.
        homes: Uptimes of the homes, in the first and the last part. The
            successor must take a ticket for expired no later than the
            former keeper did, which has forgotten what it ran by then.
    """

    former: ids.HostRef
    upstreams: tuple[ids.UpstreamId, ...]
    executed: tuple[Executed, ...]
    busy: tuple[int, ...]
    final: bool
    homes: tuple[HomeUptime, ...] = ()


@base.message_kind("handover-taken")
class HandoverTaken(base.Message, array_like=True, frozen=True):
    """The successor holds this part."""
