"""Room that the upstreams of a service have for further work."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import service_limit
from persimmonhinge.forwarding.decisions.demand import (
    capacities as capacities_module,
)
from persimmonhinge.forwarding.decisions.demand import picture as picture_module

# Demand from which a service is contended, and below which it no longer is, as
# parts of the capacity. The difference keeps random changes of the demand from
# switching the state back and forth.
_CONTENDED_ABOVE = 0.9
_UNCONTENDED_BELOW = 0.8
# Part of the capacity of the own domain that its hosts may use. The rest covers
# the error of the expected work and of the division among the hosts.
_USABLE_SHARE = 0.95
# Least and largest share of a host, relative to an equal share. A host that
# has had no request for a moment still starts the next one. The known demand of
# the domain follows a burst later than that of the host, which must not take
# too much then.
_MIN_EQUAL_SHARE = 0.25
_MAX_EQUAL_SHARE = 2.0
# Time for which demand and capacity are reused, seconds. It limits the cost at
# high packet rates, and is short against the time constant of the demand.
_MAX_BALANCE_AGE_S = 0.01


class DomainBalance(records.Record, frozen=True):
    """Capacity and demand of one failure domain for a service.

    Attributes:
        capacity: Capacity, slots.
        demand: Demand, slots.
    """

    capacity: float
    demand: float

    @property
    def room(self) -> float:
        """Capacity minus demand, slots."""
        return self.capacity - self.demand


class ServiceBalance(records.Record, frozen=True):
    """Capacity and demand for a service.

    Attributes:
        computed_at: Time of the computation, seconds.
        own: The own failure domain.
        others: The other failure domains with known demand.
    """

    computed_at: float
    own: DomainBalance
    others: dict[ids.DomainId, DomainBalance]

    def compute_utilization(self) -> float:
        """Returns the demand of all domains as a part of their capacity.

        The result is 0 without any ready upstream: there is nothing that
        requests could compete for.
        """
        domains = [self.own, *self.others.values()]
        capacity = sum(domain.capacity for domain in domains)
        if capacity <= 0:
            return 0.0
        return sum(domain.demand for domain in domains) / capacity


class RoomTable:
    """Compares the demand for each service with the capacity.

    Attributes:
        capacities: Capacity of the known upstreams.
    """

    def __init__(
        self,
        domain: ids.DomainId,
        knowledge: knowledge_module.Knowledge,
        picture: picture_module.DemandPicture,
    ) -> None:
        """Initializes the table.

        Args:
            domain: Failure domain of this host.
            knowledge: Upstreams and evacuations known to the host.
            picture: Demand of the failure domains.
        """
        self._domain = domain
        self._knowledge = knowledge
        self._picture = picture
        self.capacities = capacities_module.Capacities(knowledge.directory)
        self._balances: dict[ids.ServiceName, ServiceBalance] = {}
        self._contended: dict[ids.ServiceName, None] = {}

    def capacity(
        self, service: ids.ServiceName, domain: ids.DomainId, now: float
    ) -> float:
        """Returns the capacity for a service in a failure domain, slots.

        An evacuated domain has none, as its upstreams get no new flows.

        Args:
            service: The service.
            domain: The failure domain.
            now: The current time, seconds.
        """
        if domain in self._knowledge.evacuated:
            return 0.0
        return self.capacities.get_by_domain(service, now).get(domain, 0.0)

    def own_capacity(self, service: ids.ServiceName, now: float) -> float:
        """Returns the capacity for a service in the own domain, slots."""
        return self.capacity(service, self._domain, now)

    def room(
        self, service: ids.ServiceName, domain: ids.DomainId, now: float
    ) -> float:
        """Returns capacity minus demand in a failure domain, slots.

        The result is negative if there is more demand than capacity, and 0 for
        another domain whose demand is not known.

        Args:
            service: The service.
            domain: The failure domain.
            now: The current time, seconds.
        """
        balance = self._get_balance(service, now)
        if domain == self._domain:
            return balance.own.room
        other = balance.others.get(domain)
        return other.room if other is not None else 0.0

    def is_contended(self, service: ids.ServiceName, now: float) -> bool:
        """Returns whether the demand for a service is close to its capacity.

        Args:
            service: The service.
            now: The current time, seconds.
        """
        utilization = self._get_balance(service, now).compute_utilization()
        if service in self._contended:
            if utilization < _UNCONTENDED_BELOW:
                del self._contended[service]
                return False
            return True
        if utilization > _CONTENDED_ABOVE:
            self._contended[service] = None
            service_limit.remove_oldest(self._contended)
            return True
        return False

    def host_share(self, service: ids.ServiceName, now: float) -> float:
        """Returns the work that this host may start per second, slots.

        The hosts of a domain divide its capacity in proportion to their own
        demand. Equal shares would make a host reject flows whenever it gets
        more than others by chance, even if the domain has room.

        Args:
            service: The service.
            now: The current time, seconds.
        """
        balance = self._get_balance(service, now)
        usable = balance.own.capacity * _USABLE_SHARE
        total = usable + _compute_share_elsewhere(balance)
        equal = total / self._picture.count_hosts()
        if balance.own.demand <= 0:
            return equal
        own_part = self._picture.own_demand(service, now) / balance.own.demand
        return min(
            max(total * own_part, equal * _MIN_EQUAL_SHARE),
            equal * _MAX_EQUAL_SHARE,
        )

    def _get_balance(
        self, service: ids.ServiceName, now: float
    ) -> ServiceBalance:
        balance = self._balances.get(service)
        if (
            balance is None
            or not 0 <= now - balance.computed_at < _MAX_BALANCE_AGE_S
        ):
            balance = self._compute_balance(service, now)
            self._balances[service] = balance
            service_limit.remove_oldest(self._balances)
        return balance

    def _compute_balance(
        self, service: ids.ServiceName, now: float
    ) -> ServiceBalance:
        own = DomainBalance(
            self.own_capacity(service, now),
            self._picture.own_domain_demand(service, now).slots,
        )
        others = {}
        for domain in self._picture.list_domains():
            if domain == self._domain:
                continue
            demand = self._picture.domain_demand(service, domain, now)
            if demand is not None:
                others[domain] = DomainBalance(
                    self.capacity(service, domain, now), demand.slots
                )
        return ServiceBalance(now, own, others)


def _compute_share_elsewhere(balance: ServiceBalance) -> float:
    """Returns the work that the own domain may send to others, slots.

    The free room of the other domains is divided among the domains with more
    demand than capacity, in proportion to that excess.
    """
    own_excess = max(0.0, -balance.own.room)
    if own_excess <= 0:
        return 0.0
    rooms = [other.room for other in balance.others.values()]
    free = sum(room for room in rooms if room > 0)
    other_excess = sum(-room for room in rooms if room < 0)
    return free * own_excess / (own_excess + other_excess)
