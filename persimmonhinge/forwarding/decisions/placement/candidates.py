"""Random sampling of the upstreams that a host compares for a new flow."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import directory as directory_module
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Number of upstreams to compare from the own failure domain, and as many
# from all other domains together.
SAMPLE_SIZE = 2
# Maximum number of draws to find usable upstreams when many are suspected.
_MAX_DRAWS = 8
# Maximum number of lists in memory: several for each service in use. All are
# dropped beyond, as those of former evacuations are not used again.
_MAX_CACHED = 1024


class _ReadyUpstreams(records.Record, frozen=True):
    """The upstreams of a service that are ready.

    Attributes:
        all_domains: Upstreams in all failure domains, excluded ones included.
        local: Upstreams in the own failure domain, unless it is excluded.
        remote: Upstreams in other failure domains that are not excluded.
    """

    all_domains: Sequence[upstream_module.Upstream]
    local: Sequence[upstream_module.Upstream]
    remote: Sequence[upstream_module.Upstream]


class CandidatePool:
    """Draws a random sample of a service's upstreams for comparison.

    Load reports are the same for all hosts until the next reports arrive. If
    each host compared all upstreams, all hosts would choose the same idle
    upstream, which would shed load while others are idle. Hosts that compare
    random samples spread their flows over all less loaded upstreams. In
    addition, the time for a choice does not grow with the number of upstreams.
    """

    def __init__(
        self,
        domain: ids.DomainId,
        directory: directory_module.Directory,
        randomness: random.Random,
    ) -> None:
        """Creates the pool of a host.

        Args:
            domain: Failure domain of the host.
            directory: The known upstreams.
            randomness: Source of random numbers.
        """
        self._domain = domain
        self._directory = directory
        self._random = randomness
        self._ready_cache: dict[
            tuple[ids.ServiceName, frozenset[ids.DomainId]], _ReadyUpstreams
        ] = {}

    def draw(
        self,
        service: ids.ServiceName,
        is_usable: Callable[[upstream_module.Upstream], bool],
        excluded_domains: frozenset[ids.DomainId] = frozenset(),
    ) -> list[upstream_module.Upstream]:
        """Returns a sample of the usable upstreams of a service.

        The sample has up to `SAMPLE_SIZE` ready upstreams of the own failure
        domain and up to `SAMPLE_SIZE` of other domains.

        Args:
            service: The service.
            is_usable: Returns whether an upstream may receive the flow.
            excluded_domains: Failure domains whose upstreams are not drawn.

        Returns:
            The sample; empty if no usable upstream was drawn.
        """
        found = self._get_ready_upstreams(service, excluded_domains)
        local = draw_usable(found.local, is_usable, self._random)
        remote = draw_usable(found.remote, is_usable, self._random)
        return local + remote

    def _get_ready_upstreams(
        self,
        service: ids.ServiceName,
        excluded_domains: frozenset[ids.DomainId],
    ) -> _ReadyUpstreams:
        ready = self._directory.list_ready(service)
        cached = self._ready_cache.get((service, excluded_domains))
        if cached is not None and cached.all_domains is ready:
            return cached
        allowed = [u for u in ready if u.domain not in excluded_domains]
        local = [u for u in allowed if u.domain == self._domain]
        remote = [u for u in allowed if u.domain != self._domain]
        ready_upstreams = _ReadyUpstreams(ready, local, remote)
        if len(self._ready_cache) >= _MAX_CACHED:
            self._ready_cache.clear()
        self._ready_cache[service, excluded_domains] = ready_upstreams
        return ready_upstreams


def draw_usable(
    population: Sequence[upstream_module.Upstream],
    is_usable: Callable[[upstream_module.Upstream], bool],
    randomness: random.Random,
) -> list[upstream_module.Upstream]:
    """Returns up to `SAMPLE_SIZE` different usable upstreams.

    Args:
        population: The upstreams to draw from.
        is_usable: Returns whether an upstream may be drawn.
        randomness: Source of random numbers.
    """
    if len(population) <= SAMPLE_SIZE:
        return [upstream for upstream in population if is_usable(upstream)]
    found: dict[ids.UpstreamId, upstream_module.Upstream] = {}
    for _ in range(_MAX_DRAWS):
        drawn = population[int(randomness.random() * len(population))]
        if drawn.id not in found and is_usable(drawn):
            found[drawn.id] = drawn
        if len(found) == SAMPLE_SIZE:
            break
    return list(found.values())
