"""The result of one attempt to dispatch a request to a keeper."""

from __future__ import annotations

import dataclasses
import enum

from persimmonhinge.peers.messages import work


class ResultSource(enum.Enum):
    """Where the outcome of an attempt comes from.

    KEEPER: The keeper sent the outcome.
    UNREACHABLE: No link to the keeper could be opened, so the dispatch was
        not delivered.
    LINK_FAILURE: The link failed during the call, or no valid answer arrived
        in time.
    """

    KEEPER = "keeper"
    UNREACHABLE = "unreachable"
    LINK_FAILURE = "link"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of an attempt.

    Attributes:
        dispatched: Outcome of the attempt, with the answer if there is one.
        source: Where the outcome comes from.
    """

    dispatched: work.Dispatched
    source: ResultSource
