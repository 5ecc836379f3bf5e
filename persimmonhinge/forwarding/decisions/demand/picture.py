"""Demand of whole failure domains, from own observations and reports."""

from __future__ import annotations

from collections.abc import Iterable

from persimmonhinge import ids
from persimmonhinge.forwarding import service_demand
from persimmonhinge.forwarding.decisions.demand import (
    demand_rates as demand_rates_module,
)
from persimmonhinge.forwarding.decisions.demand import (
    domain_demand as domain_demand_module,
)
from persimmonhinge.forwarding.decisions.demand import reported_demand
from persimmonhinge.forwarding.decisions.demand import smoothed_demand

_HUNDREDTHS = 100


class DemandPicture:
    """Merges the demand that other hosts report with that of this host.

    Memory and cost grow with the numbers of failure domains and services, not
    with the number of hosts.
    """

    def __init__(
        self, domain: ids.DomainId, rates: demand_rates_module.DemandRates
    ) -> None:
        """Creates the picture of a host that has heard of no other.

        Args:
            domain: Failure domain of this host.
            rates: Demand of this host.
        """
        self._domain = domain
        self._rates = rates
        self._reported: dict[str, reported_demand.ReportedDemand] = {}
        self._other_hosts: dict[str, int] = {}
        self._smoothed: dict[ids.ServiceName, smoothed_demand.SmoothedDemand]
        self._smoothed = {}
        self._services: frozenset[ids.ServiceName] = frozenset()
        self._hashes: frozenset[int] = frozenset()

    def add_host(self, domain: str) -> None:
        """Adds another host that reports and gets packets."""
        self._other_hosts[domain] = self._other_hosts.get(domain, 0) + 1

    def remove_host(self, domain: str) -> None:
        """Removes a host that was added."""
        remaining = self._other_hosts[domain] - 1
        if remaining:
            self._other_hosts[domain] = remaining
        else:
            del self._other_hosts[domain]
            self._reported.pop(domain, None)

    def record_report(
        self,
        domain: str,
        demands: Iterable[service_demand.ServiceDemand],
        now: float,
    ) -> None:
        """Records the demand that another host reports.

        Args:
            domain: Failure domain of the other host.
            demands: Its demand by service; empty from hosts that don't measure
                demand.
            now: The current time, seconds.
        """
        demands = list(demands)
        if not demands:
            return
        self._update_services()
        is_own_domain = domain == self._domain
        values = [
            (line.service, max(0, line.own if is_own_domain else line.domain))
            for line in demands
            if line.service in self._hashes
        ]
        reported = self._reported.get(domain)
        if reported is None:
            reported = self._reported[domain] = reported_demand.ReportedDemand()
        reported.add(values, now)

    def count_hosts(self) -> int:
        """Returns the number of hosts of the own domain, with this host.

        Hosts that are silent or about to stop don't count.
        """
        return 1 + self._other_hosts.get(self._domain, 0)

    def list_domains(self) -> list[ids.DomainId]:
        """Returns the failure domains of which hosts reported demand."""
        return [ids.DomainId(domain) for domain in self._reported]

    def compute_report_age(self, domain: str, now: float) -> float | None:
        """Returns the time since a host of a domain last reported, seconds.

        Returns None if no other host of the domain reported in the last 2 s.

        Args:
            domain: The failure domain.
            now: The current time, seconds.
        """
        reported = self._reported.get(domain)
        return reported.compute_age(now) if reported is not None else None

    def domain_demand(
        self, service: ids.ServiceName, domain: ids.DomainId, now: float
    ) -> domain_demand_module.DomainDemand | None:
        """Returns the demand of a failure domain for a service.

        Returns None for another domain of which nothing was heard for 2 s. For
        the own domain, observations of this host stand in for the reports.

        Args:
            service: The service.
            domain: The failure domain.
            now: The current time, seconds.
        """
        if domain == self._domain:
            return self.own_domain_demand(service, now)
        reported = self._reported.get(domain)
        age_s = reported.compute_age(now) if reported is not None else None
        if reported is None or age_s is None:
            return None
        hundredths = reported.compute_mean(
            service_demand.hash_service(service), now
        )
        return domain_demand_module.DomainDemand(
            hundredths / _HUNDREDTHS, age_s
        )

    def own_demand(self, service: ids.ServiceName, now: float) -> float:
        """Returns the demand of this host for a service, slots."""
        return self._rates.demand(service, now)

    def own_domain_demand(
        self, service: ids.ServiceName, now: float
    ) -> domain_demand_module.DomainDemand:
        """Returns the demand of the own failure domain for a service."""
        own = self._rates.demand(service, now)
        smoothed = self._smooth_own_demand(service, own, now)
        hosts = self.count_hosts()
        reported = self._reported.get(self._domain)
        age_s = reported.compute_age(now) if reported is not None else None
        if hosts == 1 or reported is None or age_s is None:
            return domain_demand_module.DomainDemand(own * hosts, 0.0)
        others = reported.compute_mean(
            service_demand.hash_service(service), now
        )
        total = smoothed.slots + others / _HUNDREDTHS * (hosts - 1)
        if smoothed.is_changing:
            total = _follow_change(total, own, smoothed.slots, hosts)
        return domain_demand_module.DomainDemand(total, age_s)

    def _smooth_own_demand(
        self, service: ids.ServiceName, own: float, now: float
    ) -> smoothed_demand.SmoothedDemand:
        """Returns the own demand with the delay of the reported one."""
        self._update_services()
        smoothed = self._smoothed.get(service)
        if smoothed is None:
            smoothed = smoothed_demand.SmoothedDemand(own, now)
            if service in self._services:
                self._smoothed[service] = smoothed
        smoothed.update(own, self._rates.variance(service, now), now)
        return smoothed

    def _update_services(self) -> None:
        """Removes what belongs to services that no route names any more."""
        services = self._rates.get_services()
        if services is self._services:
            return
        self._services = services
        self._hashes = frozenset(map(service_demand.hash_service, services))
        for reported in self._reported.values():
            reported.retain(self._hashes)
        for service in self._smoothed.keys() - services:
            del self._smoothed[service]


def _follow_change(
    total: float, own: float, smoothed: float, hosts: int
) -> float:
    """Returns the demand of a domain whose demand is changing, slots.

    The reported demand follows a change about a second late, but all hosts of
    a domain see it at the same time. The reported total is therefore scaled by
    the change of this host's own demand. The median of that, the reported total
    and this host's demand times the number of hosts bounds the correction: a
    host that has just come into rotation sees its demand grow from nothing,
    and one whose share of the flows is larger than others' sees more.

    Args:
        total: Reported demand of the domain, slots.
        own: Current demand of this host, slots.
        smoothed: Demand of this host with the delay of `total`, slots.
        hosts: Number of hosts of the domain.
    """
    return sorted((total, total * own / smoothed, own * hosts))[1]
