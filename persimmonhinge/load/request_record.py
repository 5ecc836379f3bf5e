"""What a caller saw of one request."""

from __future__ import annotations

import dataclasses

from persimmonhinge import ids
from persimmonhinge.client import answer as answers


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRecord:
    """A request and its end.

    Attributes:
        service: The service that was called.
        kind: Name of the load it is of.
        key: Unique key in its body.
        outcome: What the caller knows.
        successful: True if the answer is a success.
        answer_key: Key that the answer carries, empty if none.
        cause: Code and text of an answer that is no success, for people.
        latency_s: Time from the intended start to the end, seconds.
    """

    service: ids.ServiceName
    kind: str
    key: str
    outcome: answers.Outcome
    successful: bool
    answer_key: str
    cause: str
    latency_s: float
