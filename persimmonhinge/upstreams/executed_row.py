"""A row of the table of executed requests."""

from __future__ import annotations

import dataclasses
import enum

from persimmonhinge import ids
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import job


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutedKey:
    """Identifies a non-idempotent request of a caller.

    Attributes:
        ticket: Id of the caller's ticket.
        token: The caller's token.
        digest: Hash of the request; empty in a fence that covers all
            requests with this ticket and token.
    """

    ticket: ids.TicketId
    token: bytes
    digest: bytes


class RowState(enum.Enum):
    """State of a request.

    PENDING: The request is queued or running.
    ENDED: The request has run, or may have run; its outcome is stored.
    REFUSED: The request was refused and did not run; the home may dispatch
        it again later.
    FENCED: The request was reported as not run and must never run.
    """

    PENDING = "pending"
    ENDED = "ended"
    REFUSED = "refused"
    FENCED = "fenced"


class ExecutedRow:
    """One row of the table of executed requests.

    Attributes:
        key: Key of the request.
        home: Home incarnation that minted the ticket.
        expiry_ms: Uptime of the home at which the row may be removed,
            milliseconds.
        state: State of the request.
        job: The job of a PENDING request; None in any other state.
        outcome: Outcome of an ENDED request, or of a row received from a
            former keeper; None otherwise.
        upstream: Upstream of the refused dispatch; set only for REFUSED.
        refused_home_uptime_ms: Uptime of the home in the refused dispatch,
            milliseconds; set only for REFUSED.
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
        state: RowState,
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
        """Size of the stored answer, octets."""
        return len(self.outcome.answer) if self.outcome else 0
