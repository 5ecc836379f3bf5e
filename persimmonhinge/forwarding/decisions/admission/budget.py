"""Work that a host may start on new flows, by service and priority."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.forwarding import service_limit
from persimmonhinge.forwarding.decisions.admission import budget_level
from persimmonhinge.forwarding.decisions.admission import token_bucket

# Time for which unused budget accumulates, seconds. Upstreams can queue about
# this much work without missing the target latencies of their requests.
_MAX_SAVED_S = 0.25
# Requests that a full bucket covers, however small the share of the host is.
# With one, a request that is larger than expected would wait for ever.
_MIN_SAVED_REQUESTS = 2.0
# Time for which more work was started than the budget allowed that is made up
# for, seconds. Older excess has been served already.
_MAX_DEBT_S = 0.5
# Growth of the share from one fill to the next that counts as the return of a
# failure domain or of the upstreams of a service.
_RETURN_GROWTH = 1.5


class _ServiceBudget:
    """Buckets of one service.

    Attributes:
        share: Work that the host may start a second, in slots.
        buckets: Budget by priority.
        reserves: Budget that more urgent work can't use up, by priority; empty
            for the most urgent priority.
    """

    def __init__(self) -> None:
        self.share = 0.0
        self.buckets: dict[int, token_bucket.TokenBucket] = {}
        self.reserves: dict[int, token_bucket.TokenBucket] = {}

    def add(self, priority: int, now: float) -> None:
        """Adds the empty buckets of a priority.

        They start no higher than the next more urgent bucket, which was
        debited by all work that this one would have been debited by.
        """
        level_s = min(
            [b.level_s for p, b in self.buckets.items() if p < priority] + [0.0]
        )
        self.buckets[priority] = token_bucket.TokenBucket(level_s, now)
        for lower in sorted(self.buckets)[1:]:
            if lower not in self.reserves:
                self.reserves[lower] = token_bucket.TokenBucket(0.0, now)

    def empty(self) -> None:
        """Empties the buckets, and keeps debts."""
        for bucket in [*self.buckets.values(), *self.reserves.values()]:
            bucket.level_s = min(0.0, bucket.level_s)


class WorkBudget:
    """Token buckets of work, one for each service and priority.

    Each bucket fills at the host's share of the service. The work of every
    request is taken from the bucket of its priority and those of all lower
    priorities. Requests on open flows can't be held back, so they may take a
    bucket below zero; those of a lower priority don't delay new flows of a
    higher one.
    Buckets start empty, so that callers come in at the pace of the upstreams
    after a start of the host and after the return of upstreams.
    """

    def __init__(self, low_priority_share: float) -> None:
        """Creates the budget of a host that has just started.

        Args:
            low_priority_share: Part of the share of the host that lower
                priorities may use while higher ones use up the rest, 0 to 1.
        """
        self._low_priority_share = low_priority_share
        self._services: dict[ids.ServiceName, _ServiceBudget] = {}
        self._most_urgent: int | None = None

    def fill(
        self,
        service: ids.ServiceName,
        priority: int,
        work_s: float,
        share: float,
        now: float,
    ) -> None:
        """Brings the budget of a service up to date before a decision.

        Args:
            service: The service.
            priority: Priority of a request.
            work_s: Expected work of that request, seconds.
            share: Work that the host may start a second, in slots.
            now: The current time, seconds.
        """
        budget = self._find(service, priority, now)
        if share > budget.share * _RETURN_GROWTH:
            budget.empty()
        budget.share = share
        max_level_s = max(_MAX_SAVED_S * share, _MIN_SAVED_REQUESTS * work_s)
        budget.buckets[priority].fill(share, max_level_s, now)
        reserve = budget.reserves.get(priority)
        if reserve is not None:
            rate = share * self._low_priority_share / len(budget.reserves)
            reserve.fill(rate, max(_MAX_SAVED_S * rate, work_s), now)

    def has_room(
        self, service: ids.ServiceName, priority: int, work_s: float
    ) -> bool:
        """Returns whether the bucket of a priority covers a request."""
        return self.get_level_s(service, priority) >= work_s

    def get_level_s(self, service: ids.ServiceName, priority: int) -> float:
        """Returns the level of the bucket of a priority, seconds."""
        budget = self._services.get(service)
        if budget is None or priority not in budget.buckets:
            return 0.0
        return budget.buckets[priority].level_s

    def list_levels(self) -> list[budget_level.BudgetLevel]:
        """Returns the levels of all services and priorities seen so far."""
        return [
            budget_level.BudgetLevel(
                service,
                priority,
                bucket.level_s,
                budget.reserves[priority].level_s
                if priority in budget.reserves
                else None,
            )
            for service, budget in self._services.items()
            for priority, bucket in budget.buckets.items()
        ]

    def has_reserve(
        self, service: ids.ServiceName, priority: int, work_s: float
    ) -> bool:
        """Returns whether the reserve of a lower priority covers a request."""
        budget = self._services.get(service)
        reserve = budget.reserves.get(priority) if budget else None
        return reserve is not None and reserve.level_s >= work_s

    def spend_reserve(
        self, service: ids.ServiceName, priority: int, work_s: float
    ) -> None:
        """Takes a request from the reserve of a lower priority."""
        self._services[service].reserves[priority].debit(work_s, 0.0)

    def record_start(
        self,
        service: ids.ServiceName,
        priority: int,
        work_s: float,
        now: float,
    ) -> None:
        """Takes the work of a request that starts from the budget.

        Args:
            service: The service.
            priority: Priority of the request.
            work_s: Expected work of the request, seconds.
            now: The current time, seconds.
        """
        budget = self._find(service, priority, now)
        min_level_s = -_MAX_DEBT_S * budget.share
        for other, bucket in budget.buckets.items():
            if other >= priority:
                # Filled first: the time before this start can't pay for a debt
                # that the limit has cut off.
                bucket.fill(budget.share, _MAX_SAVED_S * budget.share, now)
                bucket.debit(work_s, min_level_s)

    def cancel_start(
        self, service: ids.ServiceName, priority: int, work_s: float
    ) -> None:
        """Returns the work of a request that an upstream did not accept."""
        budget = self._services.get(service)
        if budget is None:
            return
        max_level_s = max(
            _MAX_SAVED_S * budget.share, _MIN_SAVED_REQUESTS * work_s
        )
        for other, bucket in budget.buckets.items():
            if other >= priority:
                bucket.credit(work_s, max_level_s)

    def is_most_urgent(self, priority: int) -> bool:
        """Returns whether no more urgent request has been seen."""
        return self._most_urgent is None or priority <= self._most_urgent

    def _find(
        self, service: ids.ServiceName, priority: int, now: float
    ) -> _ServiceBudget:
        budget = self._services.get(service)
        if budget is None:
            budget = self._services[service] = _ServiceBudget()
            service_limit.remove_oldest(self._services)
        if priority not in budget.buckets:
            budget.add(priority, now)
            if self.is_most_urgent(priority):
                self._most_urgent = priority
        return budget
