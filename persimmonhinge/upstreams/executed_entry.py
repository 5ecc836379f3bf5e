"""What a keeper remembers of one non-idempotent request."""

from __future__ import annotations

import dataclasses
import enum

from persimmonhinge import ids
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import job


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutedKey:
    """Names a request of a caller.

    Attributes:
        ticket: Id of the caller's ticket.
        token: The caller's token.
        digest: Hash of the request; empty in a fence for all digests.
    """

    ticket: ids.TicketId
    token: bytes
    digest: bytes


class EntryState(enum.Enum):
    """What is known of a request.

    PENDING: It waits or runs.
    ENDED: It has run, or may have; the outcome is kept.
    REFUSED: It was refused as not run; the home may try again later.
    FENCED: It was declared not run for good.
    """

    PENDING = "pending"
    ENDED = "ended"
    REFUSED = "refused"
    FENCED = "fenced"


class ExecutedEntry:
    """One row of the table.

    Attributes:
        key: The request.
        home: Incarnation that minted the ticket.
        expiry_ms: Uptime of the home at which the row may be forgotten.
        state: What is known.
        job: The job; None if the row came from a former keeper or is a
            fence.
        outcome: The outcome, once there is one.
        upstream: Where it was refused, for REFUSED.
        refused_at_ms: Uptime of the home that the refused dispatch told.
    """

    __slots__ = (
        "expiry_ms",
        "home",
        "job",
        "key",
        "outcome",
        "refused_home_uptime_ms",
        "state",
        "upstream",
    )

    def __init__(
        self,
        key: ExecutedKey,
        home: ids.HostRef,
        expiry_ms: int,
        state: EntryState,
    ) -> None:
        self.key = key
        self.home = home
        self.expiry_ms = expiry_ms
        self.state = state
        self.job: job.Job | None = None
        self.outcome: work.Dispatched | None = None
        self.upstream = ids.UpstreamId("")
        self.refused_home_uptime_ms = 0

    @property
    def answer_octets(self) -> int:
        """Size of the kept answer."""
        return len(self.outcome.answer) if self.outcome else 0
