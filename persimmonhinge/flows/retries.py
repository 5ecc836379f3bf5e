"""The retry budget of each service."""

from __future__ import annotations

from persimmonhinge import ids

# Few requests would earn no whole retry; a little is given in advance.
_INITIAL_RETRIES = 10.0
_MAX_RETRIES = 100.0


class RetryBudget:
    """A bucket of retries for each service, filled by its requests.

    Guards against retry storms: a failing service would get each request
    several times, and so never recover. With a budget of 0.1 it gets at
    most 1.1 times the requests, and ten more.
    """

    def __init__(self) -> None:
        self._remaining: dict[ids.ServiceName, float] = {}

    def refill(self, service: ids.ServiceName, ratio: float) -> None:
        """Counts a request.

        Args:
            service: Its service.
            ratio: Retries that a request earns, `Limits.retry_budget`.
        """
        left = self._remaining.get(service, _INITIAL_RETRIES)
        self._remaining[service] = min(left + ratio, _MAX_RETRIES)

    def spend(self, service: ids.ServiceName) -> bool:
        """Takes one retry; returns False if there is none left."""
        left = self._remaining.get(service, _INITIAL_RETRIES)
        if left < 1.0:
            return False
        self._remaining[service] = left - 1.0
        return True
