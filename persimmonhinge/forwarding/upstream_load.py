"""Load on an upstream from one host, as hosts report it to each other."""

from __future__ import annotations

from persimmonhinge.light_typing import NamedTuple


class UpstreamLoad(NamedTuple):
    """Load on one upstream from the reporting host; an array in messages.

    Attributes:
        token: Routing token of the upstream.
        in_flight: Number of the host's requests in flight at the upstream.
        average: Average of `in_flight` over some seconds, in hundredths of a
            request.
        missed_openings: Number of consecutive opening packets from the host
            that the upstream left unanswered.
    """

    token: int
    in_flight: int
    average: int
    missed_openings: int = 0
