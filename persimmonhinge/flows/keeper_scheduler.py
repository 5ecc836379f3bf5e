"""Whose turn it is to be named in a ticket."""

from __future__ import annotations

from collections.abc import Mapping
import random

from persimmonhinge import ids


class KeeperScheduler:
    """Names keepers in turn, each as often as its capacity asks for.

    Stride scheduling: a keeper that was named moves back by the inverse of
    its weight, and the one that is farthest in front is next. Guards against
    keepers that by chance are named twice as often as others, and then get
    twice the work, because a ticket leaves little choice.
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
        """Returns so many different keepers, fewer if there are not enough.

        Args:
            service: The service.
            weights: Capacity of each keeper, above 0.
            count: How many are wanted.
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
        """Returns where each keeper stands.

        A newcomer stands with the first, so that it need not catch up. One
        that was trusted little for a while stands no farther back than its
        weight of now would have put it.
        """
        former = self._passes.get(service, {})
        known = [former[ref] for ref in weights if ref in former]
        first = min(known, default=0.0)
        return {
            ref: min(former.get(ref, first), first + 1 / weight)
            for ref, weight in weights.items()
        }
