"""Decision on a new flow."""

from __future__ import annotations

import enum

from persimmonhinge import records
from persimmonhinge.forwarding.decisions.admission import waiting_flow


class Outcome(enum.Enum):
    """What happens to a new flow."""

    ADMIT = "admit"
    WAIT = "wait"
    REJECT = "reject"


class Decision(records.Record, frozen=True):
    """Decision on a new flow.

    Attributes:
        outcome: What happens to the flow.
        reason: Why, for counters and logs.
        inputs: What the decision depends on, for logs.
        displaced: A waiting flow that lost its place in the full queue to the
            new one; None if there is none.
    """

    outcome: Outcome
    reason: str
    inputs: dict[str, object]
    displaced: waiting_flow.WaitingFlow | None = None
