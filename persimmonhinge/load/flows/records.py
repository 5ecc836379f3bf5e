"""What became of requests and flows."""

from __future__ import annotations

import dataclasses
import enum

from persimmonhinge.forwarding import flow as flows


class Outcome(enum.Enum):
    """How one try of a request ended.

    ANSWERED: With an answer of an upstream that ran it.
    NOT_RUN: The upstream refused to run it.
    UNOPENED: Its flow never opened.
    BROKEN: Its flow was reset.
    LOST: Nothing came within its time limit.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNOPENED = "unopened"
    BROKEN = "broken"
    LOST = "lost"


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """A request with all its tries.

    Attributes:
        kind: Kind of the request.
        key: Its key.
        begun_at: When it was first sent, seconds of the monotonic clock.
        ended_at: When the last try ended; None while it runs.
        outcome: How the last try ended.
        upstream: Id of the upstream that answered; empty if none did.
        tries: Tries so far.
    """

    kind: str
    key: str
    begun_at: float
    ended_at: float | None = None
    outcome: Outcome = Outcome.LOST
    upstream: str = ""
    tries: int = 0

    @property
    def latency_s(self) -> float:
        """Time from the first try to the end, seconds; 0 while it runs."""
        return self.ended_at - self.begun_at if self.ended_at else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class HostReset:
    """A reset that a host wrote.

    Attributes:
        flow: The flow.
        opened: True if the flow was open.
        at: When it came, seconds of the monotonic clock.
    """

    flow: flows.FlowId
    opened: bool
    at: float
