"""Retry budgets of services."""

from __future__ import annotations

from persimmonhinge import ids

# A service with few requests would not accumulate a whole retry, so each
# service's budget starts with some retries.
_INITIAL_BUDGET_RETRIES = 10.0
_MAX_BUDGET_RETRIES = 100.0


class RetryBudget:
    """A token bucket of retries for each service, refilled by its requests.

    Guards against retry storms: a failing service would receive each request
    several times and never recover. With a ratio of 0.1, a service receives
    at most 1.1 times its requests, and ten more.
    """

    def __init__(self) -> None:
        self._remaining: dict[ids.ServiceName, float] = {}

    def refill(self, service: ids.ServiceName, ratio: float) -> None:
        """Adds the share of a retry that one request contributes.

        Args:
            service: Service that the request is for.
            ratio: Retries added per request, `Limits.retry_budget`.
        """
        remaining = self._remaining.get(service, _INITIAL_BUDGET_RETRIES)
        self._remaining[service] = min(remaining + ratio, _MAX_BUDGET_RETRIES)

    def spend(self, service: ids.ServiceName) -> bool:
        """Spends one retry; returns False if less than one remains."""
        remaining = self._remaining.get(service, _INITIAL_BUDGET_RETRIES)
        if remaining < 1.0:
            return False
        self._remaining[service] = remaining - 1.0
        return True
