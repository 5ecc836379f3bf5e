"""Capacity of the upstreams of each service and failure domain."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import math

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import directory as directory_module
from persimmonhinge.forwarding import service_limit
from persimmonhinge.forwarding import upstream as upstream_module

# Time for which a capacity is reused while upstreams are warming up or their
# speed may change, seconds. The computation takes time in proportion to the
# number of upstreams of the service.
_MAX_AGE_S = 0.5


class ServiceCapacity(records.Record, frozen=True):
    """Capacity of the upstreams of one service.

    Attributes:
        ready: The ready upstreams it was computed from.
        expires_at: Time until which it applies if these don't change, seconds.
        by_domain: Capacity by failure domain, slots.
    """

    ready: Sequence[upstream_module.Upstream]
    expires_at: float
    by_domain: Mapping[ids.DomainId, float]


class Capacities:
    """Computes the capacity of each service, and caches it.

    Attributes:
        capacity_factor: Returns the speed of an upstream at a time, relative to
            a normal one; None if all have the same speed.
    """

    def __init__(self, directory: directory_module.Directory) -> None:
        """Initializes the capacities.

        Args:
            directory: The known upstreams.
        """
        self._directory = directory
        self._cached: dict[ids.ServiceName, ServiceCapacity] = {}
        self.capacity_factor: (
            Callable[[ids.UpstreamId, float], float] | None
        ) = None

    def get_by_domain(
        self, service: ids.ServiceName, now: float
    ) -> Mapping[ids.DomainId, float]:
        """Returns the capacity of a service by failure domain, slots.

        Domains without a ready upstream of the service are absent.

        Args:
            service: The service.
            now: The current time, seconds.
        """
        ready = self._directory.list_ready(service)
        cached = self._cached.get(service)
        if (
            cached is None
            or cached.ready is not ready
            or cached.expires_at <= now
        ):
            cached = self._cached[service] = self._compute(ready, now)
            service_limit.remove_oldest(self._cached)
        return cached.by_domain

    def _compute(
        self, ready: Sequence[upstream_module.Upstream], now: float
    ) -> ServiceCapacity:
        by_domain: dict[ids.DomainId, float] = {}
        is_changing = self.capacity_factor is not None
        for upstream in ready:
            slots = float(upstream.slots)
            if self._directory.is_warming_up(upstream.id, now):
                slots *= upstream_module.WARMING_UP_CAPACITY_SHARE
                is_changing = True
            if self.capacity_factor is not None:
                slots *= self.capacity_factor(upstream.id, now)
            former = by_domain.get(upstream.domain, 0.0)
            by_domain[upstream.domain] = former + slots
        expires_at = now + _MAX_AGE_S if is_changing else math.inf
        return ServiceCapacity(ready, expires_at, by_domain)
