"""Mean work of the requests and open flows of a service."""

from __future__ import annotations

from persimmonhinge import records


class ServiceMean(records.Record, frozen=True):
    """What a request or open flow of a service brings, whichever its route.

    Attributes:
        work_s: Mean work of a request, seconds.
        flow_work: Mean work per second of an open flow, in slots.
        computed_at: Time when the means were computed, seconds.
    """

    work_s: float
    flow_work: float
    computed_at: float
