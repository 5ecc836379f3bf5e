"""One attempt to have a keeper run an order."""

from __future__ import annotations

import dataclasses
import enum

from persimmonhinge.peers.messages import work


class ResultSource(enum.Enum):
    """Who says what became of an attempt.

    KEEPER: The keeper.
    UNREACHABLE: No link could be opened, so nothing was delivered.
    LINK: The link was lost, or no answer came in time.
    """

    KEEPER = "keeper"
    UNREACHABLE = "unreachable"
    LINK_FAILURE = "link"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of an attempt.

    Attributes:
        dispatched: What became of it.
        source: Who says so.
    """

    dispatched: work.Dispatched
    source: ResultSource
