"""What a host sees of an upstream, as hosts tell it each other."""

from __future__ import annotations

from persimmonhinge.light_typing import NamedTuple


class UpstreamLoad(NamedTuple):
    """What a host sees of one upstream; an array in messages.

    Attributes:
        token: Routing token of the upstream.
        in_flight: Requests that it has from this host now.
        average: Average of that over some seconds, in hundredths.
        missed: Opening packets in a row that it left unanswered.
    """

    token: int
    in_flight: int
    average: int
    missed_openings: int = 0
