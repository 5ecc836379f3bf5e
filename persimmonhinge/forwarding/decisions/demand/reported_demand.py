"""Demand that the hosts of one failure domain reported."""

from __future__ import annotations

from collections.abc import Iterable

from persimmonhinge.forwarding.decisions.demand import decaying_sum

# Time constant with which reported values decay, seconds.
TIME_CONSTANT_S = 1.0
# Time after the last report from which the values are not used, seconds. Hosts
# of a domain report every 0.1 to 2 s.
_MAX_AGE_S = 2.0


class ReportedDemand:
    """Weighted mean, by service, of the values that hosts reported.

    The weight of a report decays with its age, so a host that stops reporting
    is forgotten. A report applies to all services: one that it omits counts
    with 0.
    """

    def __init__(self) -> None:
        self._weight = decaying_sum.DecayingSum(TIME_CONSTANT_S)
        self._values: dict[int, decaying_sum.DecayingSum] = {}
        self._heard_at: float | None = None

    def add(self, values: Iterable[tuple[int, float]], now: float) -> None:
        """Adds the values of one report.

        Args:
            values: Pairs of the hash of a service and its value.
            now: The current time, seconds.
        """
        self._heard_at = now
        self._weight.add(1.0, now)
        for service, value in values:
            self._get_sum(service).add(value, now)

    def retain(self, services: Iterable[int]) -> None:
        """Removes the values of all other services."""
        for service in self._values.keys() - set(services):
            del self._values[service]

    def compute_age(self, now: float) -> float | None:
        """Returns the time since the last report, seconds.

        Returns None if there was none, or the last one is too old to be used.
        """
        if self._heard_at is None:
            return None
        age_s = now - self._heard_at
        return age_s if age_s <= _MAX_AGE_S else None

    def compute_mean(self, service: int, now: float) -> float:
        """Returns the mean of a service's reported values."""
        values = self._values.get(service)
        weight = self._weight.compute_value(now)
        if values is None or weight <= 0:
            return 0.0
        return values.compute_value(now) / weight

    def _get_sum(self, service: int) -> decaying_sum.DecayingSum:
        values = self._values.get(service)
        if values is None:
            values = decaying_sum.DecayingSum(TIME_CONSTANT_S)
            self._values[service] = values
        return values
