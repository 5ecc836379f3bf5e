"""Weighted scheduling of the keepers that are named in tickets."""

from __future__ import annotations

from collections.abc import Mapping
import random

from persimmonhinge import ids


class KeeperScheduler:
    """Picks keepers in proportion to their capacity, by stride scheduling.

    The keepers with the lowest pass values are picked, and the pass of a
    picked keeper grows by the inverse of its weight. Guards against random
    imbalance: a keeper that is named twice as often as others gets twice the
    work, because a request may run only at the few keepers of its ticket.
    """

    def __init__(self, randomness: random.Random) -> None:
        self._random = randomness
        self._passes: dict[ids.ServiceName, dict[ids.HostRef, float]] = {}

    def pick(
        self,
        service: ids.ServiceName,
        weights: Mapping[ids.HostRef, float],
        count: int,
    ) -> tuple[ids.HostRef, ...]:
        """Picks distinct keepers for a ticket of a service.

        Args:
            service: Service of the ticket.
            weights: Capacity of each keeper, above 0.
            count: Number of keepers to pick.

        Returns:
            The picked keepers; all of them if there are fewer than `count`.
        """
        passes = self._compute_passes(service, weights)
        ranked = sorted(
            passes, key=lambda ref: (passes[ref], self._random.random())
        )
        picked = tuple(ranked[:count])
        for ref in picked:
            passes[ref] += 1 / weights[ref]
        self._passes[service] = passes
        return picked

    def _compute_passes(
        self, service: ids.ServiceName, weights: Mapping[ids.HostRef, float]
    ) -> dict[ids.HostRef, float]:
        """Returns the pass value of each keeper.

        A new keeper starts with the lowest known pass, so that it is not
        picked repeatedly to catch up. A keeper whose weight was low for a
        while, because of low trust in its upstreams, is not left out for
        long: its pass exceeds the lowest one by at most the stride of its
        current weight.
        """
        previous = self._passes.get(service, {})
        known = [previous[ref] for ref in weights if ref in previous]
        lowest = min(known, default=0.0)
        return {
            ref: min(previous.get(ref, lowest), lowest + 1 / weight)
            for ref, weight in weights.items()
        }
