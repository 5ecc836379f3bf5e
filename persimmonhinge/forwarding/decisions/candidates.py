"""Draws the upstreams that a host compares for a new flow."""

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

# Upstreams of the own failure domain that are compared, and of the others.
SAMPLE_SIZE = 2
# How many are drawn at most to find them among those that are in doubt.
_MAX_DRAWS = 8


class _ReadyUpstreams(records.Record, frozen=True):
    """The upstreams of a service that are ready.

    Attributes:
        ready: All of them, in failure domains that are excluded, too.
        near: Those of the own failure domain.
        far: Those of others.
    """

    ready: Sequence[upstream_module.Upstream]
    local: Sequence[upstream_module.Upstream]
    remote: Sequence[upstream_module.Upstream]


class CandidatePool:
    """Draws a few upstreams of a service in place of comparing all.

    Guards against the rush of many hosts to one upstream: what they know of
    loads is as old as the reports, so all of them find the same upstream idle
    until the next ones, and it sheds while others have nothing to do. Hosts
    that compare a few drawn ones spread over all that are less loaded. The time
    for a choice does not depend on the number of upstreams either.
    """

    def __init__(
        self,
        domain: ids.DomainId,
        directory: directory_module.Directory,
        randomness: random.Random,
    ) -> None:
        """Makes the pool of a host.

        Args:
            domain: Failure domain of the host.
            directory: The upstreams.
            randomness: Source of its random numbers.
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
        excluded: frozenset[ids.DomainId] = frozenset(),
    ) -> list[upstream_module.Upstream]:
        """Returns some upstreams of both places that are ready and usable.

        Args:
            service: Their service.
            is_usable: Tells whether one may take the flow.
            excluded: Failure domains of which none is drawn.

        Returns:
            An empty list if none of those that were drawn is usable.
        """
        places = self._get_ready(service, excluded)
        near = draw_usable(places.local, is_usable, self._random)
        far = draw_usable(places.remote, is_usable, self._random)
        return near + far

    def _get_ready(
        self, service: ids.ServiceName, excluded: frozenset[ids.DomainId]
    ) -> _ReadyUpstreams:
        ready = self._directory.list_ready(service)
        known = self._ready_cache.get((service, excluded))
        if known is not None and known.ready is ready:
            return known
        allowed = [u for u in ready if u.domain not in excluded]
        near = [u for u in allowed if u.domain == self._domain]
        far = [u for u in allowed if u.domain != self._domain]
        places = _ReadyUpstreams(ready, near, far)
        self._ready_cache[service, excluded] = places
        return places


def draw_usable(
    population: Sequence[upstream_module.Upstream],
    is_usable: Callable[[upstream_module.Upstream], bool],
    randomness: random.Random,
) -> list[upstream_module.Upstream]:
    """Returns a few of some upstreams that are usable, each once."""
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
