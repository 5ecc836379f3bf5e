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
        open_flows: Number of the host's open flows at the upstream; 0 from
            hosts that do not count them.
        answers: Number of untroubled answers of the upstream to the host in the
            last 2 s.
        slowness: Sum of the slowness of these answers, in hundredths: for each
            the binary logarithm of its excess over twice the usual time.
        troubles: Number of the host's requests in the last 2 s that the
            upstream failed or left unanswered.
    """

    token: int
    in_flight: int
    average: int
    missed_openings: int = 0
    open_flows: int = 0
    answers: int = 0
    slowness: int = 0
    troubles: int = 0


# Maximum value of each field: tokens have 32 bits.
MAX_VALUE = 2**32 - 1
# Number of fields that hosts of all releases understand.
_FIRST_FIELDS = 4


def trim(load: UpstreamLoad) -> tuple[int, ...]:
    """Returns a load without its newer fields if they are 0.

    Hosts of earlier releases refuse a report that has a line with more fields
    than they know. Newer fields are 0 while the settings do not ask for the
    parts that fill them in.
    """
    length = len(load)
    while length > _FIRST_FIELDS and not load[length - 1]:
        length -= 1
    return tuple(load[:length])
