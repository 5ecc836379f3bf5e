"""Level of the work budget of one service and priority."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge import records


class BudgetLevel(records.Record, frozen=True):
    """Level of the work budget of one service and priority.

    Attributes:
        service: The service.
        priority: The priority.
        level_s: Work that may be started, as of the last decision or request,
            seconds; negative while more was started than the budget had.
        reserve_s: Work in the reserve of a lower priority, seconds; None for
            the most urgent one.
    """

    service: ids.ServiceName
    priority: int
    level_s: float
    reserve_s: float | None
